#include "callers.h"

#include "standinservers.h"

#include "libgateway/endpointpool.h"
#include "libruntime/clock.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Turns of most conversations and of the longest ones, whose heads stay within their limit.
constexpr std::uint64_t FewTurns = 50;
constexpr std::uint64_t MaxTurns = 1000;

constexpr std::size_t BufferBytes = 256 * 1024;
constexpr auto ConnectTimeout = std::chrono::seconds(1);
constexpr auto EntryListLifetime = std::chrono::seconds(2);
constexpr auto RetryDelay = std::chrono::milliseconds(200);

// Time in which an acknowledged configuration must be in force at every entry.
constexpr auto ApplyTimeout = std::chrono::seconds(3);

// Time after a fault on an entry before its behavior is checked again.
constexpr auto FaultRecoveryTime = std::chrono::seconds(4);

// Delay of a response past the request's deadline that a busy machine can cause.
constexpr auto ResponseTolerance = std::chrono::seconds(5);

constexpr auto StreamTimeout = std::chrono::seconds(6);
constexpr auto PlainTimeout = std::chrono::milliseconds(1500);

// Probability that a caller disconnects from a stream before its end.
constexpr double DisconnectProbability = 0.05;

const std::string Host = "a.example";

json::object makeRoute(const std::string &name, const std::string &prefix,
                       const std::string &service, const std::string &kind)
{
    json::object route;
    route["name"] = name;
    route["host"] = Host;
    route["path-prefix"] = prefix;
    route["kind"] = kind;
    route["timeout-ms"] = kind == "streaming" ? 6000 : 1500;
    route["target-latency-ms"] = 1000;
    route["priority"] = 1;
    route["attempts"] = 2;
    route["public"] = false;
    route["service"] = service;
    if (kind == "streaming") {
        route["stream-resume"] = true;
        route["gap-aim-ms"] = 300;
    }
    return route;
}

// Describes the engines of the fleet in the form of the configuration.
json::object makeEngine(const SoakState &soak)
{
    const EngineProfile &profile = *soak.fleet.config.services.front().engine;
    json::object engine;
    engine["slots"] = profile.slots;
    engine["kv-tokens"] = 1'400'000;
    engine["stride"] = 5;
    engine["step_ms"] = 6.0;
    engine["per_seq_ms"] = 0.24;
    engine["context_per_k"] = 0.005;
    engine["read_per_s"] = 46'000;
    engine["pairs_per_m"] = 0.7;
    engine["chunk"] = 2048;
    engine["loads-per-s"] = profile.loadsPerSecond;
    engine["loads_at_once"] = profile.concurrentLoads;
    engine["keeps"] = 1;
    engine["form-ms"] = 300;
    engine["usual"] = {{"prompt", 100}, {"answer", 125}};
    json::array models;
    for (const ModelProfile &model : profile.models)
        models.push_back({{"name", model.name},
                          {"size", model.vmsPerGroup},
                          {"share", model.workShare},
                          {"pace", model.timeFactor},
                          {"load-s", std::chrono::duration<double>(model.loadTime).count()},
                          {"warm-s", std::chrono::duration<double>(model.stagedLoadTime).count()}});
    engine["models"] = std::move(models);
    return engine;
}

// Two of three versions have a further service, and the routes that some versions added lead to it.
// The next version moves them back and removes the service.
bool hasExtraService(std::uint64_t version)
{
    return version % 3 != 0;
}

bool leadsToExtraService(std::uint64_t version, std::uint64_t addedVersion)
{
    return hasExtraService(version) && addedVersion % 3 == 1;
}

// Returns the latest version whose added route leads to the further service.
std::uint64_t lastExtraRoute(std::uint64_t version)
{
    return version - (version + 2) % 3;
}

// Returns the path prefix of the route that a version adds.
std::string addedRoutePrefix(std::uint64_t version)
{
    return "/added-" + std::to_string(version) + "/";
}

// Returns the configuration of a version. Each version adds one route to those of all earlier
// versions.
std::string makeConfiguration(const SoakState &soak, std::uint64_t version)
{
    json::object root;
    root["version"] = version;
    json::array routes{makeRoute("stream", "/stream/", "drafts", "streaming"),
                       makeRoute("book", "/book/", "ledger", "non_idempotent"),
                       makeRoute("look", "/look/", "ledger", "idempotent")};
    for (std::uint64_t added = 1; added <= version; ++added)
        routes.push_back(makeRoute("added-" + std::to_string(added), addedRoutePrefix(added),
                                   leadsToExtraService(version, added) ? ExtraService : "ledger",
                                   "idempotent"));
    root["routes"] = std::move(routes);
    json::object engines{{"name", "drafts"}, {"health-path", "/health"}, {"max-connections", 400}};
    engines["engine"] = makeEngine(soak);
    json::object ledger{{"name", "ledger"}, {"health-path", "/health"}, {"max-connections", 100}};
    json::array services{std::move(engines), std::move(ledger)};
    if (hasExtraService(version))
        services.push_back(json::object{
                {"name", ExtraService}, {"health-path", "/health"}, {"max-connections", 100}});
    root["services"] = std::move(services);
    root["limits"] = {{"max-header-bytes", 16'384},
                      {"max-body-bytes", 4'194'304},
                      {"header-timeout-ms", 3000},
                      {"idle-timeout-ms", 15'000}};
    root["tenants"] = {json::object{{"name", "haldar"}, {"keys", {"secret"}}, {"priority", 1}}};
    return json::serialize(root);
}

// Calls a random control VM and follows its redirections. The status is 0 when none responded.
asio::awaitable<HttpCallResult> callControlNode(SoakState &soak, HttpCall call)
{
    constexpr int maxRedirections = 2;
    call.address = addressOf(randomNode(soak, "control"), ControlPort);
    HttpCallResult answer = co_await callHttp(call);
    for (int i = 0; i < maxRedirections && answer.status == 307; ++i) {
        const std::string *location = findField(answer.head, "Location");
        const std::size_t scheme = std::string_view("http://").size();
        if (!location || location->size() <= scheme)
            break;
        call.address = location->substr(scheme, location->find('/', scheme) - scheme);
        answer = co_await callHttp(call);
    }
    co_return answer;
}

// Sends a version once. Returns whether it was acknowledged.
asio::awaitable<bool> publishConfiguration(SoakState &soak, std::uint64_t version)
{
    HttpCall call;
    call.target = "/trefoilrun/configuration/replace";
    call.body = makeConfiguration(soak, version);
    const HttpCallResult answer = co_await callControlNode(soak, std::move(call));
    const bool isRefused = answer.status >= 400 && answer.status < 500 && answer.status != 408
                           && answer.status != 429;
    if (isRefused)
        reportViolation(soak, "configuration " + std::to_string(version) + " was refused with "
                                      + std::to_string(answer.status) + ": " + answer.body);
    if (answer.status == 200)
        soak.acknowledgedVersion = std::max(soak.acknowledgedVersion, version);
    co_return answer.status == 200;
}

// What a caller received of one response.
struct ExchangeResult
{
    bool isConnected = false;

    // The response ended according to its framing.
    bool isComplete = false;

    std::uint32_t status = 0;
    std::string body;

    // The connection can carry another request.
    bool isReusable = false;
};

std::string makeRequestText(const SentRequest &request, const std::string &id,
                            std::uint64_t lastEvent, Duration time)
{
    std::ostringstream text;
    text << "POST " << request.path << " HTTP/1.1\r\nHost: " << Host
         << "\r\nX-Trefoilrun-Attempt-Id: " << id << "\r\nX-Trefoilrun-Request-Deadline: "
         << std::chrono::duration_cast<std::chrono::milliseconds>(time).count()
         << "\r\nAuthorization: Bearer secret\r\nX-Trefoilrun-Tenant-Name: forged\r\n";
    if (request.kind == RequestKind::Stream)
        text << "X-Trefoilrun-Prompt-Prefix: " << request.parts
             << "\r\nX-Trefoilrun-Model-Name: large\r\nX-Trefoilrun-Token-Count: 100,125\r\n";
    if (lastEvent > 0)
        text << "Last-Event-Id: " << lastEvent << "\r\n";
    text << "Content-Length: " << request.body.size() << "\r\n\r\n" << request.body;
    return text.str();
}

// Sends a request over the channel and reads the response until `deadline`. Disconnects at
// `disconnectAt`.
asio::awaitable<ExchangeResult> exchangeRequest(ChannelPointer channel, std::string request,
                                                TimePoint deadline, TimePoint disconnectAt)
{
    ExchangeResult result;
    result.isConnected = true;
    AsyncCondition signal(channel->executor());
    channel->setChangeSignal(&signal);
    HttpParser parser(HttpMessageKind::Response, BufferBytes, BufferBytes);
    bool isOpen = co_await channel->write(request, deadline);
    const TimePoint end = std::min(deadline, disconnectAt);
    while (isOpen) {
        isOpen = parser.consume(channel->input());
        channel->resumeReading();
        if (!isOpen || parser.isDone() || channel->isEnded() || RuntimeClock::now() >= end)
            break;
        co_await signal.wait(end);
    }
    channel->setChangeSignal(nullptr);
    result.isComplete = parser.isDone();
    result.status = parser.isHeadDone() ? parser.head().status : 0;
    result.body = parser.takeBody();
    result.isReusable = parser.isDone() && parser.keepsAlive() && !channel->isEnded();
    if (!result.isReusable)
        channel->close();
    co_return result;
}

// A caller, its list of entries and its open connection.
struct Caller
{
    std::uint64_t number = 0;
    std::vector<std::string> entries;
    TimePoint entriesValidUntil{};
    ChannelPointer channel;

    // Address of the entry at the other end of the channel.
    std::string entry;

    // Last event of an interrupted stream that the next request resumes; 0 for none.
    std::uint64_t lastEvent = 0;
};

// Fetches the list of entries when the last one has expired. Drops a connection to an entry that is
// no longer on the list.
asio::awaitable<void> refreshEntryList(SoakState &soak, Caller &caller)
{
    if (RuntimeClock::now() < caller.entriesValidUntil)
        co_return;
    HttpCall call;
    call.method = "GET";
    call.address = addressOf(randomNode(soak, "control"), EntryListPort);
    call.target = "/trefoilrun/resolution?name=" + Host + "&region=soak&zone=d1";
    const HttpCallResult answer = co_await callHttp(std::move(call));
    if (answer.status != 200)
        co_return;
    caller.entries.clear();
    json::error_code error;
    const json::value root = json::parse(answer.body, error);
    if (error || !root.is_object() || !root.get_object().contains("addresses")) {
        reportViolation(soak, "a list of entries cannot be read: " + answer.body);
        co_return;
    }
    for (const json::value &address : root.get_object().at("addresses").as_array())
        caller.entries.emplace_back(address.as_string());
    caller.entriesValidUntil = RuntimeClock::now() + EntryListLifetime;
    if (std::find(caller.entries.begin(), caller.entries.end(), caller.entry)
        == caller.entries.end())
        caller.channel = nullptr;
}

// Keeps the connection in most cases, otherwise connects to a random entry of the list.
asio::awaitable<bool> ensureConnected(SoakState &soak, Caller &caller)
{
    const bool isReused = caller.channel && !caller.channel->isEnded() && randomBelow(soak, 8) != 0;
    if (isReused)
        co_return true;
    if (caller.channel)
        caller.channel->close();
    caller.channel = nullptr;
    if (caller.entries.empty())
        co_return false;
    caller.entry = caller.entries[randomBelow(soak, caller.entries.size())];
    std::string error;
    caller.channel = co_await connectChannel(caller.entry, ConnectTimeout, BufferBytes, error);
    // The next attempt uses a new list of entries.
    if (!caller.channel)
        caller.entriesValidUntil = {};
    co_return caller.channel != nullptr;
}

std::string makeExpectedEvents(std::uint64_t lastEvent)
{
    std::string text;
    for (std::uint64_t id = lastEvent + 1; id <= StreamEvents; ++id)
        text += makeEventText(id);
    return text;
}

// Checks the events that followed `lastEvent`. Returns the id of the last complete event.
std::uint64_t checkStream(SoakState &soak, const std::string &id, const ExchangeResult &result,
                          std::uint64_t lastEvent)
{
    const std::string expected = makeExpectedEvents(lastEvent);
    const bool isPrefix = expected.starts_with(result.body);
    if (!isPrefix)
        reportViolation(soak, "stream " + id + " has events that its engine did not write");
    else if (result.isComplete && result.body.size() != expected.size())
        reportViolation(soak, "stream " + id + " ended normally before its last event");
    std::uint64_t lastSeenEvent = lastEvent;
    for (std::size_t position = 0;
         (position = result.body.find("\n\n", position)) != std::string::npos; position += 2)
        ++lastSeenEvent;
    return lastSeenEvent;
}

void countFailure(SoakState &soak, RequestKind kind, const std::string &what)
{
    constexpr const char *kindNames[] = {"stream", "booking", "lookup"};
    ++soak.counts.failed;
    ++soak.counts.failures[std::string(kindNames[static_cast<std::size_t>(kind)]) + ": " + what];
}

// Checks a status other than 200. A refused booking must not have run, and of the statuses 4xx only
// those of temporary refusals are allowed.
void checkErrorStatus(SoakState &soak, const std::string &id, std::uint32_t status)
{
    SentRequest &request = soak.sent[id];
    const bool isRetryable = status == 503 || status == 429 || status == 408 || status == 421;
    if (isRetryable) {
        ++soak.counts.refused;
        request.isRefused = true;
        if (request.kind == RequestKind::Booking && request.executions > 0)
            reportViolation(soak, "booking " + id + " ran and was answered with "
                                          + std::to_string(status));
        return;
    }
    countFailure(soak, request.kind, "status " + std::to_string(status));
    if (status >= 400 && status < 500)
        reportViolation(soak, "request " + id + " was refused with " + std::to_string(status));
}

// Returns true while the last fault of the node is planned work.
bool isInPlannedWork(const SoakNode &node)
{
    return node.plannedWorkAt != TimePoint{} && node.plannedWorkAt == node.lastFaultAt;
}

// Reports a request that was passed on to an endpoint and whose connection ended without a whole
// answer, although nothing but planned work happened to its entry. Whatever the endpoint does, the
// entry can answer. A stream that has begun may end early with its endpoint.
void checkForLoss(SoakState &soak, const std::string &id, const SoakNode &node,
                  const ExchangeResult &result, bool wasCalm)
{
    const SentRequest &request = soak.sent[id];
    const bool hasBegunStream = request.kind == RequestKind::Stream && result.status != 0;
    if (result.isComplete || hasBegunStream || request.arrivals == 0)
        return;
    const bool isCalm = isUndisturbed(node, FaultRecoveryTime);
    const bool isPlanned = wasCalm && isInPlannedWork(node);
    if (!isCalm && !isPlanned)
        return;
    reportViolation(soak, "request " + id + " was passed on by " + node.name + " and lost "
                                  + (isPlanned ? "during planned work" : "on a kept connection"));
}

// Checks a response against the request, and keeps the last event of some interrupted streams to
// resume them.
void checkResponse(SoakState &soak, Caller &caller, const std::string &id,
                   const ExchangeResult &result)
{
    const SentRequest &request = soak.sent[id];
    const std::uint64_t lastEvent = std::exchange(caller.lastEvent, 0);
    if (result.status != 200) {
        const bool isRefusedByPart = result.body.find("engines ended with") != std::string::npos;
        if (isRefusedByPart && !request.hasEndingPart)
            reportViolation(soak,
                            "sound stream " + id + " was refused for its parts: " + result.body);
        if (result.status != 0)
            checkErrorStatus(soak, id, result.status);
        else
            countFailure(soak, request.kind, "no response");
        return;
    }
    if (request.kind == RequestKind::Stream) {
        const std::uint64_t seen = checkStream(soak, id, result, lastEvent);
        if (!result.isComplete && seen < StreamEvents && randomBelow(soak, 2) == 0)
            caller.lastEvent = seen;
    } else if (result.isComplete && result.body != makePlainBody(request.body)) {
        reportViolation(soak, "request " + id + " got the response '" + result.body + "'");
    }
    if (result.isComplete)
        ++soak.counts.served;
    else
        countFailure(soak, request.kind, "incomplete response");
}

// All streams share the first part, and have the first turns of one of a few conversations. The
// ending part stands anywhere but at the end.
void choosePromptParts(SoakState &soak, SentRequest &request)
{
    constexpr double endingProbability = 0.25;
    constexpr std::uint64_t soundParts = 5;
    request.hasEndingPart = soak.isEndingPartActive && randomFraction(soak) < endingProbability;
    const std::uint64_t conversation = randomBelow(soak, soundParts);
    const std::uint64_t turns = randomBelow(soak, randomBelow(soak, 4) == 0 ? MaxTurns : FewTurns);
    const std::uint64_t endingPlace = randomBelow(soak, turns + 1);
    std::ostringstream parts;
    parts << "aa:40," << conversation << ":50";
    for (std::uint64_t turn = 0; turn <= turns; ++turn) {
        if (request.hasEndingPart && turn == endingPlace)
            parts << ",dead:50";
        if (turn < turns)
            parts << ",c" << conversation << std::setw(4) << std::setfill('0') << turn << ":10";
    }
    parts << "," << soak.nextRequest << ":10";
    request.parts = parts.str();
}

SentRequest makeRandomRequest(SoakState &soak, const Caller &caller, const std::string &id)
{
    SentRequest request;
    const std::uint64_t draw = randomBelow(soak, 10);
    if (caller.lastEvent > 0 || draw < 5)
        request.kind = RequestKind::Stream;
    else
        request.kind = draw < 8 ? RequestKind::Booking : RequestKind::Lookup;
    constexpr const char *paths[] = {"/stream/x?a=1", "/book/x", "/look/x"};
    request.path = paths[static_cast<std::size_t>(request.kind)];
    request.body = "body of " + id;
    request.entry = caller.entry;
    request.sentAt = RuntimeClock::now();
    if (request.kind == RequestKind::Stream)
        choosePromptParts(soak, request);
    return request;
}

// Sends a random request and checks that an undisturbed entry responds in time.
asio::awaitable<void> sendRequest(SoakState &soak, Caller &caller)
{
    const std::string id =
            "c" + std::to_string(caller.number) + "-" + std::to_string(soak.nextRequest++);
    const SentRequest request = makeRandomRequest(soak, caller, id);
    soak.sent[id] = request;
    soak.serviceLoads[serviceOf(request.kind)].requests.push_back(RuntimeClock::now());
    ++soak.counts.requests;
    const bool isStream = request.kind == RequestKind::Stream;
    const Duration timeout = isStream ? Duration(StreamTimeout) : Duration(PlainTimeout);
    const TimePoint now = RuntimeClock::now();
    const bool disconnects = isStream && randomFraction(soak) < DisconnectProbability;
    const TimePoint disconnectAt =
            disconnects ? now + std::chrono::milliseconds(300) : TimePoint::max();
    const SoakNode *entry = findEntry(soak, caller.entry);
    const bool wasCalm =
            entry && (isUndisturbed(*entry, FaultRecoveryTime) || isInPlannedWork(*entry));
    const ExchangeResult result = co_await exchangeRequest(
            caller.channel, makeRequestText(request, id, caller.lastEvent, timeout),
            now + timeout + ResponseTolerance, disconnectAt);
    if (RuntimeClock::now() >= disconnectAt) {
        caller.lastEvent = 0;
        co_return;
    }
    const bool isTimedOut = RuntimeClock::now() >= now + timeout + ResponseTolerance;
    if (isTimedOut && entry
        && isUndisturbed(*entry, timeout + ResponseTolerance + FaultRecoveryTime))
        reportViolation(soak, "request " + id + " got no response from " + entry->name
                                      + " long after its deadline");
    if (entry && isInPlannedWork(*entry))
        ++soak.counts.duringPlannedWork;
    if (entry && !isTimedOut)
        checkForLoss(soak, id, *entry, result, wasCalm);
    checkResponse(soak, caller, id, result);
}

// Requests the route that a version added from one entry. Returns the status, or 0 without a
// response.
asio::awaitable<std::uint32_t> requestAddedRoute(SoakState &soak, const SoakNode &entry,
                                                 std::uint64_t version)
{
    const std::string id = "probe-" + std::to_string(soak.nextRequest++);
    SentRequest request;
    request.kind = RequestKind::Lookup;
    request.path = addedRoutePrefix(version) + "x";
    request.body = id;
    request.entry = addressOf(entry, CallerPort);
    request.sentAt = RuntimeClock::now();
    soak.sent[id] = request;
    soak.serviceLoads[serviceOf(request.kind)].requests.push_back(RuntimeClock::now());
    std::string error;
    const ChannelPointer channel = co_await connectChannel(addressOf(entry, CallerPort),
                                                           ConnectTimeout, BufferBytes, error);
    if (!channel)
        co_return 0;
    const ExchangeResult result =
            co_await exchangeRequest(channel, makeRequestText(request, id, 0, PlainTimeout),
                                     RuntimeClock::now() + 2 * PlainTimeout, TimePoint::max());
    channel->close();
    co_return result.status;
}

// Checks that every entry without a recent fault serves the route of an acknowledged version.
asio::awaitable<void> checkAcknowledgedRoute(SoakState &soak, std::uint64_t version)
{
    for (const SoakNode &node : soak.nodes) {
        if (node.role != "entry" || !isUndisturbed(node, FaultRecoveryTime + ApplyTimeout))
            continue;
        const std::uint32_t status = co_await requestAddedRoute(soak, node, version);
        if (status == 404 && isUndisturbed(node, FaultRecoveryTime + ApplyTimeout))
            reportViolation(soak, node.name + " does not know configuration "
                                          + std::to_string(version) + " that was acknowledged");
    }
}

} // namespace

asio::awaitable<void> runCaller(SoakState &soak, std::uint64_t number)
{
    Caller caller;
    caller.number = number;
    while (!soak.isOver) {
        co_await refreshEntryList(soak, caller);
        const bool isConnected = co_await ensureConnected(soak, caller);
        if (isConnected)
            co_await sendRequest(soak, caller);
        const Duration thinkTime = randomDuration(soak, std::chrono::milliseconds(10), RetryDelay);
        co_await sleepFor(isConnected ? thinkTime : Duration(RetryDelay));
    }
}

asio::awaitable<void> runOperator(SoakState &soak)
{
    while (!soak.isOver) {
        const std::uint64_t version = ++soak.sentVersion;
        bool isAcknowledged = false;
        for (int attempt = 0; attempt < 40 && !isAcknowledged && !soak.isOver; ++attempt) {
            isAcknowledged = co_await publishConfiguration(soak, version);
            if (!isAcknowledged)
                co_await sleepFor(RetryDelay);
        }
        if (isAcknowledged)
            ++soak.counts.publishedConfigurations;
        // The service was just added, and its endpoint starts.
        if (isAcknowledged && lastExtraRoute(version) == version)
            restartExtraEndpoint(soak);
        const std::uint64_t acknowledgedVersion = soak.acknowledgedVersion;
        const std::uint64_t readBack = co_await readVersion(soak);
        if (readBack != 0 && readBack < acknowledgedVersion)
            reportViolation(soak, "configuration " + std::to_string(readBack) + " was read after "
                                          + std::to_string(acknowledgedVersion)
                                          + " had been acknowledged");
        co_await sleepFor(ApplyTimeout);
        if (isAcknowledged)
            co_await checkAcknowledgedRoute(soak, acknowledgedVersion);
    }
}

asio::awaitable<std::uint64_t> readVersion(SoakState &soak)
{
    HttpCall call;
    call.method = "GET";
    call.target = "/trefoilrun/configuration/read";
    const HttpCallResult answer = co_await callControlNode(soak, std::move(call));
    if (answer.status != 200)
        co_return 0;
    json::error_code error;
    const json::value root = json::parse(answer.body, error);
    const json::value *version =
            !error && root.is_object() ? root.get_object().if_contains("version") : nullptr;
    if (!version) {
        reportViolation(soak, "the configuration that was read is not valid: " + answer.body);
        co_return 0;
    }
    const auto number = version->to_number<std::uint64_t>();
    if (answer.body != makeConfiguration(soak, number))
        reportViolation(soak, "configuration " + std::to_string(number)
                                      + " was read back with other content");
    co_return number;
}

asio::awaitable<bool> areAllEntriesServing(SoakState &soak)
{
    for (const SoakNode &node : soak.nodes) {
        if (node.role != "entry")
            continue;
        const std::uint64_t version = soak.acknowledgedVersion;
        const std::uint32_t status = co_await requestAddedRoute(soak, node, version);
        if (status != 200 || !hasExtraService(version))
            co_return false;
        const std::uint32_t extraStatus =
                co_await requestAddedRoute(soak, node, lastExtraRoute(version));
        if (extraStatus != 200)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> waitUntilServed(SoakState &soak, std::chrono::seconds limit)
{
    constexpr std::size_t requiredGroups = 1;
    const TimePoint until = RuntimeClock::now() + limit;
    while (RuntimeClock::now() < until) {
        const std::uint64_t version = std::max<std::uint64_t>(soak.sentVersion, 1);
        soak.sentVersion = version;
        if (soak.acknowledgedVersion == 0)
            co_await publishConfiguration(soak, version);
        const bool isServing = soak.acknowledgedVersion > 0 && co_await areAllEntriesServing(soak)
                               && countOpenGroups(soak.fleet, "large") >= requiredGroups;
        if (isServing)
            co_return true;
        co_await sleepFor(RetryDelay);
    }
    co_return false;
}

} // namespace Trefoil
