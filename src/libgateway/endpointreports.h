#pragma once

#include "libfleet/fleet.h"
#include "libgateway/endpointpool.h"
#include "libgateway/linkmessages.h"
#include "libgateway/statefeed.h"
#include "libruntime/signal.h"
#include "libserving/commands.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

// Receives the reports and departures of endpoints at a control VM, and passes on what changes to
// all nodes that are linked to it. A departure is acknowledged only once it is committed in the
// replicated log, so that neither the end of this process nor a restart of all can undo it.
class EndpointReports
{
public:
    struct Handlers
    {
        // Applies the services of the configuration to the table if it has changed.
        std::function<void()> refreshConfiguration;

        // Returns where endpoints send their next reports, empty for this control VM.
        std::function<std::string()> reportAddress;

        // Appends departures to the log and later calls the function, whether they were committed
        // or not. Returns false when this seat does not lead.
        std::function<bool(RecordDepartures, std::function<void(bool isApplied)>)> propose;

        // Sends signs of life to all links.
        std::function<void(const LinkMessage &)> broadcast;

        // Called shortly after changes, for which nextFrame() then has parts.
        std::function<void()> onStateChanged;

        // Called when the table has changed, and shortly after it, once the change was sent.
        std::function<void()> onChanged;
        std::function<void()> onChangeSent;
    };

    // `process` is the start of this process.
    EndpointReports(boost::asio::io_context &context, const Dialect &dialect, std::uint64_t process,
                    Handlers handlers);

    EndpointTable &table() { return table_; }
    const EndpointTable &table() const { return table_; }
    PartQuarantine &quarantine() { return quarantine_; }
    const PartQuarantine &quarantine() const { return quarantine_; }

    boost::asio::awaitable<ServerResponse> handleHeartbeat(EndpointId endpoint, std::string body);
    boost::asio::awaitable<ServerResponse> handleDeparture(EndpointId endpoint, std::string body);

    // Applies the services of a new configuration.
    void applyServices(const ServiceConfiguration &config, TimePoint now);

    // Applies the update of a control VM or an entry.
    void applyUpdate(const EndpointUpdate &update);

    // Records what the answer of an endpoint to an order says about it. The order was sent to the
    // incarnation that was known then, at `reachedAtMs`.
    void recordAnswer(const EndpointId &endpoint, std::uint64_t startedAtMs,
                      std::uint64_t reachedAtMs, const HttpHead &answer);

    // Applies departures that are in the log.
    void applyLog(std::span<const DepartedEndpoint> departures, bool isCommitted);

    // Sends signs of life when they are due and proposes departures that are not committed. Called
    // regularly.
    void tick(TimePoint now);

    // Returns a reader of all that a peer should know beyond what it received before.
    StateReader makeReader(const StatePosition &received) const;

    // Returns the next encoded part for the reader, or null.
    StateFrames::Frame nextFrame(StateReader &reader);

private:
    // Applies a report that an endpoint sent here.
    ReportOutcome applyHeartbeat(const EndpointReport &report);

    // Returns whether the report comes from an unrelated program that uses the id of an endpoint.
    bool isForeign(const EndpointReport &report) const;

    StateTables tables() const { return {table_, quarantine_}; }

    // Waits until a recorded departure is committed. Returns false after a time within which the
    // endpoint expects the answer.
    boost::asio::awaitable<bool> confirmDeparture(EndpointId endpoint, std::uint64_t startedAtMs);

    // Returns the start of the latest known incarnation, 0 when none is known.
    std::uint64_t latestKnownStart(const EndpointId &endpoint) const;
    void recordNotice(const DepartureNotice &notice, const char *source);
    void proposeDepartures();
    void notifyWaiters();

    // Logs the change and schedules an update to all links.
    void announceChange(const EndpointReport &report);

    // Sends an update after a short delay, so that it contains further changes.
    void scheduleUpdate();
    void sendUpdate();
    void sendSignsOfLife(TimePoint now);

    ServerResponse makeErrorResponse(std::uint32_t status, const std::string &text) const;

    boost::asio::io_context &context_;
    const Dialect &dialect_;
    Handlers handlers_;
    EndpointTable table_;

    // Evidence about parts of prompts of all entries, kept for entries that start.
    PartQuarantine quarantine_;

    // What the links are told of all three.
    StateFeed feed_;
    StateFrames frames_;
    StatePosition announcedPosition_;

    // Endpoints that were heard since the last update and have not changed.
    std::set<EndpointId> heardEndpoints_;

    RuntimeTimer updateTimer_;
    bool isUpdateScheduled_ = false;
    TimePoint nextHeardUpdateAt_{};
    TimePoint nextExpiryAt_{};

    // Whether departures were proposed whose outcome is open.
    bool isProposalOpen_ = false;

    // Calls that wait for the commit of a departure.
    std::set<AsyncCondition *> waiters_;
};

} // namespace Trefoil
