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

// First message of the side that connects, and again when its facts change.
struct LinkHello
{
    NodeKind kind = NodeKind::Entry;
    std::string name;
    std::string domain;
    std::string internalAddress; // TCP of control VMs, UDP of entries
    std::string publicAddress;   // for callers of an entry, for operators of a control VM
    std::uint64_t process = 0;   // start of the process, larger for later ones
    SeatId seat = NoSeat;
    bool isReady = false;
    std::uint64_t requests = 0; // that the entry has taken

    // Endpoints whose answers made progress here.
    struct Progress
    {
        EndpointId endpoint;
        std::uint64_t startedAtMs = 0;
        std::uint32_t ageMs = 0;
    };
    std::vector<Progress> progress;
    std::vector<EndpointId> stalled; // heads without progress for their requests
    // Requests that would be in progress if the entry refused none, by model.
    std::map<std::string, double> demand;

    // The latest leader that this node knows of; entries carry it between parted control VMs.
    Term leaderTerm = 0;
    std::string leaderAddress; // for endpoints
};

struct RaftEnvelope
{
    std::vector<RaftMessage> messages;
};

struct EndpointNews
{
    struct Item
    {
        EndpointReport report;
        std::uint32_t ageMs = 0;
        bool hasLeft = false;
    };
    struct Sign
    {
        EndpointId endpoint;
        std::uint64_t startedAtMs = 0;
        std::uint32_t ageMs = 0;
    };
    std::vector<Item> items; // changed endpoints
    std::vector<Sign> signs; // unchanged endpoints that were heard
};

struct KnownNode
{
    NodeKind kind = NodeKind::Entry;
    std::string name;
    std::string domain;
    std::string internalAddress;
    std::string publicAddress;
    std::uint64_t process = 0;
    bool isReady = false;
    Term leadsInTerm = 0; // 0 while it does not lead

    bool operator==(const KnownNode &) const = default;
};

// The nodes that a control VM is connected with.
struct Topology
{
    std::vector<KnownNode> nodes;
};

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
    std::string document;
};

// Takes what another control VM knows of endpoints into the own table. Endpoints of services that
// the configuration does not name are left out; without a configuration all are taken.
void applyNews(EndpointTable &table, const EndpointNews &news, const ServiceConfiguration *config,
               TimePoint now);

using LinkMessage = std::variant<LinkHello, RaftEnvelope, EndpointNews, Topology,
                                 ConfigurationOffer, ConfigurationRequest, ConfigurationDocument>;

// Load that an entry put on endpoints, sent to the other entries by UDP.
struct LoadDigest
{
    struct Item
    {
        EndpointHash endpoint = 0;
        float requests = 0;
        float pendingPromptTokens = 0;
    };
    std::string entry;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::vector<Item> items;
};

std::string encodeLinkMessage(const LinkMessage &message);
std::string encodeLoadDigest(const LoadDigest &digest);

// Throw std::exception when the bytes cannot be read.
LinkMessage decodeLinkMessage(std::string_view bytes);
LoadDigest decodeLoadDigest(std::string_view bytes);

} // namespace Trefoil
