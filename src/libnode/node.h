#pragma once

#include "libnode/controlclient.h"
#include "libnode/controlseat.h"
#include "libserving/handover.h"
#include "libserving/serving.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// All decisions of one entry: membership, configuration, control seat, watching VMs, groups and
// requests. Plain state and free functions; each takes an event and the time, and appends what the
// daemon must do. The daemon, the tests and the benchmarks run the same code.

namespace Trefoil {

struct NodeSettings
{
    Member self;
    std::vector<std::string> seeds;
    std::uint64_t incarnation = 1; // of this process, larger than of any earlier one
    std::uint64_t randomSeed = 1;
    MembershipOptions membership;
    DispatchOptions dispatch;
    OriginOptions origin;
    GateOptions gate;
    PlannerOptions planner;
    Duration freshnessBound = std::chrono::seconds(3);
    double maxClockDrift = 0.01;
    Duration feedInterval = std::chrono::milliseconds(200); // between pulls of changes
    Duration watchRefresh = std::chrono::seconds(5);        // full watch report
    Duration planInterval = std::chrono::milliseconds(250);
    Duration leaderSettle = std::chrono::seconds(2); // a new leader learns before it plans
    Duration orderTimeout = std::chrono::seconds(5);
    Duration orderRetry = std::chrono::seconds(1);
    Duration callTimeout = std::chrono::seconds(5); // control calls of endpoints
    Duration queryTimeout = std::chrono::milliseconds(1500);
    Duration digestInterval = std::chrono::milliseconds(500); // between work digests
    Duration entryListLifetime = std::chrono::seconds(10);
    std::uint32_t heartbeatMs = 300; // asked of VMs
    bool requireKnownWorkspace = true;
};

// A caller's request, as the HTTP side read it.
struct SubmitRequest
{
    std::uint64_t session = 0; // handle of the caller's session
    DispatchRequest request;   // deadline set, id not yet
    std::string key;
    std::uint64_t digest = 0;
};

struct Heartbeat
{
    std::uint64_t session = 0;
    VmReport report;
};

struct AnnounceRequest
{
    std::uint64_t session = 0;
    Vm vm;
};

struct LeaveRequest
{
    std::uint64_t session = 0;
    VmId vm;
    std::uint64_t incarnation = 0;
};

// An operator's statement.
struct OperatorRequest
{
    std::uint64_t session = 0;
    std::string operatorName;
    std::uint64_t number = 0;
    std::string text;
    std::optional<ConfigVersion> expectedVersion;
    Duration waitInForce{}; // 0 answers once the change is accepted
    std::uint64_t wallTimeMs = 0;
};

// Answers to HTTP sessions.

struct EndpointReply
{
    std::uint64_t session = 0;
    bool isAccepted = false;
    std::string error;
    bool mustAnnounce = false; // the VM is unknown here and must announce itself
    std::string reportTo;      // address for the following heartbeats
    std::uint32_t heartbeatMs = 0;
};

struct OperatorReply
{
    std::uint64_t session = 0;
    bool isOk = false;
    std::string code; // reply code, or "syntax", "timeout"
    std::string message;
    std::size_t column = 0; // of a syntax error
    ConfigVersion version = 0;
    std::optional<bool> inForce;
    std::vector<EntryId> missing; // entries that did not reply, or lag behind the version
    std::string table;
    std::vector<Row> rows;
    std::string text; // of help and explain
};

struct SessionAnswer
{
    std::uint64_t session = 0;
    RequestFinish finish;
};

// An order to a model engine.
struct EngineOrder
{
    VmId vm;
    std::string address;
    GroupId group = 0; // also the fencing number
    std::uint32_t rank = 0;
    std::vector<std::string> members; // addresses by rank
    std::string model;
    std::string version;
};

struct EngineOrderEnd
{
    VmId vm;
    GroupId group = 0;
    bool isAccepted = false;
};

enum class NodeEventKind : std::uint8_t {
    MemberChanged,
    BecameLeader,
    LostLeadership,
    BecameStale,
    BecameFresh,
    GateChanged,
    Planned,
    OrderRefused,
    Paused,
    VmSilent,
};

// Something worth a log line.
struct NodeEvent
{
    NodeEventKind kind;
    std::string subject;
    std::string detail;
};

struct NodeOutput
{
    std::vector<GossipSend> gossip;
    std::vector<std::pair<EntryId, PeerMessage>> peers;
    std::vector<SeatDiskWork> disk;
    std::vector<StartAttempt> start;
    std::vector<RequestId> cancelAttempts;
    // Attempts at entries that are gone. They come back as reports of these entries, completed by
    // what was relayed.
    std::vector<std::pair<EntryId, AttemptReport>> lostAttempts;
    std::vector<SessionAnswer> answers;
    std::vector<std::pair<std::uint64_t, RequestId>> admitted; // session to request
    std::vector<EndpointReply> endpointReplies;
    std::vector<OperatorReply> operatorReplies;
    std::vector<EngineOrder> orders;
    std::vector<NodeEvent> events;
};

struct OutstandingOrder
{
    GroupId group = 0;
    TimePoint deadline{};
};

struct PendingQuery
{
    std::uint64_t session = 0;
    ShowQuery query;
    std::set<EntryId> waiting;
    std::vector<Row> rows;
    TimePoint deadline{};
    // For a wait until a version is in force:
    ConfigVersion wantedVersion = 0;
    TimePoint waitUntil{};
    OperatorReply reply;
};

struct PendingSeatAdd
{
    ControlCall call;
    EntryId entry;
};

struct WorkspaceCounters
{
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
};

struct DowntimeAccount
{
    double downMinutes = 0;
    double strandedMinutes = 0;
};

// State that only the acting leader uses.
struct LeaderState
{
    bool isActing = false;
    TimePoint actingSince{};
    TimePoint nextPlan{};
    std::set<std::uint64_t> plannedTickets;
    std::map<EntryId, EntryPresence> entries;
    std::set<GroupId> idleGroups;
    std::map<DeploymentId, DowntimeAccount> downtime;
    TimePoint accountedAt{};
};

struct WatchState
{
    VmReports reports;                 // direct heartbeats
    std::set<VmId> silent;             // VMs that stopped reporting here
    std::map<VmId, VmReport> lastSent; // as told to the seats
    TimePoint nextRefresh{};
    std::map<VmId, VmPresence> presence;   // from watch reports of all entries, kept on seats
    std::map<VmId, EntryId> watchers;      // entry whose report is in `presence`
    std::map<VmId, std::uint64_t> leaving; // incarnations that announced their departure
    std::map<VmId, OutstandingOrder> orders;
    std::map<VmId, TimePoint> nextOrder;
};

struct NodeState
{
    NodeSettings settings;
    MembershipState membership;
    FreshnessState freshness;
    FeedState feed;
    HandoverState handover;
    std::optional<ControlSeatState> seat;
    ControlClientState client;
    DispatchState dispatch;
    OriginState origin;
    WatchState watch;
    LeaderState leader;

    bool isDraining = false;
    TimePoint refuseFrom{}; // while draining
    bool wasFresh = false;
    std::map<EntryId, ConfigVersion> peerVersions;
    std::map<EntryId, std::uint64_t> peerProcesses;
    TimePoint nextFeedPull{};
    TimePoint nextMemberPull{};
    TimePoint nextTargets{};
    TimePoint nextDigest{};
    std::map<GroupId, GateStatus> gates;
    std::map<GroupId, ConfigVersion> released; // releases that arrived ahead of the configuration
    std::map<std::uint64_t, std::uint64_t> sessions;        // request number to caller session
    std::map<std::uint64_t, WorkspaceId> requestWorkspaces; // by request number
    std::map<std::string, std::map<WorkspaceId, double>> digested; // work told to other dispatchers
    std::map<WorkspaceId, WorkspaceCounters> counters;
    std::map<WorkspaceId, DurationHistogram> waits; // filled by the daemon's metrics
    std::map<std::uint64_t, PendingQuery> queries;
    std::map<std::uint64_t, PendingSeatAdd> seatAdds;
    std::map<std::uint64_t, VmId> announced; // endpoint sessions that wait for the control state
    std::map<std::uint64_t, TimePoint> waitInForce; // operator sessions that wait for in force
    std::uint64_t nextQuery = 1;
    // Seat tickets of calls from other entries: ticket to (entry, call).
    std::map<std::uint64_t, std::pair<EntryId, std::uint64_t>> tickets;
};

NodeState makeNode(const NodeSettings &settings, std::optional<ControlSeatState> seat,
                   TimePoint now);

void nodeTick(NodeState &node, TimePoint now, NodeOutput &out);
void nodeGossip(NodeState &node, const GossipMessage &message, const std::string &sender,
                TimePoint now, NodeOutput &out);
void nodePeerMessage(NodeState &node, const EntryId &from, const PeerMessage &message,
                     TimePoint now, NodeOutput &out);
void nodeDiskSynced(NodeState &node, LogIndex index, Term term, TimePoint now, NodeOutput &out);

void nodeSubmit(NodeState &node, SubmitRequest request, TimePoint now, NodeOutput &out);
void nodeCallerGone(NodeState &node, const RequestId &id, TimePoint now, NodeOutput &out);
void nodeAttemptEnd(NodeState &node, const AttemptEnd &end, TimePoint now, NodeOutput &out);
void nodeProgress(NodeState &node, const RequestId &id, std::uint64_t generatedTokens);

void nodeAnnounce(NodeState &node, AnnounceRequest request, TimePoint now, NodeOutput &out);
void nodeHeartbeat(NodeState &node, Heartbeat heartbeat, TimePoint now, NodeOutput &out);
void nodeLeave(NodeState &node, const LeaveRequest &request, TimePoint now, NodeOutput &out);
void nodeOrderEnd(NodeState &node, const EngineOrderEnd &end, TimePoint now, NodeOutput &out);

void nodeOperator(NodeState &node, const OperatorRequest &request, TimePoint now, NodeOutput &out);

// Starts a planned stop. The entry leaves the entry list and its groups move to other dispatchers
// at once; new requests are refused only after one lifetime of the list.
void nodeDrain(NodeState &node, TimePoint now, NodeOutput &out);

// True once a draining entry has no request in progress and dispatches no group.
bool isDrained(const NodeState &node, TimePoint now);

// Tells the members that this entry leaves. Call last.
void nodeLeft(NodeState &node, TimePoint now, NodeOutput &out);

// True once a draining entry takes no new requests.
bool isRefusing(const NodeState &node, TimePoint now);

// True while the entry may start new work.
bool isServing(const NodeState &node, TimePoint now);

// Entries that callers may use, in the order for this caller; draining ones are left out.
std::vector<Member> callerAddresses(const NodeState &node, std::uint64_t callerSeed);

} // namespace Trefoil
