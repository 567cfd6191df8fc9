#pragma once

#include "libfleet/changelog.h"
#include "libgateway/linkmessages.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

// Passes on what a node knows of endpoints, departures and parts of prompts. It may be larger than
// any message, so it goes in parts that each stand for themselves, and a peer whose link broke goes
// on after the last part that it received.

namespace Trefoil {

// The rows of a node's tables in the order of their changes.
struct StateFeed
{
    // Start of the process, which identifies the numbers of the changes.
    std::uint64_t process = 0;

    ChangeLog<EndpointId> departures;
    ChangeLog<EndpointId> endpoints;
    ChangeLog<EvidenceKey> evidence;

    // Endpoints by id and service.
    ChangeLog<std::pair<EndpointId, std::string>> unconfigured;
};

// The tables whose rows a feed passes on.
struct StateTables
{
    const EndpointTable &endpoints;
    const PartQuarantine &quarantine;

    // Leaves out departures that are committed.
    bool omitsDurableDepartures = false;
};

// What a peer has been sent.
struct StateReader
{
    StatePosition position;

    // Last changes when the reader began. Of later ones, it is sent those that are not relayed.
    StatePosition target;
};

// Returns the position of a reader that has been sent everything.
StatePosition lastPosition(const StateFeed &feed);

// A reader for a peer that has received the parts up to `received`, which counts only if it is of
// this process.
StateReader makeStateReader(const StateFeed &feed, const StatePosition &received);

// Records that the endpoint's row, or one of its rows, has changed.
void recordEndpointChange(StateFeed &feed, const EndpointTable &table, const EndpointReport &report,
                          bool isRelayed);

void recordEvidenceChange(StateFeed &feed, const PartEvidence &evidence, bool isRelayed);

// Sends the endpoints of the services again that the configuration names now, since a peer may have
// had no room for them before. Called before these services are applied to the table.
void recordNamedServices(StateFeed &feed, const EndpointTable &table,
                         const ServiceConfiguration &config);

// Forgets rows that are in the tables no more.
void removeMissingRows(StateFeed &feed, const StateTables &tables);

// Returns the next part for the reader, of up to MaxPartBytes or one row, or nothing when it has
// been sent everything. Departures and endpoints of configured services come first.
std::optional<EndpointUpdate> nextPart(StateFeed &feed, const StateTables &tables,
                                       StateReader &reader, TimePoint now);

// Encoded parts of a feed. Readers that wait for the same part share it.
class StateFrames
{
public:
    using Frame = std::shared_ptr<const std::string>;

    // Returns null when the reader has been sent everything.
    Frame next(StateFeed &feed, const StateTables &tables, StateReader &reader, TimePoint now);

    // Must be called after each change of the feed.
    void reset() { frame_ = nullptr; }

private:
    Frame frame_;
    StatePosition from_;
    StatePosition to_;
    TimePoint encodedAt_{};
};

} // namespace Trefoil
