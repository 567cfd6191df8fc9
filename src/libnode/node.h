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

// The decision logic of one entry, that is, one process of the serving cluster: membership,
// configuration, control seat, VM monitoring, groups and requests. It consists of plain state and
// free functions without I/O. Each function takes an event and the current time and appends the
// actions that the daemon must carry out. The daemon, the tests and the benchmarks run the same
// code.

namespace Trefoil {

struct NodeSettings
{
    Member self;
    std::vector<std::string> seeds; // peer addresses that are contacted first
    std::uint64_t incarnation = 1;  // of this process; larger than that of every earlier process
    std::uint64_t randomSeed = 1;
    MembershipOptions membership;
    DispatchOptions dispatch;
    OriginOptions origin;
    GateOptions gate;
    PlannerOptions planner;
    // The entry stops starting work once its configuration was not confirmed for this long.
    Duration freshnessBound = std::chrono::seconds(3);
    double maxClockDrift = 0.01;                            // relative
    Duration feedInterval = std::chrono::milliseconds(200); // between requests for changes
    Duration fullWatchReportInterval = std::chrono::seconds(5);
    Duration planInterval = std::chrono::milliseconds(250);
    // A new leader collects watch reports for this long before it plans.
    Duration leaderSettleTime = std::chrono::seconds(2);
    Duration orderTimeout = std::chrono::seconds(5);
    Duration orderRetryInterval = std::chrono::seconds(1);
    Duration callTimeout = std::chrono::seconds(5); // of control calls on behalf of endpoints
    Duration queryTimeout = std::chrono::milliseconds(1500);
    Duration workDigestInterval = std::chrono::milliseconds(500);
    Duration entryListLifetime = std::chrono::seconds(10); // how long callers may cache the list
    std::uint32_t heartbeatIntervalMs = 300;               // that VMs are told to keep
    bool requireKnownWorkspace = true;
};

// A caller's request as parsed by the HTTP front end.
struct SubmitRequest
{
    std::uint64_t session = 0; // handle of the caller's session
    DispatchRequest request;   // with its deadline, but without an id
    std::string key;           // idempotency key; empty without one
    std::uint64_t digest = 0;  // of the request, to refuse a key that is reused for another one
};

struct VmHeartbeat
{
    std::uint64_t session = 0;
    VmReport report;
};

struct VmAnnounceRequest
{
    std::uint64_t session = 0;
    Vm vm;
};

struct VmLeaveRequest
{
    std::uint64_t session = 0;
    VmId vm;
    std::uint64_t incarnation = 0;
};

// A statement that an operator submitted.
struct OperatorRequest
{
    std::uint64_t session = 0;
    std::string operatorName;
    std::uint64_t number = 0; // identifies the command among those of its operator
    std::string text;
    std::optional<ConfigVersion> expectedVersion;
    // Longest wait until all entries have applied the change. With 0 the reply is sent once the
    // change is accepted.
    Duration inForceTimeout{};
    std::uint64_t wallTimeMs = 0;
};

// The following replies answer HTTP sessions.

struct EndpointReply
{
    std::uint64_t session = 0;
    bool isAccepted = false;
    std::string error;
    bool mustAnnounce = false; // the VM is unknown, restarted or considered lost
    std::string reportTo;      // address for the next heartbeats
    std::uint32_t heartbeatIntervalMs = 0;
};

struct OperatorReply
{
    std::uint64_t session = 0;
    bool isOk = false;
    std::string code; // reply code, "syntax" or "timeout"
    std::string message;
    std::size_t column = 0; // of a syntax error
    ConfigVersion version = 0;
    std::optional<bool> inForce;  // whether all entries have applied the version; set after a wait
    std::vector<EntryId> missing; // entries that did not reply or have not applied the version
    std::string table;
    std::vector<Row> rows;
    std::string text; // result of help and explain
};

struct SessionAnswer
{
    std::uint64_t session = 0;
    RequestFinish finish;
};

// Tells a model engine to join a group and to load a model.
struct EngineOrder
{
    VmId vm;
    std::string address;
    GroupId group = 0; // also the fencing token
    std::uint32_t rank = 0;
    std::vector<std::string> members; // addresses by rank
    std::string model;
    std::string version;
};

// Reply of an engine to an order.
struct EngineOrderResult
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

// An event that the daemon logs. The kind determines what subject and detail contain.
struct NodeEvent
{
    NodeEventKind kind;
    std::string subject;
    std::string detail;
};

// Actions that the daemon must carry out.
struct NodeOutput
{
    std::vector<GossipSend> gossip;
    std::vector<std::pair<EntryId, PeerMessage>> peers; // messages by receiver
    std::vector<SeatDiskWork> disk;
    std::vector<StartAttempt> start; // attempts to start at endpoints
    std::vector<RequestId> attemptsToCancel;
    // Attempts at entries that failed. The daemon adds how much of the answer was relayed and feeds
    // them back as reports of these entries.
    std::vector<std::pair<EntryId, AttemptReport>> lostAttempts;
    std::vector<SessionAnswer> answers;
    std::vector<std::pair<std::uint64_t, RequestId>> admittedRequests; // by caller session
    std::vector<EndpointReply> endpointReplies;
    std::vector<OperatorReply> operatorReplies;
    std::vector<EngineOrder> engineOrders;
    std::vector<NodeEvent> events;
};

// An engine order without a reply yet.
struct OutstandingOrder
{
    GroupId group = 0;
    TimePoint deadline{};
};

// A query over all entries, or a wait until all entries have applied a version.
struct PendingQuery
{
    std::uint64_t session = 0;
    ShowQuery query;
    std::set<EntryId> awaitedEntries; // entries that have not replied
    std::vector<Row> rows;
    TimePoint deadline{};
    // Version that a wait is for, or 0 for a query. The members below are set only for a wait.
    ConfigVersion awaitedVersion = 0;
    TimePoint inForceDeadline{};
    OperatorReply reply; // sent when the wait ends
};

// A seat addition that waits until the entry tells the id of its seat.
struct PendingSeatAddition
{
    ControlCall call;
    EntryId entry;
};

// Counts the requests of a workspace by outcome.
struct WorkspaceCounters
{
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
};

struct DowntimeAccount
{
    double groupDownMinutes = 0;           // groups below the deployment's target, times minutes
    double strandedAcceleratorMinutes = 0; // accelerators present on VMs that serve in no group
};

// State that only the acting leader uses.
struct LeaderState
{
    bool isActing = false;
    TimePoint actingSince{};
    TimePoint nextPlan{};
    std::set<std::uint64_t> plannerProposals; // in progress; the planner waits for them
    std::map<EntryId, EntryPresence> entries;
    std::set<GroupId> idleGroups;
    // By deployment. Stranded accelerators belong to none and are counted under the empty id.
    std::map<DeploymentId, DowntimeAccount> downtime;
    TimePoint lastAccountedAt{};
};

// Monitoring of VMs. The watcher of a VM is the entry that receives its heartbeats. Watchers report
// what they know to the entries with a seat.
struct WatchState
{
    VmReports reports;                     // heartbeats received by this entry
    std::set<VmId> silentVms;              // VMs whose heartbeats to this entry stopped
    std::map<VmId, VmReport> lastReported; // reports as last sent to the seats
    TimePoint nextFullReport{};
    // State of the VMs according to the watch reports of all entries. Empty without a seat.
    std::map<VmId, VmPresence> presence;
    std::map<VmId, EntryId> watchers; // entry whose report is in `presence`
    // Incarnations of VMs that announced that they leave.
    std::map<VmId, std::uint64_t> leavingIncarnations;
    std::map<VmId, OutstandingOrder> outstandingOrders;
    std::map<VmId, TimePoint> earliestNextOrder;
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
    TimePoint refuseRequestsFrom{}; // only valid while draining
    bool wasConfigFresh = false;
    std::map<EntryId, ConfigVersion> peerVersions;
    std::map<EntryId, std::uint64_t> peerIncarnations; // of the process of each peer
    TimePoint nextFeedPull{};
    TimePoint nextMemberPull{};
    TimePoint nextTargetUpdate{};
    TimePoint nextWorkDigest{};
    std::map<GroupId, GateStatus> gates;
    // Releases of groups that arrived before the configuration that assigns the groups to this
    // entry, with the version of the assignment.
    std::map<GroupId, ConfigVersion> releasedGroups;
    std::map<std::uint64_t, std::uint64_t> callerSessions;  // by request number
    std::map<std::uint64_t, WorkspaceId> requestWorkspaces; // by request number
    // Work that was reported to the other dispatchers, by pool and workspace.
    std::map<std::string, std::map<WorkspaceId, double>> reportedWork;
    std::map<WorkspaceId, WorkspaceCounters> counters;
    std::map<WorkspaceId, DurationHistogram> firstByteTimes; // set by the daemon from its metrics
    std::map<std::uint64_t, PendingQuery> pendingQueries;
    std::map<std::uint64_t, PendingSeatAddition> pendingSeatAdditions;
    std::map<std::uint64_t, VmId> endpointCallVms; // VM of a control call, by endpoint session
    // Operator sessions that wait until all entries have applied their change.
    std::map<std::uint64_t, TimePoint> inForceDeadlines;
    std::uint64_t nextQueryId = 1;
    // Entry and call id to answer, by proposal id.
    std::map<std::uint64_t, std::pair<EntryId, std::uint64_t>> proposalCallers;
};

NodeState makeNode(const NodeSettings &settings, std::optional<ControlSeatState> seat,
                   TimePoint now);

// Runs the timers of all parts of the node. Must be called at short, regular intervals.
void tickNode(NodeState &node, TimePoint now, NodeOutput &out);
void handleGossip(NodeState &node, const GossipMessage &message, const std::string &sender,
                  TimePoint now, NodeOutput &out);
void handlePeerMessage(NodeState &node, const EntryId &from, const PeerMessage &message,
                       TimePoint now, NodeOutput &out);

// Handles the end of a disk write. `index` and `term` are those of its SeatDiskWork.
void handleDiskSynced(NodeState &node, LogIndex index, Term term, TimePoint now, NodeOutput &out);

void handleSubmitRequest(NodeState &node, SubmitRequest request, TimePoint now, NodeOutput &out);
void handleCallerGone(NodeState &node, const RequestId &id, TimePoint now, NodeOutput &out);
void handleAttemptEnd(NodeState &node, const AttemptEnd &end, TimePoint now, NodeOutput &out);
void recordProgress(NodeState &node, const RequestId &id, std::uint64_t generatedTokens);

void handleVmAnnouncement(NodeState &node, VmAnnounceRequest request, TimePoint now,
                          NodeOutput &out);
void handleHeartbeat(NodeState &node, VmHeartbeat heartbeat, TimePoint now, NodeOutput &out);
void handleVmLeave(NodeState &node, const VmLeaveRequest &request, TimePoint now, NodeOutput &out);
void handleOrderResult(NodeState &node, const EngineOrderResult &result, TimePoint now,
                       NodeOutput &out);

void handleOperatorRequest(NodeState &node, const OperatorRequest &request, TimePoint now,
                           NodeOutput &out);

// Starts a planned stop. The entry leaves the entry list and its groups move to other dispatchers
// at once. New requests are refused only after the lifetime of the list, because callers may use
// the list for that long.
void startDraining(NodeState &node, TimePoint now, NodeOutput &out);

// True once a draining entry has no request in progress and dispatches no group.
bool isDrained(const NodeState &node, TimePoint now);

// Tells the other members that this entry leaves. Must be the last call.
void leaveMembership(NodeState &node, TimePoint now, NodeOutput &out);

// True once a draining entry refuses new requests.
bool isRefusingRequests(const NodeState &node, TimePoint now);

// True while the entry may start new work: its configuration is fresh and it does not refuse
// requests.
bool isServing(const NodeState &node, TimePoint now);

// Returns the live entries that are not draining, in the order of preference for this caller: first
// the entries of the own failure domain, then the others, each in an order that the seed
// determines.
std::vector<Member> listEntriesForCaller(const NodeState &node, std::uint64_t callerSeed);

} // namespace Trefoil
