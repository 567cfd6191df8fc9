#include "callers.h"

#include "standinservers.h"

#include "libgateway/endpointpool.h"
#include "libruntime/clock.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t Capacity = 256 * 1024;
constexpr auto ConnectTimeout = std::chrono::seconds(1);
constexpr auto ListLifetime = std::chrono::seconds(2);
constexpr auto RetryPause = std::chrono::milliseconds(200);
constexpr auto ApplyTime = std::chrono::seconds(3);   // for a configuration to be in force
constexpr auto CalmTime = std::chrono::seconds(4);    // after a fault on an entry
constexpr auto AnswerSlack = std::chrono::seconds(5); // past a request's time, on a busy machine
constexpr auto StreamTime = std::chrono::seconds(6);
constexpr auto PlainTime = std::chrono::milliseconds(1500);
constexpr double LeaveShare = 0.05; // of the callers of streams

const std::string Host = "a.example";

// ---- Configurations

json::object routeObject(const std::string &name, const std::string &prefix,
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

json::object engineObject(const SoakWorld &world)
{
    const EngineProfile &profile = *world.fleet.config.services.front().engine;
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

std::string addedRoute(std::uint64_t version)
{
    return "/added-" + std::to_string(version) + "/";
}

// Each version has a route of its own beside those of all earlier ones.
std::string configurationText(const SoakWorld &world, std::uint64_t version)
{
    json::object root;
    root["version"] = version;
    json::array routes{routeObject("stream", "/stream/", "drafts", "streaming"),
                       routeObject("book", "/book/", "ledger", "non_idempotent"),
                       routeObject("look", "/look/", "ledger", "idempotent")};
    for (std::uint64_t added = 1; added <= version; ++added)
        routes.push_back(routeObject("added-" + std::to_string(added), addedRoute(added), "ledger",
                                     "idempotent"));
    root["routes"] = std::move(routes);
    json::object engines{{"name", "drafts"}, {"health-path", "/health"}, {"max-connections", 400}};
    engines["engine"] = engineObject(world);
    json::object ledger{{"name", "ledger"}, {"health-path", "/health"}, {"max-connections", 100}};
    root["services"] = {std::move(engines), std::move(ledger)};
    root["limits"] = {{"max-header-bytes", 16'384},
                      {"max-body-bytes", 4'194'304},
                      {"header-timeout-ms", 3000},
                      {"idle-timeout-ms", 15'000}};
    root["tenants"] = {json::object{{"name", "haldar"}, {"keys", {"secret"}}, {"priority", 1}}};
    return json::serialize(root);
}

// Follows redirections; 0 as status when no control VM answered.
asio::awaitable<HttpCallResult> callControl(SoakWorld &world, HttpCall call)
{
    constexpr int redirections = 2;
    call.address = addressOf(anyNode(world, "control"), ControlPort);
    HttpCallResult answer = co_await callHttp(call);
    for (int i = 0; i < redirections && answer.status == 307; ++i) {
        const std::string *location = findField(answer.head, "Location");
        const std::size_t scheme = std::string_view("http://").size();
        if (!location || location->size() <= scheme)
            break;
        call.address = location->substr(scheme, location->find('/', scheme) - scheme);
        answer = co_await callHttp(call);
    }
    co_return answer;
}

asio::awaitable<bool> publishOnce(SoakWorld &world, std::uint64_t version)
{
    HttpCall call;
    call.target = "/trefoilrun/configuration/replace";
    call.body = configurationText(world, version);
    const HttpCallResult answer = co_await callControl(world, std::move(call));
    const bool isRefused = answer.status >= 400 && answer.status < 500 && answer.status != 408
                           && answer.status != 429;
    if (isRefused)
        noteBroken(world, "configuration " + std::to_string(version) + " was refused with "
                                  + std::to_string(answer.status) + ": " + answer.body);
    if (answer.status == 200)
        world.ackedVersion = std::max(world.ackedVersion, version);
    co_return answer.status == 200;
}

// ---- Requests

struct CallResult
{
    bool isConnected = false;
    bool isWhole = false; // the answer ended as its framing says
    std::uint32_t status = 0;
    std::string body;
    bool mayGoOn = false; // on the same connection
};

std::string requestText(const SentRequest &request, const std::string &id, std::uint64_t lastEvent,
                        Duration time)
{
    std::ostringstream text;
    text << "POST " << request.path << " HTTP/1.1\r\nHost: " << Host
         << "\r\nX-Trefoilrun-Attempt-Id: " << id << "\r\nX-Trefoilrun-Request-Deadline: "
         << std::chrono::duration_cast<std::chrono::milliseconds>(time).count()
         << "\r\nAuthorization: Bearer secret\r\nX-Trefoilrun-Tenant-Name: forged\r\n";
    if (request.sort == RequestSort::Stream)
        text << "X-Trefoilrun-Model-Name: large\r\nX-Trefoilrun-Token-Count: 100,125\r\n";
    if (lastEvent > 0)
        text << "Last-Event-Id: " << lastEvent << "\r\n";
    text << "Content-Length: " << request.body.size() << "\r\n\r\n" << request.body;
    return text.str();
}

// Exchanges one request over the channel. Leaves at `leaveAt`.
asio::awaitable<CallResult> exchange(ChannelPointer channel, std::string request, TimePoint until,
                                     TimePoint leaveAt)
{
    CallResult result;
    result.isConnected = true;
    Signal signal(channel->executor());
    channel->setChangeSignal(&signal);
    HttpParser parser(HttpMessageKind::Response, Capacity, Capacity);
    bool isOpen = co_await channel->write(request, until);
    const TimePoint end = std::min(until, leaveAt);
    while (isOpen) {
        isOpen = parser.consume(channel->input());
        channel->resumeReading();
        if (!isOpen || parser.isDone() || channel->isEnded() || RuntimeClock::now() >= end)
            break;
        co_await signal.wait(end);
    }
    channel->setChangeSignal(nullptr);
    result.isWhole = parser.isDone();
    result.status = parser.isHeadDone() ? parser.head().status : 0;
    result.body = parser.takeBody();
    result.mayGoOn = parser.isDone() && parser.keepsAlive() && !channel->isEnded();
    if (!result.mayGoOn)
        channel->close();
    co_return result;
}

// One caller with the connection that it keeps.
struct Caller
{
    std::uint64_t number = 0;
    std::vector<std::string> entries;
    TimePoint entriesUntil{};
    ChannelPointer channel;
    std::string entry; // of the channel
    std::uint64_t lastEvent = 0;
};

asio::awaitable<void> refreshEntries(SoakWorld &world, Caller &caller)
{
    if (RuntimeClock::now() < caller.entriesUntil)
        co_return;
    HttpCall call;
    call.method = "GET";
    call.address = addressOf(anyNode(world, "control"), EntryListPort);
    call.target = "/trefoilrun/resolution?name=" + Host + "&region=soak&zone=d1";
    const HttpCallResult answer = co_await callHttp(std::move(call));
    if (answer.status != 200)
        co_return;
    caller.entries.clear();
    json::error_code error;
    const json::value root = json::parse(answer.body, error);
    if (error || !root.is_object() || !root.get_object().contains("addresses")) {
        noteBroken(world, "a list of entries cannot be read: " + answer.body);
        co_return;
    }
    for (const json::value &address : root.get_object().at("addresses").as_array())
        caller.entries.emplace_back(address.as_string());
    caller.entriesUntil = RuntimeClock::now() + ListLifetime;
    if (std::find(caller.entries.begin(), caller.entries.end(), caller.entry)
        == caller.entries.end())
        caller.channel = nullptr;
}

asio::awaitable<bool> connect(SoakWorld &world, Caller &caller)
{
    const bool isKept = caller.channel && !caller.channel->isEnded() && randomBelow(world, 8) != 0;
    if (isKept)
        co_return true;
    if (caller.channel)
        caller.channel->close();
    caller.channel = nullptr;
    if (caller.entries.empty())
        co_return false;
    caller.entry = caller.entries[randomBelow(world, caller.entries.size())];
    std::string error;
    caller.channel = co_await connectChannel(caller.entry, ConnectTimeout, Capacity, error);
    if (!caller.channel) // asks for another list before it tries again
        caller.entriesUntil = {};
    co_return caller.channel != nullptr;
}

const SoakNode *nodeOf(const SoakWorld &world, const std::string &callerAddress)
{
    for (const SoakNode &node : world.nodes) {
        if (addressOf(node, CallerPort) == callerAddress)
            return &node;
    }
    return nullptr;
}

std::string expectedEvents(std::uint64_t lastEvent)
{
    std::string text;
    for (std::uint64_t id = lastEvent + 1; id <= StreamEvents; ++id)
        text += eventText(id);
    return text;
}

// Returns the id of the last whole event.
std::uint64_t checkStream(SoakWorld &world, const std::string &id, const CallResult &result,
                          std::uint64_t lastEvent)
{
    const std::string expected = expectedEvents(lastEvent);
    const bool isPrefix = expected.starts_with(result.body);
    if (!isPrefix)
        noteBroken(world, "stream " + id + " has other events than its engine wrote");
    else if (result.isWhole && result.body.size() != expected.size())
        noteBroken(world, "stream " + id + " ended as whole before its last event");
    std::uint64_t seen = lastEvent;
    for (std::size_t place = 0; (place = result.body.find("\n\n", place)) != std::string::npos;
         place += 2)
        ++seen;
    return seen;
}

void noteFailure(SoakWorld &world, RequestSort sort, const std::string &what)
{
    constexpr const char *sorts[] = {"stream", "booking", "lookup"};
    ++world.counts.failed;
    ++world.counts.failures[std::string(sorts[static_cast<std::size_t>(sort)]) + ": " + what];
}

void checkRefusal(SoakWorld &world, const std::string &id, std::uint32_t status)
{
    SentRequest &request = world.sent[id];
    const bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
    if (isPromise) {
        ++world.counts.refused;
        request.isRefused = true;
        if (request.sort == RequestSort::Booking && request.runs > 0)
            noteBroken(world,
                       "booking " + id + " ran and was answered with " + std::to_string(status));
        return;
    }
    noteFailure(world, request.sort, "status " + std::to_string(status));
    if (status >= 400 && status < 500)
        noteBroken(world, "request " + id + " was refused with " + std::to_string(status));
}

void checkAnswer(SoakWorld &world, Caller &caller, const std::string &id, const CallResult &result)
{
    const SentRequest &request = world.sent[id];
    const std::uint64_t lastEvent = std::exchange(caller.lastEvent, 0);
    if (result.status != 200) {
        if (result.status != 0)
            checkRefusal(world, id, result.status);
        else
            noteFailure(world, request.sort, "no answer");
        return;
    }
    if (request.sort == RequestSort::Stream) {
        const std::uint64_t seen = checkStream(world, id, result, lastEvent);
        if (!result.isWhole && seen < StreamEvents && randomBelow(world, 2) == 0)
            caller.lastEvent = seen; // the next request goes on with this stream
    } else if (result.isWhole && result.body != plainAnswer(request.body)) {
        noteBroken(world, "request " + id + " got the answer '" + result.body + "'");
    }
    if (result.isWhole)
        ++world.counts.served;
    else
        noteFailure(world, request.sort, "answer cut off");
}

SentRequest newRequest(SoakWorld &world, const Caller &caller, const std::string &id)
{
    SentRequest request;
    const std::uint64_t draw = randomBelow(world, 10);
    if (caller.lastEvent > 0 || draw < 5)
        request.sort = RequestSort::Stream;
    else
        request.sort = draw < 8 ? RequestSort::Booking : RequestSort::Lookup;
    constexpr const char *paths[] = {"/stream/x?a=1", "/book/x", "/look/x"};
    request.path = paths[static_cast<std::size_t>(request.sort)];
    request.body = "body of " + id;
    return request;
}

asio::awaitable<void> sendOne(SoakWorld &world, Caller &caller)
{
    const std::string id =
            "c" + std::to_string(caller.number) + "-" + std::to_string(world.nextRequest++);
    const SentRequest request = newRequest(world, caller, id);
    world.sent[id] = request;
    ++world.counts.requests;
    const bool isStream = request.sort == RequestSort::Stream;
    const Duration time = isStream ? Duration(StreamTime) : Duration(PlainTime);
    const TimePoint now = RuntimeClock::now();
    const bool leaves = isStream && randomShare(world) < LeaveShare;
    const TimePoint leaveAt = leaves ? now + std::chrono::milliseconds(300) : TimePoint::max();
    const CallResult result =
            co_await exchange(caller.channel, requestText(request, id, caller.lastEvent, time),
                              now + time + AnswerSlack, leaveAt);
    if (RuntimeClock::now() >= leaveAt) {
        caller.lastEvent = 0;
        co_return;
    }
    const SoakNode *node = nodeOf(world, caller.entry);
    const bool isHeld = RuntimeClock::now() >= now + time + AnswerSlack;
    if (isHeld && node && isCalm(*node, time + AnswerSlack + CalmTime))
        noteBroken(world, "request " + id + " got no answer from " + node->name
                                  + " long after its time was over");
    checkAnswer(world, caller, id, result);
}

// Asks one entry for the route that a version added.
asio::awaitable<std::uint32_t> probeRoute(SoakWorld &world, const SoakNode &entry,
                                          std::uint64_t version)
{
    const std::string id = "probe-" + std::to_string(world.nextRequest++);
    SentRequest request;
    request.sort = RequestSort::Lookup;
    request.path = addedRoute(version) + "x";
    request.body = id;
    world.sent[id] = request;
    std::string error;
    const ChannelPointer channel =
            co_await connectChannel(addressOf(entry, CallerPort), ConnectTimeout, Capacity, error);
    if (!channel)
        co_return 0;
    const CallResult result =
            co_await exchange(channel, requestText(request, id, 0, PlainTime),
                              RuntimeClock::now() + 2 * PlainTime, TimePoint::max());
    channel->close();
    co_return result.status;
}

// An entry that no fault touched serves the acknowledged routes.
asio::awaitable<void> checkEntries(SoakWorld &world, std::uint64_t version)
{
    for (const SoakNode &node : world.nodes) {
        if (node.role != "entry" || !isCalm(node, CalmTime + ApplyTime))
            continue;
        const std::uint32_t status = co_await probeRoute(world, node, version);
        if (status == 404 && isCalm(node, CalmTime + ApplyTime))
            noteBroken(world, node.name + " does not know configuration " + std::to_string(version)
                                      + " that was acknowledged");
    }
}

} // namespace

asio::awaitable<void> runCaller(SoakWorld &world, std::uint64_t number)
{
    Caller caller;
    caller.number = number;
    while (!world.isOver) {
        co_await refreshEntries(world, caller);
        const bool isConnected = co_await connect(world, caller);
        if (isConnected)
            co_await sendOne(world, caller);
        const Duration pause = randomDuration(world, std::chrono::milliseconds(10), RetryPause);
        co_await sleepFor(isConnected ? pause : Duration(RetryPause));
    }
}

asio::awaitable<void> runOperator(SoakWorld &world)
{
    while (!world.isOver) {
        const std::uint64_t version = ++world.sentVersion;
        bool isAcked = false;
        for (int attempt = 0; attempt < 40 && !isAcked && !world.isOver; ++attempt) {
            isAcked = co_await publishOnce(world, version);
            if (!isAcked)
                co_await sleepFor(RetryPause);
        }
        if (isAcked)
            ++world.counts.published;
        const std::uint64_t acked = world.ackedVersion;
        const std::uint64_t read = co_await readVersion(world);
        if (read != 0 && read < acked)
            noteBroken(world, "configuration " + std::to_string(read) + " was read after "
                                      + std::to_string(acked) + " had been acknowledged");
        co_await sleepFor(ApplyTime);
        if (isAcked)
            co_await checkEntries(world, acked);
    }
}

asio::awaitable<std::uint64_t> readVersion(SoakWorld &world)
{
    HttpCall call;
    call.method = "GET";
    call.target = "/trefoilrun/configuration/read";
    const HttpCallResult answer = co_await callControl(world, std::move(call));
    if (answer.status != 200)
        co_return 0;
    json::error_code error;
    const json::value root = json::parse(answer.body, error);
    const json::value *version =
            !error && root.is_object() ? root.get_object().if_contains("version") : nullptr;
    if (!version) {
        noteBroken(world, "the configuration that was read is broken: " + answer.body);
        co_return 0;
    }
    const auto number = version->to_number<std::uint64_t>();
    if (answer.body != configurationText(world, number))
        noteBroken(world,
                   "configuration " + std::to_string(number) + " was read back with other content");
    co_return number;
}

asio::awaitable<bool> allEntriesServe(SoakWorld &world)
{
    for (const SoakNode &node : world.nodes) {
        if (node.role != "entry")
            continue;
        const std::uint32_t status = co_await probeRoute(world, node, world.ackedVersion);
        if (status != 200)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> waitUntilServed(SoakWorld &world, std::chrono::seconds limit)
{
    constexpr std::size_t largeGroups = 1;
    const TimePoint until = RuntimeClock::now() + limit;
    while (RuntimeClock::now() < until) {
        const std::uint64_t version = std::max<std::uint64_t>(world.sentVersion, 1);
        world.sentVersion = version;
        if (world.ackedVersion == 0)
            co_await publishOnce(world, version);
        const bool isServing = world.ackedVersion > 0 && co_await allEntriesServe(world)
                               && countOpenGroups(world.fleet, "large") >= largeGroups;
        if (isServing)
            co_return true;
        co_await sleepFor(RetryPause);
    }
    co_return false;
}

} // namespace Trefoil
