#include "libgateway/statefeed.h"

#include "libgateway/link.h"
#include "libgateway/messageparts.h"

#include <algorithm>

namespace Trefoil {

namespace {

// An encoded part may be sent again within this time, since it contains ages.
constexpr auto MaxFrameAge = std::chrono::milliseconds(5);

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(duration / std::chrono::milliseconds(1), 0));
}

enum class RowResult : std::uint8_t { Added, Missing, NoRoom };

// The part that is filled.
struct OpenPart
{
    EndpointUpdate update;
    std::size_t bytes = 0;
    bool isFull = false;

    // Returns whether a row of this size fits, which the first one always does.
    bool takes(std::size_t rowBytes)
    {
        if (bytes > 0 && bytes + rowBytes > MaxPartBytes)
            return false;
        bytes += rowBytes;
        return true;
    }
};

// Adds the rows that changed after `position` until the part is full.
template <class Key, class AddRow>
void readChanges(ChangeLog<Key> &log, std::uint64_t &position, std::uint64_t target, OpenPart &part,
                 AddRow addRow)
{
    while (!part.isFull) {
        const auto next = log.changes.upper_bound(position);
        if (next == log.changes.end()) {
            position = log.last;
            return;
        }
        const std::uint64_t number = next->first;
        const bool isSkipped = next->second.isRelayed && number > target;
        const RowResult result = isSkipped ? RowResult::Added : addRow(next->second.key);
        if (result == RowResult::NoRoom) {
            part.isFull = true;
            return;
        }
        if (result == RowResult::Missing)
            forgetChange(log, Key(next->second.key));
        position = number;
    }
}

RowResult addEndpoint(OpenPart &part, const Endpoint *endpoint, TimePoint now)
{
    if (!endpoint)
        return RowResult::Missing;
    if (!part.takes(encodedBytes(endpoint->report)))
        return RowResult::NoRoom;
    part.update.changed.push_back(
            {endpoint->report, toMilliseconds(now - endpoint->lastHeard), endpoint->isLeaving});
    return RowResult::Added;
}

// Returns the endpoint of this service, configured or not, or null.
const Endpoint *findOfService(const EndpointTable &table,
                              const std::pair<EndpointId, std::string> &key)
{
    const auto found = table.unconfigured.find(key);
    if (found != table.unconfigured.end())
        return &found->second;
    const Endpoint *configured = findEndpoint(table, key.first);
    return configured && configured->report.service == key.second ? configured : nullptr;
}

RowResult addDeparture(OpenPart &part, const StateTables &tables, const EndpointId &id,
                       TimePoint now)
{
    const DepartureTable &departures = tables.endpoints.departures;
    const auto found = departures.byEndpoint.find(id);
    const bool isOmitted = found != departures.byEndpoint.end() && found->second.isDurable
                           && tables.omitsDurableDepartures;
    if (found == departures.byEndpoint.end() || isOmitted)
        return RowResult::Missing;
    const DepartureNotice notice = makeDepartureNotice(departures, id, now);
    if (!part.takes(encodedBytes(notice)))
        return RowResult::NoRoom;
    part.update.departures.push_back(notice);
    return RowResult::Added;
}

RowResult addEvidence(OpenPart &part, const PartQuarantine &quarantine, const EvidenceKey &key,
                      TimePoint now)
{
    PartEvidence row = evidenceOf(quarantine, key, now);
    if (row.isEmpty())
        return RowResult::Missing;
    if (!part.takes(encodedBytes(row)))
        return RowResult::NoRoom;
    appendEvidence(part.update.partEvidence, std::move(row));
    return RowResult::Added;
}

} // namespace

StatePosition lastPosition(const StateFeed &feed)
{
    return {feed.process, feed.departures.last, feed.endpoints.last, feed.evidence.last,
            feed.unconfigured.last};
}

StateReader makeStateReader(const StateFeed &feed, const StatePosition &received)
{
    StateReader reader;
    if (received.process == feed.process)
        reader.position = received;
    reader.position.process = feed.process;
    reader.target = lastPosition(feed);
    return reader;
}

void recordEndpointChange(StateFeed &feed, const EndpointTable &table, const EndpointReport &report,
                          bool isRelayed)
{
    const Endpoint *configured = findEndpoint(table, report.id);
    if (configured && configured->report.service == report.service)
        recordChange(feed.endpoints, report.id, isRelayed);
    else
        recordChange(feed.unconfigured, {report.id, report.service}, isRelayed);
}

void recordEvidenceChange(StateFeed &feed, const PartEvidence &evidence, bool isRelayed)
{
    for (const EvidenceKey &key : evidenceKeys(evidence))
        recordChange(feed.evidence, key, isRelayed);
}

void recordNamedServices(StateFeed &feed, const EndpointTable &table,
                         const ServiceConfiguration &config)
{
    for (const auto &[key, endpoint] : table.unconfigured) {
        if (!findService(config, key.second))
            continue;
        forgetChange(feed.unconfigured, key);
        recordChange(feed.endpoints, key.first, false);
    }
}

void removeMissingRows(StateFeed &feed, const StateTables &tables)
{
    const auto removeMissing = [](auto &log, auto isKnown) {
        std::erase_if(log.numbers, [&](const auto &item) {
            if (isKnown(item.first))
                return false;
            log.changes.erase(item.second);
            return true;
        });
    };
    const EndpointTable &table = tables.endpoints;
    removeMissing(feed.departures,
                  [&](const EndpointId &id) { return table.departures.byEndpoint.contains(id); });
    removeMissing(feed.endpoints,
                  [&](const EndpointId &id) { return table.endpoints.contains(id); });
    removeMissing(feed.evidence,
                  [&](const EvidenceKey &key) { return hasEvidence(tables.quarantine, key); });
    removeMissing(feed.unconfigured,
                  [&](const auto &key) { return findOfService(table, key) != nullptr; });
}

std::optional<EndpointUpdate> nextPart(StateFeed &feed, const StateTables &tables,
                                       StateReader &reader, TimePoint now)
{
    OpenPart part;
    const EndpointTable &table = tables.endpoints;
    StatePosition &position = reader.position;
    const StatePosition &target = reader.target;
    readChanges(feed.departures, position.departures, target.departures, part,
                [&](const EndpointId &id) { return addDeparture(part, tables, id, now); });
    readChanges(
            feed.endpoints, position.endpoints, target.endpoints, part,
            [&](const EndpointId &id) { return addEndpoint(part, findEndpoint(table, id), now); });
    readChanges(
            feed.evidence, position.evidence, target.evidence, part,
            [&](const EvidenceKey &key) { return addEvidence(part, tables.quarantine, key, now); });
    readChanges(feed.unconfigured, position.unconfigured, target.unconfigured, part,
                [&](const auto &key) { return addEndpoint(part, findOfService(table, key), now); });
    if (part.bytes == 0)
        return std::nullopt;
    part.update.position = position;
    return std::move(part.update);
}

StateFrames::Frame StateFrames::next(StateFeed &feed, const StateTables &tables,
                                     StateReader &reader, TimePoint now)
{
    // Only readers that are past their target are sent the same from the same position.
    const StatePosition &target = reader.target;
    const StatePosition &position = reader.position;
    const bool isLive =
            position.departures >= target.departures && position.endpoints >= target.endpoints
            && position.evidence >= target.evidence && position.unconfigured >= target.unconfigured;
    if (isLive && frame_ && position == from_ && now - encodedAt_ < MaxFrameAge) {
        reader.position = to_;
        return frame_;
    }
    const StatePosition from = position;
    const auto part = nextPart(feed, tables, reader, now);
    if (!part)
        return nullptr;
    auto frame = std::make_shared<const std::string>(encodeLinkFrame(*part));
    if (isLive) {
        frame_ = frame;
        from_ = from;
        to_ = reader.position;
        encodedAt_ = now;
    }
    return frame;
}

} // namespace Trefoil
