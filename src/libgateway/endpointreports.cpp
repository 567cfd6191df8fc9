#include "libgateway/endpointreports.h"

#include "libgateway/messageparts.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <algorithm>
#include <limits>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

// Changes that occur within this time are sent in one message.
constexpr auto UpdateDelay = std::chrono::milliseconds(5);

constexpr auto HeardUpdateInterval = std::chrono::milliseconds(500);
constexpr auto ExpiryInterval = std::chrono::milliseconds(500);
constexpr auto EndpointRetention = std::chrono::minutes(5);

// Like those of the replicated log, see ControlLimits.
constexpr auto DepartureRetention = std::chrono::hours(1);
constexpr std::size_t MaxDepartures = 10'000;

// Endpoints turn to another control VM when they have waited one second for an answer.
constexpr auto ConfirmationTimeout = std::chrono::milliseconds(850);

constexpr std::size_t MaxDeparturesPerProposal = 1000;
constexpr std::size_t MaxEndpointIdBytes = 256;

constexpr const char *IncompleteEngineReport = "the report of an engine has no 'models'";
constexpr const char *FullTable = "there is no room for more endpoints";
constexpr const char *UnconfirmedDeparture = "the departure could not be confirmed";

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(duration / std::chrono::milliseconds(1), 0));
}

std::string joinTexts(std::span<const std::string> texts)
{
    std::string joined;
    for (const std::string &text : texts)
        joined += (joined.empty() ? "" : ",") + text;
    return joined;
}

// Returns an age that fits into a notice.
std::uint32_t toNoticeAge(std::uint64_t ageMs)
{
    return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(ageMs, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

EndpointReports::EndpointReports(asio::io_context &context, const Dialect &dialect,
                                 std::uint64_t process, Handlers handlers)
    : context_(context)
    , dialect_(dialect)
    , handlers_(std::move(handlers))
    , updateTimer_(context)
{
    table_.services.emplace();
    feed_.process = process;
}

asio::awaitable<ServerResponse> EndpointReports::handleHeartbeat(EndpointId endpoint,
                                                                 std::string body)
{
    auto decoded = dialect_.decodeHeartbeat(endpoint, body);
    if (const auto *error = std::get_if<std::string>(&decoded)) {
        logEvent(Event::EndpointReportInvalid, {{"endpoint", endpoint}, {"error", *error}});
        co_return makeErrorResponse(400, *error);
    }
    const auto &report = std::get<EndpointReport>(decoded);
    handlers_.refreshConfiguration();
    if (isUnusable(table_, report)) {
        logEvent(Event::EndpointReportInvalid,
                 {{"endpoint", endpoint}, {"error", IncompleteEngineReport}});
        co_return makeErrorResponse(400, IncompleteEngineReport);
    }
    const ReportOutcome outcome = applyHeartbeat(report);
    if (outcome == ReportOutcome::Refused && table_.services->contains(report.service))
        co_return makeErrorResponse(503, FullTable);
    if (report.isDraining && !isForeign(report)) {
        const bool isConfirmed = co_await confirmDeparture(report.id, report.startedAtMs);
        if (!isConfirmed)
            co_return makeErrorResponse(503, UnconfirmedDeparture);
    }
    ServerResponse response;
    response.body = dialect_.encodeHeartbeatReply(handlers_.reportAddress());
    co_return response;
}

// A report of a service that is not configured is kept and passed on as well, because this control
// VM or an entry may learn later that the service was added.
ReportOutcome EndpointReports::applyHeartbeat(const EndpointReport &report)
{
    if (report.isDraining && !isForeign(report))
        recordNotice({report.id, report.startedAtMs}, "report");
    const ReportOutcome outcome =
            applyReport(table_, report, Duration::zero(), RuntimeClock::now());
    if (outcome == ReportOutcome::Changed)
        announceChange(report);
    else if (outcome == ReportOutcome::Refreshed)
        heardEndpoints_.insert(report.id);
    return outcome;
}

bool EndpointReports::isForeign(const EndpointReport &report) const
{
    const Endpoint *configured = findEndpoint(table_, report.id);
    return configured && configured->report.service != report.service
           && !table_.services->contains(report.service);
}

asio::awaitable<ServerResponse> EndpointReports::handleDeparture(EndpointId endpoint,
                                                                 std::string body)
{
    if (endpoint.empty() || endpoint.size() > MaxEndpointIdBytes)
        co_return makeErrorResponse(400, "the endpoint's id is empty or too long");
    const auto decoded = dialect_.decodeDeparture(body);
    if (const auto *error = std::get_if<std::string>(&decoded)) {
        logEvent(Event::EndpointReportInvalid, {{"endpoint", endpoint}, {"error", *error}});
        co_return makeErrorResponse(400, *error);
    }
    const DepartureNotice notice =
            makeDepartureNotice({endpoint, std::get<std::uint64_t>(decoded),
                                 latestKnownStart(endpoint), unsteppedWallTimeMs()});
    recordNotice(notice, "departure");
    const bool isConfirmed = co_await confirmDeparture(endpoint, notice.startedAtMs);
    if (!isConfirmed)
        co_return makeErrorResponse(503, UnconfirmedDeparture);
    ServerResponse response;
    response.body = dialect_.encodeHeartbeatReply({});
    co_return response;
}

std::uint64_t EndpointReports::latestKnownStart(const EndpointId &endpoint) const
{
    std::uint64_t startedAtMs = 0;
    for (const Endpoint *incarnation : findAllEndpoints(table_, endpoint))
        startedAtMs = std::max(startedAtMs, incarnation->report.startedAtMs);
    return startedAtMs;
}

asio::awaitable<bool> EndpointReports::confirmDeparture(EndpointId endpoint,
                                                        std::uint64_t startedAtMs)
{
    proposeDepartures();
    const TimePoint deadline = RuntimeClock::now() + ConfirmationTimeout;
    const auto isDurable = [&] {
        return hasDurableDeparture(table_.departures, endpoint, startedAtMs);
    };
    AsyncCondition signal(context_.get_executor());
    waiters_.insert(&signal);
    while (!isDurable() && RuntimeClock::now() < deadline)
        co_await signal.wait(deadline);
    waiters_.erase(&signal);
    co_return isDurable();
}

// Applies a notice, logs what it changes and schedules that the news are passed on.
void EndpointReports::recordNotice(const DepartureNotice &notice, const char *source)
{
    const DepartureOutcome outcome = applyDeparture(table_, notice, RuntimeClock::now());
    if (outcome == DepartureOutcome::Known)
        return;
    const bool isDurable =
            hasDurableDeparture(table_.departures, notice.endpoint, notice.startedAtMs);
    logEvent(Event::EndpointDeparted, {{"endpoint", notice.endpoint},
                                       {"started", std::to_string(notice.startedAtMs)},
                                       {"committed", isDurable ? "yes" : "no"},
                                       {"source", source}});
    recordChange(feed_.departures, notice.endpoint, false);
    scheduleUpdate();
    if (isDurable)
        notifyWaiters();
}

// Proposes all departures that are not committed, unless a proposal is open. The next one then
// contains those that came in the meantime.
void EndpointReports::proposeDepartures()
{
    if (isProposalOpen_ || table_.departures.notDurable.empty())
        return;
    const TimePoint now = RuntimeClock::now();
    const std::uint64_t nowMs = wallTimeMs();
    RecordDepartures command;
    for (const EndpointId &id : table_.departures.notDurable) {
        if (command.departures.size() == MaxDeparturesPerProposal)
            break;
        const DepartureNotice notice = makeDepartureNotice(table_.departures, id, now);
        command.departures.push_back({id, notice.startedAtMs, nowMs - notice.ageMs});
    }
    isProposalOpen_ = true;
    const bool isProposed = handlers_.propose(std::move(command), [this](bool /*isApplied*/) {
        isProposalOpen_ = false;
        // The departures of this proposal that were lost are proposed again by tick().
    });
    if (!isProposed)
        isProposalOpen_ = false;
}

void EndpointReports::notifyWaiters()
{
    for (AsyncCondition *signal : waiters_)
        signal->notify();
}

void EndpointReports::applyServices(const ServiceConfiguration &config, TimePoint now)
{
    recordNamedServices(feed_, table_, config);
    setServices(table_, config, now);
    scheduleUpdate();
}

void EndpointReports::applyUpdate(const EndpointUpdate &update)
{
    const TimePoint now = RuntimeClock::now();
    PartEvidence news = mergeEvidence(quarantine_, update.partEvidence, now);
    if (!news.isEmpty()) {
        recordEvidenceChange(feed_, news, false);
        scheduleUpdate();
    }
    for (const DepartureNotice &notice : update.departures)
        recordNotice(notice, "link");
    if (update.changed.empty() && update.heard.empty())
        return;
    handlers_.refreshConfiguration();
    const std::vector<EndpointReport> changed = applyEndpointUpdate(table_, update, now);
    for (const EndpointReport &report : changed)
        recordEndpointChange(feed_, table_, report, true);
    handlers_.onChanged();
}

void EndpointReports::recordAnswer(const EndpointId &endpoint, std::uint64_t startedAtMs,
                                   std::uint64_t reachedAtMs, const HttpHead &answer)
{
    const std::string *leaving = findField(answer, dialect_.headers.leaving);
    // An answer 421 comes from another endpoint at the address.
    if (leaving && answer.status != 421 && dialect_.decodeLeaving(*leaving))
        recordNotice(makeDepartureNotice({endpoint, 0, startedAtMs, reachedAtMs}), "answer");
}

void EndpointReports::applyLog(std::span<const DepartedEndpoint> departures, bool isCommitted)
{
    const std::uint64_t nowMs = wallTimeMs();
    for (const DepartedEndpoint &departure : departures) {
        const std::uint64_t ageMs = nowMs - std::min(nowMs, departure.departedAtMs);
        recordNotice({departure.endpoint, departure.startedAtMs, toNoticeAge(ageMs), isCommitted},
                     "log");
    }
}

void EndpointReports::tick(TimePoint now)
{
    proposeDepartures();
    if (now >= nextExpiryAt_) {
        nextExpiryAt_ = now + ExpiryInterval;
        removeExpiredEndpoints(table_, EndpointRetention, now);
        removeExpiredDepartures(table_.departures, DepartureRetention, MaxDepartures, now);
        removeExpiredEvidence(quarantine_, now);
        removeMissingRows(feed_, tables());
    }
    if (now >= nextHeardUpdateAt_) {
        nextHeardUpdateAt_ = now + HeardUpdateInterval;
        sendUpdate();
    }
}

void EndpointReports::announceChange(const EndpointReport &report)
{
    const auto &membership = report.membership;
    const Endpoint *configured = findEndpoint(table_, report.id);
    const bool isConfigured = configured && configured->report.service == report.service;
    const bool isLeaving = hasDeparted(table_.departures, report.id, report.startedAtMs);
    logEvent(Event::EndpointChanged,
             {{"endpoint", report.id},
              {"service", report.service},
              {"configured", isConfigured ? "yes" : "no"},
              {"address", report.address},
              {"draining", report.isDraining ? "yes" : "no"},
              {"left", isLeaving ? "yes" : "no"},
              {"fabric", report.fabric},
              {"staged", joinTexts(report.stagedModels)},
              {"group", membership ? membership->group : ""},
              {"phase", membership ? std::to_string(static_cast<int>(membership->phase)) : ""}});
    recordEndpointChange(feed_, table_, report, false);
    heardEndpoints_.erase(report.id);
    scheduleUpdate();
}

void EndpointReports::scheduleUpdate()
{
    handlers_.onChanged();
    if (isUpdateScheduled_)
        return;
    isUpdateScheduled_ = true;
    updateTimer_.expires_after(UpdateDelay);
    updateTimer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        sendUpdate();
        handlers_.onChangeSent();
    });
}

void EndpointReports::sendUpdate()
{
    isUpdateScheduled_ = false;
    const StatePosition position = lastPosition(feed_);
    if (position != std::exchange(announcedPosition_, position)) {
        frames_.reset();
        handlers_.onStateChanged();
    }
    sendSignsOfLife(RuntimeClock::now());
}

void EndpointReports::sendSignsOfLife(TimePoint now)
{
    std::vector<EndpointUpdate::HeardEndpoint> heard;
    for (const EndpointId &id : std::exchange(heardEndpoints_, {})) {
        for (const Endpoint *known : findAllEndpoints(table_, id))
            heard.push_back(
                    {id, known->report.startedAtMs, toMilliseconds(now - known->lastHeard)});
    }
    if (heard.empty())
        return;
    for (const EndpointUpdate &part : divide(std::move(heard)))
        handlers_.broadcast(part);
}

StateReader EndpointReports::makeReader(const StatePosition &received) const
{
    return makeStateReader(feed_, received);
}

StateFrames::Frame EndpointReports::nextFrame(StateReader &reader)
{
    return frames_.next(feed_, tables(), reader, RuntimeClock::now());
}

ServerResponse EndpointReports::makeErrorResponse(std::uint32_t status,
                                                  const std::string &text) const
{
    ServerResponse response;
    response.status = status;
    response.body = dialect_.encodeError(text);
    return response;
}

} // namespace Trefoil
