#include "standinservers.h"

#include "libgateway/endpointpool.h"
#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t EngineCount = 8;
constexpr std::size_t PlainEndpointCount = 3;
constexpr std::size_t BufferBytes = 256 * 1024;
constexpr std::size_t MaxDeadlineMs = 10'000;
constexpr auto StepInterval = std::chrono::milliseconds(10);
constexpr auto PlainReportInterval = std::chrono::milliseconds(900);
constexpr auto EventInterval = std::chrono::milliseconds(40);
// Processing time of a request to the plain service.
constexpr auto PlainServiceTime = std::chrono::milliseconds(15);
// Fraction of the requests that a plain endpoint runs and answers with a failure.
constexpr double FailedResponseRatio = 0.03;
// Time until an engine that a request ended is back.
constexpr auto EngineRestartTime = std::chrono::seconds(2);
constexpr auto WriteTimeout = std::chrono::seconds(10);
constexpr auto LoadTime = std::chrono::seconds(3);
constexpr auto WarmUpTime = std::chrono::milliseconds(300);

constexpr const char *PhaseNames[] = {"joining", "ready", "open", "closing", "broken"};

std::string headerValue(const HttpHead &head, std::string_view name)
{
    const std::string *value = findField(head, name);
    return value ? *value : std::string();
}

std::string makeResponseText(std::uint32_t status, const HttpHead &request, const std::string &body,
                             const std::vector<HttpField> &fields)
{
    HttpHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    head.fields = fields;
    head.fields.push_back(
            {"X-Trefoilrun-Attempt-Id", headerValue(request, "X-Trefoilrun-Attempt-Id")});
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    return toText(head) + body;
}

// Returns a refusal which states that the request has not run.
std::string makeNotExecutedResponse(std::uint32_t status, const HttpHead &request)
{
    return makeResponseText(status, request, "", {{"X-Trefoilrun-Not-Executed", "1"}});
}

std::optional<GroupOrder> parseOrder(const SoakEndpoint &endpoint, const std::string &body)
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
    const std::string operation = text("operation");
    for (const OrderKind kind :
         {OrderKind::Join, OrderKind::Open, OrderKind::Close, OrderKind::Leave, OrderKind::Stage}) {
        if (operation == toString(kind))
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

std::string handleOrder(SoakState &soak, SoakEndpoint &endpoint, const HttpHead &head,
                        const std::string &body)
{
    const auto order = parseOrder(endpoint, body);
    if (!order || !endpoint.isEngine)
        return makeResponseText(400, head, "", {});
    switch (executeOrder(soak.fleet, *order)) {
    case OrderOutcome::Accepted:
        return makeResponseText(202, head, "", {});
    case OrderOutcome::Outdated:
        return makeResponseText(412, head, "", {});
    default:
        return makeResponseText(409, head, "", {});
    }
}

// Checks that a request equals what its caller sent. Returns null when no caller sent it.
SentRequest *checkRequest(SoakState &soak, const HttpHead &head, const std::string &body)
{
    const std::string id = headerValue(head, "X-Trefoilrun-Attempt-Id");
    const auto found = soak.sent.find(id);
    if (found == soak.sent.end()) {
        reportViolation(soak, "an endpoint got request '" + id + "' that no caller sent");
        return nullptr;
    }
    SentRequest &request = found->second;
    if (head.target != request.path || body != request.body)
        reportViolation(soak, "request " + id + " was changed in transit");
    if (headerValue(head, "X-Trefoilrun-Tenant-Name") != "haldar"
        || findField(head, "Authorization"))
        reportViolation(soak,
                        "request " + id + " arrived with the wrong workspace or with the key");
    const std::string timeLeft = headerValue(head, "X-Trefoilrun-Request-Deadline");
    if (timeLeft.empty() || std::stoul(timeLeft) > MaxDeadlineMs)
        reportViolation(soak,
                        "request " + id + " arrived with the remaining time '" + timeLeft + "'");
    return &request;
}

// Counts that an endpoint runs the request. A booking must not run twice, or after a refusal.
void recordExecution(SoakState &soak, const HttpHead &head, SentRequest &request)
{
    const std::string id = headerValue(head, "X-Trefoilrun-Attempt-Id");
    ++request.executions;
    if (request.kind == RequestKind::Booking && request.executions > 1)
        reportViolation(soak,
                        "booking " + id + " ran " + std::to_string(request.executions) + " times");
    if (request.kind == RequestKind::Booking && request.isRefused)
        reportViolation(soak,
                        "booking " + id + " ran after its caller was told that it had not run");
}

// Connection of a client to one incarnation of an endpoint.
struct Session
{
    SoakState &soak;
    SoakEndpoint &endpoint;
    std::uint64_t incarnation;
    ChannelPointer channel;

    bool isAlive() const
    {
        return endpoint.incarnation == incarnation && isRunning(endpoint) && !channel->isEnded();
    }

    asio::awaitable<bool> write(std::string text)
    {
        co_return co_await channel->write(text, RuntimeClock::now() + WriteTimeout);
    }

    // Writes a response or its head, with the limit of the endpoint if it names one.
    asio::awaitable<bool> respond(const HttpHead &request, std::string text)
    {
        const auto sent = soak.sent.find(headerValue(request, "X-Trefoilrun-Attempt-Id"));
        if (endpoint.saysThatItLeaves && sent != soak.sent.end()) {
            recordLeavingTold(soak, endpoint, sent->second.entry);
            text.insert(text.find("\r\n") + 2, "Server-Leaving: 1\r\n");
        }
        if (const auto limit = currentLimit(soak, endpoint.id)) {
            if (sent != soak.sent.end())
                recordToldEntry(soak, endpoint.id, sent->second.entry);
            text.insert(text.find("\r\n") + 2, "Server-Limit: " + std::to_string(*limit) + "\r\n");
        }
        co_return co_await write(std::move(text));
    }
};

// Returns whether all members of the engine's group run, so that it can write the next event.
bool isGroupComplete(const SoakState &soak, const SoakEndpoint &endpoint)
{
    const auto engine = soak.fleet.engines.find(endpoint.id);
    return engine != soak.fleet.engines.end() && engine->second.stalledSince == TimePoint::max();
}

// Returns whether the engine is the head of an open group, which takes its requests.
bool isServingHead(const SoakState &soak, const SoakEndpoint &endpoint)
{
    const auto engine = soak.fleet.engines.find(endpoint.id);
    if (engine == soak.fleet.engines.end())
        return false;
    const auto &membership = engine->second.report.membership;
    return membership && membership->rank == 0 && membership->phase == MembershipPhase::Open;
}

std::string makeStreamHead(const HttpHead &request)
{
    HttpHead head;
    head.status = 200;
    head.reason = "OK";
    head.fields = {{"X-Trefoilrun-Attempt-Id", headerValue(request, "X-Trefoilrun-Attempt-Id")},
                   {"X-Trefoilrun-Response-Seal", "seal"},
                   {"Content-Type", "text/event-stream"},
                   {"Transfer-Encoding", "chunked"}};
    return toText(head);
}

// Writes the events after the last one that the request names. Returns whether the connection stays
// open.
asio::awaitable<bool> writeStream(Session &session, const HttpHead &head)
{
    const std::string lastEventId = headerValue(head, "Last-Event-Id");
    std::uint64_t nextEventId = lastEventId.empty() ? 1 : std::stoull(lastEventId) + 1;
    bool isOpen = co_await session.respond(head, makeStreamHead(head));
    while (isOpen && nextEventId <= StreamEvents) {
        co_await sleepFor(EventInterval);
        if (!session.isAlive())
            co_return false;
        const auto engine = session.soak.fleet.engines.find(session.endpoint.id);
        const auto &membership = engine->second.report.membership;
        const bool isGroupGone = !membership || membership->phase == MembershipPhase::Broken
                                 || membership->phase == MembershipPhase::Ready;
        if (isGroupGone)
            co_return false;
        if (!isGroupComplete(session.soak, session.endpoint))
            continue;
        isOpen = co_await session.write(toChunk(makeEventText(nextEventId)));
        ++nextEventId;
    }
    if (isOpen)
        isOpen = co_await session.write("0\r\n\r\n");
    co_return isOpen;
}

std::string makePlainResponse(const HttpHead &request, const std::string &body)
{
    return makeResponseText(200, request, makePlainBody(body),
                            {{"X-Trefoilrun-Response-Seal", "seal"}});
}

// Returns a failure of a request that has run, which nothing in it denies.
std::string makeFailedResponse(SoakState &soak, const HttpHead &request)
{
    constexpr std::uint32_t statuses[] = {500, 408, 429, 503};
    const std::uint32_t status = statuses[randomBelow(soak, std::size(statuses))];
    return makeResponseText(status, request, "", {{"X-Trefoilrun-Response-Seal", "seal"}});
}

asio::awaitable<bool> writePlainResponse(Session &session, const HttpHead &head,
                                         const std::string &body)
{
    co_await sleepFor(PlainServiceTime);
    const bool isLost = randomFraction(session.soak) < session.endpoint.lostResponseRatio;
    if (!session.isAlive() || isLost)
        co_return false;
    if (randomFraction(session.soak) < FailedResponseRatio)
        co_return co_await session.respond(head, makeFailedResponse(session.soak, head));
    co_return co_await session.respond(head, makePlainResponse(head, body));
}

// Counts a request that ends engines if its entry should know its part by now: the fifth engine
// ended some time ago, and neither the entry nor a control VM was disturbed since.
void checkEndingRequest(SoakState &soak, const SentRequest &request)
{
    constexpr std::size_t allowedEnds = 5;
    constexpr std::size_t allowedRequests = 3;
    constexpr auto allowedTime = std::chrono::seconds(3);
    const bool isAllowed = soak.engineEnds.size() < allowedEnds
                           || RuntimeClock::now() - soak.engineEnds[allowedEnds - 1] < allowedTime;
    const bool isDisturbed =
            std::any_of(soak.nodes.begin(), soak.nodes.end(), [&](const SoakNode &node) {
                const bool isConcerned =
                        node.role == "control" || addressOf(node, CallerPort) == request.entry;
                return isConcerned && !isUndisturbed(node, allowedTime);
            });
    if (isAllowed || isDisturbed)
        return;
    ++soak.lateEndingRequests;
    if (soak.lateEndingRequests == allowedRequests + 1)
        reportViolation(soak, "requests whose part ended five engines still reach engines");
}

// Ends the engine as it begins to answer the request.
asio::awaitable<void> endEngine(Session &session, const SentRequest &request)
{
    SoakState &soak = session.soak;
    SoakEndpoint &endpoint = session.endpoint;
    checkEndingRequest(soak, request);
    co_await sleepFor(EventInterval);
    if (!session.isAlive())
        co_return;
    soak.engineEnds.push_back(RuntimeClock::now());
    crashEndpoint(soak, endpoint);
    co_await sleepFor(EngineRestartTime);
    if (!isRunning(endpoint))
        restartEndpoint(soak, endpoint);
}

// Counts each time that a request of a caller reaches an endpoint.
void recordArrival(SoakState &soak, const SoakEndpoint &endpoint, const HttpHead &head)
{
    const auto found = soak.sent.find(headerValue(head, "X-Trefoilrun-Attempt-Id"));
    if (found == soak.sent.end())
        return;
    SentRequest &request = found->second;
    if (++request.arrivals > 1)
        soak.serviceLoads[serviceOf(request.kind)].repeats.push_back(RuntimeClock::now());
    recordLimitedArrival(soak, endpoint.id, request.entry);
}

// Reports a violation when a request reaches the endpoint long after it was acknowledged that it
// leaves. An entry that was disturbed may not know it yet, but control must. A request that was
// held up on its way counts from the time at which its caller sent it.
void checkDepartedArrival(SoakState &soak, const SoakEndpoint &endpoint, const HttpHead &head)
{
    constexpr auto drainTimeout = std::chrono::seconds(2);
    constexpr auto connectivityWindow = std::chrono::seconds(3);
    const auto found = soak.sent.find(headerValue(head, "X-Trefoilrun-Attempt-Id"));
    if (!endpoint.departedAt || found == soak.sent.end())
        return;
    const TimePoint departedAt = *endpoint.departedAt;
    const TimePoint at =
            isDisturbed(endpoint, departedAt) ? found->second.sentAt : RuntimeClock::now();
    const SoakNode *entry = findEntry(soak, found->second.entry);
    if (at - departedAt > drainTimeout && entry && isUndisturbed(*entry, connectivityWindow))
        reportViolation(soak, "request " + found->first + " reached " + endpoint.id + " from "
                                      + entry->name + " after its departure had been acknowledged");
}

// Returns a refusal if the endpoint wants no requests of this entry, with or without a proof that
// the request has not run.
std::optional<std::string> makeHoldOffResponse(SoakState &soak, const SoakEndpoint &endpoint,
                                               const SentRequest &request, const HttpHead &head)
{
    const SoakNode *entry = findEntry(soak, request.entry);
    if (!entry || RuntimeClock::now() >= endpoint.holdsOffUntil)
        return std::nullopt;
    const auto number = static_cast<std::size_t>(entry - soak.nodes.data());
    if ((endpoint.heldOffEntries >> number & 1) == 0)
        return std::nullopt;
    const double seconds = std::chrono::duration<double>(endpoint.holdOff).count();
    std::vector<HttpField> fields{{"Retry-After", std::to_string(seconds)}};
    if (randomBelow(soak, 2) == 0)
        fields.push_back({"X-Trefoilrun-Not-Executed", "1"});
    recordHoldOffTold(soak, endpoint, request.entry, endpoint.holdOff);
    return makeResponseText(503, head, "", fields);
}

// Handles one request. Returns whether the connection stays open.
asio::awaitable<bool> handleRequest(Session &session, const HttpHead &head, const std::string &body)
{
    SoakEndpoint &endpoint = session.endpoint;
    recordArrival(session.soak, endpoint, head);
    const std::string expected = headerValue(head, "X-Trefoilrun-Expect-Instance");
    if (!expected.empty() && expected != endpoint.id)
        co_return co_await session.write(makeNotExecutedResponse(421, head));
    checkDepartedArrival(session.soak, endpoint, head);
    if (head.target == "/trefoilrun/order")
        co_return co_await session.write(handleOrder(session.soak, endpoint, head, body));
    SentRequest *request = checkRequest(session.soak, head, body);
    if (!request)
        co_return false;
    checkToldEntry(session.soak, endpoint, *request);
    if (auto refusal = makeHoldOffResponse(session.soak, endpoint, *request, head))
        co_return co_await session.respond(head, std::move(*refusal));
    const bool isStream = request->kind == RequestKind::Stream;
    if (isStream != endpoint.isEngine) {
        reportViolation(session.soak, "request for " + head.target + " reached the wrong service");
        co_return false;
    }
    if (isStream && !isServingHead(session.soak, endpoint))
        co_return co_await session.respond(head, makeNotExecutedResponse(503, head));
    if (randomFraction(session.soak) < session.soak.rejectionRatio)
        co_return co_await session.respond(head, makeNotExecutedResponse(503, head));
    recordExecution(session.soak, head, *request);
    if (request->hasEndingPart && session.soak.isEndingPartActive) {
        co_await endEngine(session, *request);
        co_return false;
    }
    if (isStream)
        co_return co_await writeStream(session, head);
    co_return co_await writePlainResponse(session, head, body);
}

asio::awaitable<void> serveConnection(SoakState &soak, SoakEndpoint &endpoint,
                                      ChannelPointer channel)
{
    Session session{soak, endpoint, endpoint.incarnation, channel};
    AsyncCondition signal(channel->executor());
    channel->setChangeSignal(&signal);
    bool isOpen = true;
    while (isOpen && session.isAlive()) {
        HttpParser parser(HttpMessageKind::Request, BufferBytes, BufferBytes);
        while (parser.consume(channel->input()) && !parser.isDone() && session.isAlive()) {
            channel->resumeReading();
            co_await signal.wait(RuntimeClock::now() + EventInterval);
        }
        if (!parser.isDone() || !session.isAlive())
            break;
        const std::string body = parser.takeBody();
        isOpen = co_await handleRequest(session, parser.head(), body);
        channel->resumeReading();
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

void startListening(SoakState &soak, SoakEndpoint &endpoint)
{
    endpoint.listener = std::make_unique<ChannelListener>(
            soak.context, endpoint.address, BufferBytes,
            [&soak, &endpoint](ChannelPointer channel) {
                asio::co_spawn(soak.context, serveConnection(soak, endpoint, std::move(channel)),
                               asio::detached);
            });
}

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
        object["models"] = json::array{};
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
        group["state"] = PhaseNames[static_cast<std::size_t>(report.membership->phase)];
        object["group"] = std::move(group);
    }
    return json::serialize(object);
}

asio::awaitable<HttpCallResult> postReport(SoakState &soak, const std::string &address,
                                           const EndpointId &id, std::string body)
{
    HttpCall call;
    call.address = address.empty() ? addressOf(randomNode(soak, "control"), ControlPort) : address;
    call.target = "/trefoilrun/instances/" + id + "/heartbeat";
    call.body = std::move(body);
    co_return co_await callHttp(std::move(call));
}

// Sends a report to the address that the system asked for, or else to random control VMs.
asio::awaitable<void> sendReport(SoakState &soak, SoakEndpoint &endpoint, EndpointReport report)
{
    constexpr int attempts = 3;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const std::string address = endpoint.reportAddress.empty()
                                            ? addressOf(randomNode(soak, "control"), ControlPort)
                                            : endpoint.reportAddress;
        const HttpCallResult answer =
                co_await postReport(soak, address, report.id, encodeReport(report));
        if (answer.status != 200) {
            endpoint.reportAddress.clear();
            continue;
        }
        if (endpoint.keepsReportAddress) {
            endpoint.reportAddress = address;
            co_return;
        }
        json::error_code error;
        const json::value root = json::parse(answer.body, error);
        const json::value *next = !error && root.is_object()
                                          ? root.get_object().if_contains("heartbeat-addr")
                                          : nullptr;
        if (next)
            endpoint.reportAddress = std::string(next->as_string());
        co_return;
    }
}

void sendReports(SoakState &soak)
{
    for (DelayedReport &report : std::exchange(soak.fleet.reports, {})) {
        for (auto &endpoint : soak.endpoints) {
            if (endpoint->id == report.report.id)
                asio::co_spawn(soak.context, sendReport(soak, *endpoint, report.report),
                               asio::detached);
        }
    }
}

void makeEndpoint(SoakState &soak, std::size_t index, bool isEngine)
{
    auto endpoint = std::make_unique<SoakEndpoint>();
    const std::string network = soak.nodes.front().address.substr(
            0, soak.nodes.front().address.find('.', std::string_view("127.").size()));
    const std::string host = std::to_string(index + 1) + ":" + std::to_string(EndpointPort);
    endpoint->index = index;
    endpoint->isEngine = isEngine;
    endpoint->keepsReportAddress = (soak.options.seed + index) % 2 == 0;
    endpoint->address = network + ".3." + host;
    endpoint->proxyAddress = network + ".4." + host;
    endpoint->proxy =
            std::make_unique<FaultProxy>(soak.context, endpoint->proxyAddress, endpoint->address);
    EndpointReport &report = endpoint->report;
    if (isEngine) {
        auto engine = soak.fleet.engines.begin();
        std::advance(engine, static_cast<long>(index));
        endpoint->id = engine->first;
        engine->second.report.address = endpoint->proxyAddress;
        engine->second.nextReport = soak.fleet.now;
    } else {
        report.id = endpoint->id = "p-" + std::to_string(index) + "-1";
        report.service = index + 1 == EngineCount + PlainEndpointCount ? ExtraService : "ledger";
        report.address = endpoint->proxyAddress;
        report.slots = 20;
        report.startedAtMs = 1000;
    }
    findReport(soak, *endpoint).domain = "d" + std::to_string(index % 3 + 1);
    startListening(soak, *endpoint);
    soak.endpoints.push_back(std::move(endpoint));
}

} // namespace

std::string makeEventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id * id) + "\n\n";
}

std::string makePlainBody(const std::string &body)
{
    return "answer to " + body;
}

void makeEndpoints(SoakState &soak)
{
    soak.fleet = makeEngineFleet(1, soak.options.seed);
    soak.fleet.now = RuntimeClock::now();
    for (ModelProfile &model : soak.fleet.config.services.front().engine->models) {
        model.loadTime = LoadTime;
        model.stagedLoadTime = WarmUpTime;
    }
    for (std::size_t i = 0; i < EngineCount; ++i)
        makeEndpoint(soak, i, true);
    for (std::size_t i = 0; i < PlainEndpointCount; ++i)
        makeEndpoint(soak, EngineCount + i, false);
}

asio::awaitable<void> runEndpoints(SoakState &soak)
{
    TimePoint nextPlainReport{};
    while (true) {
        soak.fleet.now = RuntimeClock::now();
        advanceEngines(soak.fleet);
        sendReports(soak);
        if (soak.fleet.now >= nextPlainReport) {
            nextPlainReport = soak.fleet.now + PlainReportInterval;
            for (auto &endpoint : soak.endpoints) {
                if (endpoint->isEngine || endpoint->isSilent || !isRunning(*endpoint))
                    continue;
                ++endpoint->report.sequence;
                asio::co_spawn(soak.context, sendReport(soak, *endpoint, endpoint->report),
                               asio::detached);
            }
        }
        for (const std::string &text : std::exchange(soak.fleet.violations, {}))
            reportViolation(soak, text);
        co_await sleepFor(StepInterval);
    }
}

bool isRunning(const SoakEndpoint &endpoint)
{
    return endpoint.listener != nullptr;
}

EndpointReport &findReport(SoakState &soak, SoakEndpoint &endpoint)
{
    return endpoint.isEngine ? soak.fleet.engines.at(endpoint.id).report : endpoint.report;
}

asio::awaitable<SoakNode *> announceDeparture(SoakState &soak, SoakEndpoint &endpoint,
                                              bool isDraining)
{
    constexpr int attempts = 4;
    EndpointReport &report = findReport(soak, endpoint);
    report.isDraining = isDraining;
    ++report.sequence;
    const EndpointReport announced = report;
    std::string address = endpoint.reportAddress;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (address.empty())
            address = addressOf(randomNode(soak, "control"), ControlPort);
        HttpCall call;
        call.address = address;
        call.target = "/trefoilrun/instances/" + announced.id
                      + (isDraining ? "/heartbeat" : "/deregister");
        if (isDraining)
            call.body = encodeReport(announced);
        else if (!endpoint.isSilent)
            call.body = json::serialize(json::object{{"born", announced.startedAtMs}});
        const HttpCallResult answer = co_await callHttp(std::move(call));
        if (answer.status == 200) {
            for (SoakNode &node : soak.nodes) {
                if (addressOf(node, ControlPort) == address)
                    co_return &node;
            }
        }
        address.clear();
    }
    co_return nullptr;
}

asio::awaitable<void> sendLateReport(SoakState &soak, EndpointReport report)
{
    co_await postReport(soak, {}, report.id, encodeReport(report));
}

void crashEndpoint(SoakState &soak, SoakEndpoint &endpoint)
{
    endpoint.departedAt.reset();
    endpoint.saysThatItLeaves = false;
    endpoint.isSilent = false;
    endpoint.holdsOffUntil = TimePoint{};
    if (endpoint.isEngine)
        crashEngine(soak.fleet, endpoint.id);
    endpoint.listener.reset();
    ++endpoint.incarnation;
    endpoint.proxy->stopListening();
    endpoint.proxy->resetConnections();
}

void restartEndpoint(SoakState &soak, SoakEndpoint &endpoint)
{
    if (endpoint.isEngine) {
        const std::string domain = soak.fleet.engines.at(endpoint.id).report.domain;
        endpoint.id = restartEngine(soak.fleet, endpoint.id);
        soak.fleet.engines.at(endpoint.id).report.domain = domain;
    } else {
        ++endpoint.report.startedAtMs;
        endpoint.report.sequence = 0;
        endpoint.report.isDraining = false;
        endpoint.report.id = endpoint.id = "p-" + std::to_string(endpoint.index) + "-"
                                           + std::to_string(endpoint.report.startedAtMs);
    }
    startListening(soak, endpoint);
    endpoint.proxy->startListening();
}

void restartSilently(SoakState &soak, SoakEndpoint &endpoint)
{
    crashEndpoint(soak, endpoint);
    endpoint.report.startedAtMs = wallTimeMs();
    endpoint.report.sequence = 1;
    endpoint.report.isDraining = false;
    endpoint.isSilent = true;
    startListening(soak, endpoint);
    endpoint.proxy->startListening();
}

void restartExtraEndpoint(SoakState &soak)
{
    SoakEndpoint &endpoint = *soak.endpoints.back();
    if (!isRunning(endpoint) || endpoint.departedAt)
        return;
    crashEndpoint(soak, endpoint);
    restartEndpoint(soak, endpoint);
}

asio::awaitable<void> sendForeignReports(SoakState &soak)
{
    constexpr std::size_t workers = 150;
    constexpr std::size_t models = 300;
    EndpointReport report;
    report.service = "catalogue";
    report.fabric = "rack";
    report.startedAtMs = 1'000'000'000;
    report.sequence = wallTimeMs();
    for (std::size_t i = 0; i < models; ++i)
        report.stagedModels.push_back("adapter-of-a-large-catalogue-" + std::to_string(i));
    for (std::size_t i = 0; i < workers; ++i) {
        report.id = "foreign-" + std::to_string(i);
        report.address = "127.250.0.1:" + std::to_string(EndpointPort + i);
        co_await postReport(soak, {}, report.id, encodeReport(report));
    }
}

asio::awaitable<void> sendFalseReport(SoakState &soak, const SoakEndpoint &endpoint)
{
    if (endpoint.isEngine && isRunning(endpoint) && randomBelow(soak, 3) == 0) {
        // Says nothing of what only engines report.
        EndpointReport incomplete = soak.fleet.engines.at(endpoint.id).report;
        ++incomplete.sequence;
        incomplete.fabric.clear();
        incomplete.membership.reset();
        co_await postReport(soak, {}, incomplete.id, encodeReport(incomplete));
        co_return;
    }
    EndpointReport report;
    report.id = randomBelow(soak, 2) == 0 ? endpoint.id : "foreign";
    report.service = "unheard-of";
    report.address = endpoint.proxyAddress;
    report.startedAtMs = 1'000'000'000;
    report.sequence = 1'000'000;
    std::string body = encodeReport(report);
    if (randomBelow(soak, 3) == 0)
        body.resize(body.size() / 2);
    co_await postReport(soak, {}, report.id, std::move(body));
}

} // namespace Trefoil
