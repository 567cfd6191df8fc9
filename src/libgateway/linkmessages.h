#pragma once

#include "libcoord/coord.h"
#include "libfleet/fleet.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Messages between control VMs, and between entries and control VMs.

namespace Trefoil {

// Largest message that each node takes on a link. What may be larger goes in parts.
constexpr std::size_t MaxLinkMessageBytes = 256 * 1024;

enum class NodeKind : std::uint8_t { Entry, Control };

// How far a node has received the state of another one, see StateFeed.
struct StatePosition
{
    // Start of the process whose state it is, 0 for none.
    std::uint64_t process = 0;

    // Numbers of the last changes that were received.
    std::uint64_t departures = 0;
    std::uint64_t endpoints = 0;
    std::uint64_t evidence = 0;
    std::uint64_t unconfigured = 0;

    bool operator==(const StatePosition &) const = default;
};

// Describes the node that opened a link. Sent first on the link and then periodically.
struct LinkHello
{
    NodeKind kind = NodeKind::Entry;
    std::string name;

    // Failure domain.
    std::string domain;

    // For a control VM its TCP address for links, for an entry its UDP address for load digests.
    std::string internalAddress;

    // For an entry its address for callers, for a control VM its address for operators and
    // endpoints.
    std::string publicAddress;

    // Start of the process in Unix time. Later processes of a node have larger values.
    std::uint64_t processStartMs = 0;

    SeatId seat = NoSeat;
    bool isReady = false;

    // Number of requests that the entry has received.
    std::uint64_t requestCount = 0;

    // An endpoint from which this entry received response events, and the time since the last one.
    struct EndpointProgress
    {
        EndpointId endpoint;
        std::uint64_t startedAtMs = 0;
        std::uint32_t ageMs = 0;
    };
    std::vector<EndpointProgress> progress;

    // Heads of groups at which requests of this entry stalled.
    std::vector<EndpointId> stalledHeads;

    // Requests that would be in progress if the entry refused none, by model.
    std::map<std::string, double> demandByModel;

    // Term and address for endpoints of the latest leader that this node knows of. Through the
    // entries, control VMs that are partitioned from each other learn of the leader.
    Term leaderTerm = 0;
    std::string leaderAddress;

    // Head of a group that names a limit, and the requests that it can have in progress at that
    // limit.
    struct LimitedHead
    {
        EndpointId endpoint;
        double slots = 0;
    };
    std::vector<LimitedHead> limitedHeads;

    // How far this node has received the peer's state. Only in the first hello on a link.
    StatePosition received;

    // The lists of this hello belong to the one before.
    bool isContinuation = false;
};

// Messages of the replicated log between seats.
struct RaftEnvelope
{
    std::vector<RaftMessage> messages;
};

// Some rows of the tables of endpoints, departures and evidence about parts of prompts.
struct EndpointUpdate
{
    struct ChangedEndpoint
    {
        EndpointReport report;
        std::uint32_t ageMs = 0;
        bool hasLeft = false;
    };

    // An endpoint that sent a heartbeat without a change.
    struct HeardEndpoint
    {
        EndpointId endpoint;
        std::uint64_t startedAtMs = 0;
        std::uint32_t ageMs = 0;
    };

    std::vector<ChangedEndpoint> changed;
    std::vector<HeardEndpoint> heard;

    // Entries send only this field and the next one.
    PartEvidence partEvidence;

    std::vector<DepartureNotice> departures;

    // The receiver has all changes up to this one. Empty for signs of life.
    StatePosition position;
};

// What a control VM knows of a connected node or of itself.
struct KnownNode
{
    NodeKind kind = NodeKind::Entry;
    std::string name;
    std::string domain;
    std::string internalAddress;
    std::string publicAddress;
    std::uint64_t processStartMs = 0;
    bool isReady = false;

    // Term in which the node leads, 0 while it does not lead.
    Term leadsInTerm = 0;

    bool operator==(const KnownNode &) const = default;
};

// Nodes that a control VM is connected to, including itself.
struct Topology
{
    std::vector<KnownNode> nodes;

    // Entry that the control VM remembers, connected or not.
    struct RememberedEntry
    {
        std::string name;
        std::uint32_t ageMs = 0; // since it was last connected to a control VM
    };
    std::vector<RememberedEntry> rememberedEntries;

    // The nodes are more of those of the topology before.
    bool isContinuation = false;
};

// Announces the newest configuration version of a control VM. Replies to each hello.
struct ConfigurationOffer
{
    std::uint64_t version = 0;

    // How far the control VM has received the state of the node that it replies to.
    StatePosition received;
};

// Requests the part of the document that begins at `offset`, or the whole document if the node does
// not take parts.
struct ConfigurationRequest
{
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
    bool takesParts = false;
};

struct ConfigurationDocument
{
    std::uint64_t version = 0;

    // Compressed text or a part of it.
    std::string document;

    std::uint64_t offset = 0;

    // Size of the whole compressed text, 0 if this is all of it.
    std::uint64_t totalBytes = 0;
};

// Merges the reports and signs of life of an update into `table`. Returns the reports that changed
// it.
std::vector<EndpointReport> applyEndpointUpdate(EndpointTable &table, const EndpointUpdate &update,
                                                TimePoint now);

// Records the entries that a control VM is connected to or remembers.
void recordEntries(EntryRoster &roster, const Topology &topology, TimePoint now);

using LinkMessage = std::variant<LinkHello, RaftEnvelope, EndpointUpdate, Topology,
                                 ConfigurationOffer, ConfigurationRequest, ConfigurationDocument>;

// Load that an entry puts on endpoints, sent to the other entries by UDP.
struct LoadDigest
{
    struct ReportedLoad
    {
        EndpointHash endpoint = 0;
        float requests = 0;
        float pendingPromptTokens = 0;
    };

    std::string entryName;
    std::uint64_t processStartMs = 0;

    // Increases with each digest that a process sends.
    std::uint64_t sequence = 0;

    std::vector<ReportedLoad> loads;

    // Limits that endpoints named, endpoints of which the sender needs tokens, and tokens that it
    // gives away.
    std::vector<LimitReport> limits;
    std::vector<EndpointHash> neededEndpoints;
    std::vector<LimitGrant> grants;

    // Number of this part of the digest. The rows of later parts add to those of the first one.
    std::uint32_t part = 0;
};

std::string encodeLinkMessage(const LinkMessage &message);
std::string encodeLoadDigest(const LoadDigest &digest);

// Throw std::exception when the bytes cannot be decoded. Fields at the end of a message that
// earlier versions of the program do not send are empty.
LinkMessage decodeLinkMessage(std::string_view bytes);
LoadDigest decodeLoadDigest(std::string_view bytes);

} // namespace Trefoil
