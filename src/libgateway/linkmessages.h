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

enum class NodeKind : std::uint8_t { Entry, Control };

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
};

// Messages of the replicated log between seats.
struct RaftEnvelope
{
    std::vector<RaftMessage> messages;
};

// Changes of the endpoint table of a control VM, or its whole content on a new link, and evidence
// about parts of prompts.
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
};

// Announces the newest configuration version of a control VM.
struct ConfigurationOffer
{
    std::uint64_t version = 0;
};

struct ConfigurationRequest
{
    std::uint64_t version = 0;
};

struct ConfigurationDocument
{
    std::uint64_t version = 0;

    // Compressed text.
    std::string document;
};

// Merges the reports and signs of life of an update into `table`.
void applyEndpointUpdate(EndpointTable &table, const EndpointUpdate &update, TimePoint now);

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
};

std::string encodeLinkMessage(const LinkMessage &message);
std::string encodeLoadDigest(const LoadDigest &digest);

// Throw std::exception when the bytes cannot be decoded. Fields at the end of a message that
// earlier versions of the program do not send are empty.
LinkMessage decodeLinkMessage(std::string_view bytes);
LoadDigest decodeLoadDigest(std::string_view bytes);

} // namespace Trefoil
