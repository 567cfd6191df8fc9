#include "standinservers.h"

#include "libgateway/endpointpool.h"
#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t Engines = 8;
constexpr std::size_t PlainEndpoints = 2;
constexpr std::size_t Capacity = 256 * 1024;
constexpr std::size_t LargestTimeLeftMs = 10'000;
constexpr auto Step = std::chrono::milliseconds(10);
constexpr auto PlainReportInterval = std::chrono::milliseconds(900);
constexpr auto EventInterval = std::chrono::milliseconds(40);
constexpr auto PlainWork = std::chrono::milliseconds(15);
constexpr auto WriteTimeout = std::chrono::seconds(10);
constexpr auto LoadTime = std::chrono::seconds(3);
constexpr auto WarmTime = std::chrono::milliseconds(300);

constexpr const char *PhaseWords[] = {"joining", "ready", "open", "closing", "broken"};

std::string field(const HttpHead &head, std::string_view name)
{
    const std::string *value = findField(head, name);
    return value ? *value : std::string();
}

EndpointReport &reportOf(SoakWorld &world, SoakEndpoint &endpoint)
{
    return endpoint.isEngine ? world.fleet.engines.at(endpoint.id).report : endpoint.report;
}

std::string answerText(std::uint32_t status, const HttpHead &request, const std::string &body,
                       const std::vector<HttpField> &fields)
{
    HttpHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    head.fields = fields;
    head.fields.push_back({"X-Trefoilrun-Attempt-Id", field(request, "X-Trefoilrun-Attempt-Id")});
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    return toText(head) + body;
}

std::string notRun(std::uint32_t status, const HttpHead &request)
{
    return answerText(status, request, "", {{"X-Trefoilrun-Not-Executed", "1"}});
}

// ---- Orders

std::optional<GroupOrder> decodeOrder(const SoakEndpoint &endpoint, const std::string &body)
{
    json::error_code error;
    const json::value root = json::parse(body, error);
    if (error || !root.is_object())
        return std::nullopt;
    const json::object &object = root.get_object();
    const auto text = [&object](std::string_view name) {
        const json::value *value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    };
    const auto number = [&object](std::string_view name) {
        const json::value *value = object.if_contains(name);
        return value ? value->to_number<std::uint64_t>() : 0;
    };
    GroupOrder order;
    order.endpoint = endpoint.id;
    const std::string word = text("operation");
    for (const OrderKind kind :
         {OrderKind::Join, OrderKind::Open, OrderKind::Close, OrderKind::Leave, OrderKind::Stage}) {
        if (word == toString(kind))
            order.kind = kind;
    }
    order.group = text("group");
    order.epoch = number("epoch");
    order.model = text("model");
    order.fencingToken = number("fencing-token");
    order.closeMode =
            text("mode") == "cutover" ? CloseMode::AbortRequests : CloseMode::FinishRequests;
    if (const json::value *members = object.if_contains("members")) {
        for (const json::value &member : members->as_array())
            order.members.emplace_back(member.as_string());
    }
    return order;
}

std::string executeOrder(SoakWorld &world, SoakEndpoint &endpoint, const HttpHead &head,
                         const std::string &body)
{
    const auto order = decodeOrder(endpoint, body);
    if (!order || !endpoint.isEngine)
        return answerText(400, head, "", {});
    switch (executeOrder(world.fleet, *order)) {
    case OrderOutcome::Accepted:
        return answerText(202, head, "", {});
    case OrderOutcome::Outdated:
        return answerText(412, head, "", {});
    default:
        return answerText(409, head, "", {});
    }
}

// ---- Requests

// Checks a request against what its caller sent, and notes that it runs.
SentRequest *checkRequest(SoakWorld &world, const HttpHead &head, const std::string &body)
{
    const std::string id = field(head, "X-Trefoilrun-Attempt-Id");
    const auto found = world.sent.find(id);
    if (found == world.sent.end()) {
        noteBroken(world, "an endpoint got request '" + id + "' that no caller sent");
        return nullptr;
    }
    SentRequest &request = found->second;
    if (head.target != request.path || body != request.body)
        noteBroken(world, "request " + id + " was changed on its way");
    if (field(head, "X-Trefoilrun-Tenant-Name") != "haldar" || findField(head, "Authorization"))
        noteBroken(world, "request " + id + " came with another workspace or with the key");
    const std::string left = field(head, "X-Trefoilrun-Request-Deadline");
    if (left.empty() || std::stoul(left) > LargestTimeLeftMs)
        noteBroken(world, "request " + id + " came with the time left '" + left + "'");
    return &request;
}

void noteRun(SoakWorld &world, const HttpHead &head, SentRequest &request)
{
    const std::string id = field(head, "X-Trefoilrun-Attempt-Id");
    ++request.runs;
    if (request.sort == RequestSort::Booking && request.runs > 1)
        noteBroken(world, "booking " + id + " ran " + std::to_string(request.runs) + " times");
    if (request.sort == RequestSort::Booking && request.isRefused)
        noteBroken(world, "booking " + id + " ran after its caller was told that it had not");
}

// Connection of a client to one life of an endpoint.
struct Session
{
    SoakWorld &world;
    SoakEndpoint &endpoint;
    std::uint64_t life;
    ChannelPointer channel;

    bool isAlive() const
    {
        return endpoint.life == life && isRunning(endpoint) && !channel->isEnded();
    }

    asio::awaitable<bool> write(std::string text)
    {
        co_return co_await channel->write(text, RuntimeClock::now() + WriteTimeout);
    }
};

// True while the engine can write the next event of a request that it took.
bool hasWholeGroup(const SoakWorld &world, const SoakEndpoint &endpoint)
{
    const auto engine = world.fleet.engines.find(endpoint.id);
    return engine != world.fleet.engines.end() && engine->second.stalledSince == TimePoint::max();
}

bool isServingHead(const SoakWorld &world, const SoakEndpoint &endpoint)
{
    const auto engine = world.fleet.engines.find(endpoint.id);
    if (engine == world.fleet.engines.end())
        return false;
    const auto &membership = engine->second.report.membership;
    return membership && membership->rank == 0 && membership->phase == MembershipPhase::Open;
}

std::string streamHead(const HttpHead &request)
{
    HttpHead head;
    head.status = 200;
    head.reason = "OK";
    head.fields = {{"X-Trefoilrun-Attempt-Id", field(request, "X-Trefoilrun-Attempt-Id")},
                   {"X-Trefoilrun-Response-Seal", "seal"},
                   {"Content-Type", "text/event-stream"},
                   {"Transfer-Encoding", "chunked"}};
    return toText(head);
}

// Returns whether the connection stays open.
asio::awaitable<bool> writeStream(Session &session, const HttpHead &head)
{
    const std::string last = field(head, "Last-Event-Id");
    std::uint64_t next = last.empty() ? 1 : std::stoull(last) + 1;
    bool isOpen = co_await session.write(streamHead(head));
    while (isOpen && next <= StreamEvents) {
        co_await sleepFor(EventInterval);
        if (!session.isAlive())
            co_return false;
        const auto engine = session.world.fleet.engines.find(session.endpoint.id);
        const auto &membership = engine->second.report.membership;
        const bool isCut = !membership || membership->phase == MembershipPhase::Broken
                           || membership->phase == MembershipPhase::Ready;
        if (isCut)
            co_return false;
        if (!hasWholeGroup(session.world, session.endpoint))
            continue;
        isOpen = co_await session.write(toChunk(eventText(next)));
        ++next;
    }
    if (isOpen)
        isOpen = co_await session.write("0\r\n\r\n");
    co_return isOpen;
}

std::string plainAnswerText(const HttpHead &request, const std::string &body)
{
    return answerText(200, request, plainAnswer(body), {{"X-Trefoilrun-Response-Seal", "seal"}});
}

asio::awaitable<bool> answerPlain(Session &session, const HttpHead &head, const std::string &body)
{
    co_await sleepFor(PlainWork);
    const bool isLost = randomShare(session.world) < session.endpoint.lostAnswerShare;
    if (!session.isAlive() || isLost)
        co_return false;
    co_return co_await session.write(plainAnswerText(head, body));
}

asio::awaitable<bool> answer(Session &session, const HttpHead &head, const std::string &body)
{
    SoakEndpoint &endpoint = session.endpoint;
    const std::string expected = field(head, "X-Trefoilrun-Expect-Instance");
    if (!expected.empty() && expected != endpoint.id)
        co_return co_await session.write(notRun(421, head));
    if (head.target == "/trefoilrun/order")
        co_return co_await session.write(executeOrder(session.world, endpoint, head, body));
    SentRequest *request = checkRequest(session.world, head, body);
    if (!request)
        co_return false;
    const bool isStream = request->sort == RequestSort::Stream;
    if (isStream != endpoint.isEngine) {
        noteBroken(session.world, "request for " + head.target + " came to another service");
        co_return false;
    }
    if (isStream && !isServingHead(session.world, endpoint))
        co_return co_await session.write(notRun(503, head));
    noteRun(session.world, head, *request);
    if (isStream)
        co_return co_await writeStream(session, head);
    co_return co_await answerPlain(session, head, body);
}

asio::awaitable<void> serve(SoakWorld &world, SoakEndpoint &endpoint, ChannelPointer channel)
{
    Session session{world, endpoint, endpoint.life, channel};
    Signal signal(channel->executor());
    channel->setChangeSignal(&signal);
    bool isOpen = true;
    while (isOpen && session.isAlive()) {
        HttpParser parser(HttpMessageKind::Request, Capacity, Capacity);
        while (parser.consume(channel->input()) && !parser.isDone() && session.isAlive()) {
            channel->resumeReading();
            co_await signal.wait(RuntimeClock::now() + EventInterval);
        }
        if (!parser.isDone() || !session.isAlive())
            break;
        const std::string body = parser.takeBody();
        isOpen = co_await answer(session, parser.head(), body);
        channel->resumeReading();
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

void listen(SoakWorld &world, SoakEndpoint &endpoint)
{
    endpoint.listener = std::make_unique<ChannelListener>(
            world.context, endpoint.address, Capacity, [&world, &endpoint](ChannelPointer channel) {
                asio::co_spawn(world.context, serve(world, endpoint, std::move(channel)),
                               asio::detached);
            });
}

// ---- Reports

std::string encodeReport(const EndpointReport &report)
{
    json::object object;
    object["service"] = report.service;
    object["address"] = report.address;
    object["zone"] = report.domain;
    object["version"] = "v1";
    object["slots"] = report.slots;
    object["state"] = report.isDraining ? "draining" : "ready";
    object["cold-remaining-ms"] = 0;
    object["sequence"] = report.sequence;
    object["born"] = report.startedAtMs;
    if (!report.fabric.empty()) {
        object["domain"] = report.fabric;
        json::array staged;
        for (const std::string &model : report.stagedModels)
            staged.emplace_back(model);
        object["staged"] = std::move(staged);
    }
    if (report.membership) {
        json::object group;
        group["name"] = report.membership->group;
        group["epoch"] = report.membership->epoch;
        group["rank"] = report.membership->rank;
        group["state"] = PhaseWords[static_cast<std::size_t>(report.membership->phase)];
        object["group"] = std::move(group);
    }
    return json::serialize(object);
}

asio::awaitable<HttpCallResult> callReport(SoakWorld &world, const std::string &address,
                                           const EndpointId &id, std::string body)
{
    HttpCall call;
    call.address = address.empty() ? addressOf(anyNode(world, "control"), ControlPort) : address;
    call.target = "/trefoilrun/instances/" + id + "/heartbeat";
    call.body = std::move(body);
    co_return co_await callHttp(std::move(call));
}

// Tries the address that the system asked for, then others.
asio::awaitable<void> sendReport(SoakWorld &world, SoakEndpoint &endpoint, EndpointReport report)
{
    constexpr int attempts = 3;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const HttpCallResult answer =
                co_await callReport(world, endpoint.reportAddress, report.id, encodeReport(report));
        if (answer.status != 200) {
            endpoint.reportAddress.clear();
            continue;
        }
        json::error_code error;
        const json::value root = json::parse(answer.body, error);
        const json::value *address = !error && root.is_object()
                                             ? root.get_object().if_contains("heartbeat-addr")
                                             : nullptr;
        if (address)
            endpoint.reportAddress = std::string(address->as_string());
        co_return;
    }
}

void sendReports(SoakWorld &world)
{
    for (DelayedReport &report : std::exchange(world.fleet.reports, {})) {
        for (auto &endpoint : world.endpoints) {
            if (endpoint->id == report.report.id)
                asio::co_spawn(world.context, sendReport(world, *endpoint, report.report),
                               asio::detached);
        }
    }
}

void makeEndpoint(SoakWorld &world, std::size_t index, bool isEngine)
{
    auto endpoint = std::make_unique<SoakEndpoint>();
    const std::string network = world.nodes.front().address.substr(
            0, world.nodes.front().address.find('.', std::string_view("127.").size()));
    const std::string host = std::to_string(index + 1) + ":" + std::to_string(EndpointPort);
    endpoint->index = index;
    endpoint->isEngine = isEngine;
    endpoint->address = network + ".3." + host;
    endpoint->proxyAddress = network + ".4." + host;
    endpoint->proxy =
            std::make_unique<FaultProxy>(world.context, endpoint->proxyAddress, endpoint->address);
    EndpointReport &report = endpoint->report;
    if (isEngine) {
        auto engine = world.fleet.engines.begin();
        std::advance(engine, static_cast<long>(index));
        endpoint->id = engine->first;
        engine->second.report.address = endpoint->proxyAddress;
        engine->second.nextReport = world.fleet.now;
    } else {
        report.id = endpoint->id = "p-" + std::to_string(index) + "-1";
        report.service = "ledger";
        report.address = endpoint->proxyAddress;
        report.slots = 20;
        report.startedAtMs = 1000;
    }
    reportOf(world, *endpoint).domain = "d" + std::to_string(index % 3 + 1);
    listen(world, *endpoint);
    world.endpoints.push_back(std::move(endpoint));
}

} // namespace

std::string eventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id * id) + "\n\n";
}

std::string plainAnswer(const std::string &body)
{
    return "answer to " + body;
}

void makeEndpoints(SoakWorld &world)
{
    world.fleet = makeEngineFleet(1, world.options.seed);
    world.fleet.now = RuntimeClock::now();
    for (ModelProfile &model : world.fleet.config.services.front().engine->models) {
        model.loadTime = LoadTime;
        model.stagedLoadTime = WarmTime;
    }
    for (std::size_t i = 0; i < Engines; ++i)
        makeEndpoint(world, i, true);
    for (std::size_t i = 0; i < PlainEndpoints; ++i)
        makeEndpoint(world, Engines + i, false);
}

asio::awaitable<void> runEndpoints(SoakWorld &world)
{
    TimePoint nextPlainReport{};
    while (true) {
        world.fleet.now = RuntimeClock::now();
        advanceEngines(world.fleet);
        sendReports(world);
        if (world.fleet.now >= nextPlainReport) {
            nextPlainReport = world.fleet.now + PlainReportInterval;
            for (auto &endpoint : world.endpoints) {
                if (endpoint->isEngine || !isRunning(*endpoint))
                    continue;
                ++endpoint->report.sequence;
                asio::co_spawn(world.context, sendReport(world, *endpoint, endpoint->report),
                               asio::detached);
            }
        }
        for (const std::string &text : std::exchange(world.fleet.violations, {}))
            noteBroken(world, text);
        co_await sleepFor(Step);
    }
}

bool isRunning(const SoakEndpoint &endpoint)
{
    return endpoint.listener != nullptr;
}

void crashEndpoint(SoakWorld &world, SoakEndpoint &endpoint)
{
    if (endpoint.isEngine)
        crashEngine(world.fleet, endpoint.id);
    endpoint.listener.reset();
    ++endpoint.life;
    endpoint.proxy->resetConnections();
}

void restartEndpoint(SoakWorld &world, SoakEndpoint &endpoint)
{
    if (endpoint.isEngine) {
        const std::string domain = world.fleet.engines.at(endpoint.id).report.domain;
        endpoint.id = restartEngine(world.fleet, endpoint.id);
        world.fleet.engines.at(endpoint.id).report.domain = domain;
    } else {
        ++endpoint.report.startedAtMs;
        endpoint.report.sequence = 0;
        endpoint.report.isDraining = false;
        endpoint.report.id = endpoint.id = "p-" + std::to_string(endpoint.index) + "-"
                                           + std::to_string(endpoint.report.startedAtMs);
    }
    listen(world, endpoint);
}

asio::awaitable<void> sendForeignReport(SoakWorld &world, const SoakEndpoint &endpoint)
{
    EndpointReport report;
    report.id = randomBelow(world, 2) == 0 ? endpoint.id : "foreign";
    report.service = "unheard-of";
    report.address = endpoint.proxyAddress;
    report.startedAtMs = 1'000'000'000;
    report.sequence = 1'000'000;
    std::string body = encodeReport(report);
    if (randomBelow(world, 3) == 0)
        body.resize(body.size() / 2);
    co_await callReport(world, {}, report.id, std::move(body));
}

} // namespace Trefoil
