#include "trefoilrund/frontduty.h"

#include "trefoilrund/callersession.h"
#include "trefoilrund/frontjson.h"
#include "trefoilrund/httplistener.h"
#include "trefoilrund/upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace Trefoil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t InboxCapacity = 262'144;
constexpr auto EndpointReplyTimeout = std::chrono::seconds(8);
constexpr auto CreditStep = std::size_t{32 * 1024}; // bytes taken before credit is sent back
constexpr std::size_t MaxKeyBytes = 200;
constexpr const char *JsonType = "application/json";

std::string headerOf(const HttpRequest &request, const char *name)
{
    return std::string(request[name]);
}

std::string pathOf(const HttpRequest &request)
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

std::optional<RequestClass> parseClass(const std::string &name)
{
    for (std::size_t i = 0; i < RequestClassCount; ++i) {
        if (name == RequestClassNames[i])
            return static_cast<RequestClass>(i);
    }
    return std::nullopt;
}

http::status statusOf(Outcome outcome, Reason reason)
{
    if (outcome == Outcome::Unknown)
        return http::status::bad_gateway;
    switch (reason) {
    case Reason::UnknownTarget:
        return http::status::not_found;
    case Reason::UnknownWorkspace:
        return http::status::forbidden;
    case Reason::Overloaded:
        return http::status::too_many_requests;
    case Reason::DeadlinePassed:
        return http::status::gateway_timeout;
    case Reason::KeyMismatch:
        return http::status::unprocessable_entity;
    case Reason::KeyRunning:
        return http::status::conflict;
    default:
        return http::status::service_unavailable;
    }
}

bool isIdempotentMethod(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::options
           || method == http::verb::put || method == http::verb::delete_;
}

// Relays an answer to the entry that the caller asked, within the credit that it gives.
class PeerSink : public AnswerSink
{
public:
    PeerSink(const asio::any_io_executor &executor, RequestId id, std::uint32_t attempt,
             Duration timeout, std::function<void(EntryId, PeerMessage)> relay)
        : id_(std::move(id))
        , attempt_(attempt)
        , timeout_(timeout)
        , relay_(std::move(relay))
        , credited_(executor)
    {}

    void head(std::uint32_t status, const std::string &contentType) override
    {
        relay_(id_.entry, AnswerHead{id_, attempt_, status, contentType});
    }

    asio::awaitable<bool> write(std::string events) override
    {
        const TimePoint limit = RuntimeClock::now() + timeout_;
        while (sent_ >= credit_) {
            if (RuntimeClock::now() >= limit)
                co_return false;
            co_await credited_.wait(limit);
        }
        const std::uint64_t offset = sent_;
        sent_ += events.size();
        relay_(id_.entry, AnswerData{id_, attempt_, offset, std::move(events)});
        co_return true;
    }

    void addCredit(std::uint64_t bytes)
    {
        credit_ += bytes;
        credited_.notify();
    }

private:
    RequestId id_;
    std::uint32_t attempt_;
    Duration timeout_;
    std::function<void(EntryId, PeerMessage)> relay_;
    Signal credited_;
    std::uint64_t sent_ = 0;
    std::uint64_t credit_ = MaxSessionBytes;
};

// Passes an answer to a session of this entry.
class SessionSink : public AnswerSink
{
public:
    SessionSink(std::shared_ptr<CallerSession> session, Duration timeout)
        : session_(std::move(session))
        , timeout_(timeout)
    {}

    void head(std::uint32_t status, const std::string &contentType) override
    {
        session_->status = status;
        session_->contentType = contentType;
        session_->changed.notify();
    }

    asio::awaitable<bool> write(std::string events) override
    {
        const TimePoint limit = RuntimeClock::now() + timeout_;
        while (!session_->isGone && session_->events.size() >= MaxSessionBytes) {
            if (RuntimeClock::now() >= limit)
                co_return false;
            co_await session_->drained.wait(limit);
        }
        if (session_->isGone)
            co_return false;
        session_->events += events;
        session_->changed.notify();
        co_return true;
    }

private:
    std::shared_ptr<CallerSession> session_;
    Duration timeout_;
};

struct RunningAttempt
{
    std::shared_ptr<UpstreamAttempt> upstream;
    std::shared_ptr<PeerSink> peerSink; // null for sessions of this entry
};

// An endpoint's request that waits for the decision duty.
struct EndpointSession
{
    explicit EndpointSession(const asio::any_io_executor &executor)
        : changed(executor)
    {}

    Signal changed;
    std::optional<EndpointReply> reply;
};

} // namespace

class FrontDuty::Impl
{
public:
    Impl(const Settings &settings, FrontDutyHandlers handlers)
        : settings_(settings)
        , handlers_(std::move(handlers))
        , duty_("front")
        , inbox_(duty_, InboxCapacity, [this](FrontInput &&input) { receive(std::move(input)); })
    {}

    void start()
    {
        listenHttp(duty_, settings_.callerListen, settings_.http,
                   [this](HttpConnection &connection, const HttpRequest &request) {
                       return handle(connection, request);
                   });
        duty_.start();
    }

    void stop() { duty_.stop(); }

    bool tryPush(FrontInput input) { return inbox_.tryPush(std::move(input)); }

private:
    // --- Input of the other duties

    void receive(FrontInput &&input)
    {
        std::visit([this](auto &value) { on(std::move(value)); }, input);
    }

    void on(SessionAdmitted &&admitted)
    {
        const auto session = sessions_.find(admitted.session);
        if (session == sessions_.end()) {
            decide(CallerGone{admitted.id});
            return;
        }
        session->second->request = admitted.id;
        byRequest_[admitted.id] = session->second;
    }

    void on(SessionAnswer &&answer)
    {
        const auto session = sessions_.find(answer.session);
        if (session == sessions_.end())
            return;
        session->second->finish = std::move(answer.finish);
        session->second->changed.notify();
    }

    void on(StartAttempt &&start)
    {
        const RequestId id = start.request.id;
        RunningAttempt running;
        std::shared_ptr<AnswerSink> sink;
        if (id.entry == settings_.node.self.entry) {
            const auto session = byRequest_.find(id);
            if (session == byRequest_.end()) {
                endUnstarted(start);
                return;
            }
            sink = std::make_shared<SessionSink>(session->second, settings_.http.writeTimeout);
        } else {
            running.peerSink =
                    std::make_shared<PeerSink>(executor(), id, start.request.attempt,
                                               settings_.http.writeTimeout, handlers_.relay);
            sink = running.peerSink;
        }
        running.upstream = std::make_shared<UpstreamAttempt>(
                std::move(start), sink, pool_, settings_.http, [this, id](std::uint64_t tokens) {
                    decide(TokenProgress{id, tokens});
                });
        attempts_[id] = running;
        asio::co_spawn(duty_.context(), runAttempt(running.upstream), asio::detached);
    }

    void on(CancelAttempt &&cancel)
    {
        const auto attempt = attempts_.find(cancel.id);
        if (attempt != attempts_.end())
            attempt->second.upstream->cancel();
    }

    void on(EndpointReply &&reply)
    {
        const auto session = endpointSessions_.find(reply.session);
        if (session == endpointSessions_.end())
            return;
        session->second->reply = std::move(reply);
        session->second->changed.notify();
    }

    void on(EngineOrder &&order)
    {
        asio::co_spawn(duty_.context(), runOrder(std::move(order)), asio::detached);
    }

    void on(FrontStatus &&status) { status_ = std::move(status); }

    void on(RelayInput &&input)
    {
        const EntryId from = input.from;
        std::visit([&](auto &part) { onRelay(from, std::move(part)); }, input.part);
    }

    void onRelay(const EntryId &from, AnswerHead &&head)
    {
        const auto session = byRequest_.find(head.id);
        if (session == byRequest_.end() || !acceptRelayHead(*session->second, from, head))
            return;
        session->second->status = head.status;
        session->second->contentType = head.contentType;
        session->second->changed.notify();
    }

    void onRelay(const EntryId &, AnswerData &&data)
    {
        const auto session = byRequest_.find(data.id);
        if (session == byRequest_.end() || !acceptRelayData(*session->second, data))
            return;
        session->second->events += data.bytes;
        session->second->changed.notify();
    }

    void onRelay(const EntryId &, AnswerCredit &&credit)
    {
        const auto attempt = attempts_.find(credit.id);
        if (attempt != attempts_.end() && attempt->second.peerSink)
            attempt->second.peerSink->addCredit(credit.bytes);
    }

    void onRelay(const EntryId &from, AttemptReport &&report)
    {
        const auto session = byRequest_.find(report.id);
        if (session != byRequest_.end())
            correctReport(*session->second, report);
        decide(PeerInput{from, AttemptReportCall{std::move(report)}});
    }

    // --- Attempts and orders

    asio::any_io_executor executor() { return duty_.context().get_executor(); }

    void endUnstarted(const StartAttempt &start)
    {
        AttemptEnd end;
        end.id = start.request.id;
        end.attempt = start.request.attempt;
        end.result = AttemptResult::NotStarted;
        end.reason = Reason::CallerGone;
        decide(std::move(end));
    }

    asio::awaitable<void> runAttempt(std::shared_ptr<UpstreamAttempt> upstream)
    {
        AttemptEnd end = co_await upstream->run();
        const auto found = attempts_.find(end.id);
        if (found != attempts_.end() && found->second.upstream == upstream)
            attempts_.erase(found);
        decide(std::move(end));
    }

    asio::awaitable<void> runOrder(EngineOrder order)
    {
        EngineOrderEnd end;
        end.vm = order.vm;
        end.group = order.group;
        end.isAccepted = co_await sendOrder(order, settings_.node.orderTimeout);
        decide(std::move(end));
    }

    void decide(DecisionInput input)
    {
        if (!handlers_.decide(std::move(input)))
            logFatal(Event::RingFull, {{"ring", "decisions"}});
    }

    // --- HTTP

    asio::awaitable<bool> handle(HttpConnection &connection, const HttpRequest &request)
    {
        const std::string path = pathOf(request);
        if (path == "/v1/chat/completions")
            co_return co_await handleChat(connection, request);
        if (path.starts_with(ServicePath))
            co_return co_await handleService(connection, request);
        if (path == "/v1/entries")
            co_return co_await handleEntries(connection, request);
        if (path.starts_with("/v1/endpoints/"))
            co_return co_await handleEndpoint(connection, request, path);
        if (path == "/healthz")
            co_return co_await reply(connection, request, http::status::ok, "ok\n", "text/plain");
        if (path == "/readyz")
            co_return co_await handleReady(connection, request);
        co_return co_await reply(connection, request, http::status::not_found,
                                 bodyErrorJson({"path", "there is no " + path}), JsonType);
    }

    asio::awaitable<bool> reply(HttpConnection &connection, const HttpRequest &request,
                                http::status status, std::string body, const char *type)
    {
        co_return co_await writeResponse(
                connection, makeResponse(request, status, std::move(body), type), settings_.http);
    }

    asio::awaitable<bool> handleReady(HttpConnection &connection, const HttpRequest &request)
    {
        const bool ready = status_.isServing;
        co_return co_await reply(connection, request,
                                 ready ? http::status::ok : http::status::service_unavailable,
                                 ready ? "ready\n" : "not ready\n", "text/plain");
    }

    // Entries in an order of this caller's own.
    std::vector<Member> entriesFor(const HttpConnection &connection)
    {
        std::vector<Member> members = status_.members;
        beast::error_code ignored;
        const auto peer = connection.stream.socket().remote_endpoint(ignored);
        const std::string seed = peer.address().to_string() + std::to_string(peer.port());
        std::mt19937_64 rng(XXH3_64bits(seed.data(), seed.size()));
        std::shuffle(members.begin(), members.end(), rng);
        std::stable_partition(members.begin(), members.end(), [this](const Member &member) {
            return member.domain == settings_.node.self.domain;
        });
        return members;
    }

    asio::awaitable<bool> handleEntries(HttpConnection &connection, const HttpRequest &request)
    {
        co_return co_await reply(connection, request, http::status::ok,
                                 entryListJson(entriesFor(connection), settings_.node.self.domain,
                                               settings_.node.entryListLifetime),
                                 JsonType);
    }

    asio::awaitable<bool> badRequest(HttpConnection &connection, const HttpRequest &request,
                                     const BodyError &error)
    {
        HttpResponse response =
                makeResponse(request, http::status::bad_request, bodyErrorJson(error), JsonType);
        response.set("Trefoil-Outcome", toString(Outcome::NotRun));
        co_return co_await writeResponse(connection, std::move(response), settings_.http);
    }

    asio::awaitable<bool> handleChat(HttpConnection &connection, const HttpRequest &request)
    {
        if (request.method() != http::verb::post)
            co_return co_await badRequest(connection, request, {"method", "must be POST"});
        const auto parsed = parseChat(request.body());
        if (const auto *error = std::get_if<BodyError>(&parsed))
            co_return co_await badRequest(connection, request, *error);
        const auto &facts = std::get<ChatFacts>(parsed);
        SubmitRequest submit;
        submit.request.pool = facts.model;
        submit.request.isIdempotent = true;
        submit.request.requestClass = RequestClass::Draft;
        submit.request.promptCost = facts.promptTokens;
        submit.request.prefixHash = facts.prefixHash;
        submit.request.payload = std::make_shared<CallPayload>(
                CallPayload{"POST", "/v1/chat/completions", JsonType, request.body()});
        co_return co_await handleCall(connection, request, std::move(submit));
    }

    asio::awaitable<bool> handleService(HttpConnection &connection, const HttpRequest &request)
    {
        const std::string target(request.target());
        const std::string rest = target.substr(ServicePath.size());
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        SubmitRequest submit;
        submit.request.pool = "service/" + rest.substr(0, slash);
        submit.request.isService = true;
        submit.request.isIdempotent = isIdempotentMethod(request.method());
        submit.request.requestClass = RequestClass::Lookup;
        submit.request.isAnswerBuffered = true;
        const std::string path = slash < rest.size() ? rest.substr(slash) : "/";
        submit.request.payload = std::make_shared<CallPayload>(
                CallPayload{std::string(request.method_string()), path,
                            headerOf(request, "Content-Type"), request.body()});
        co_return co_await handleCall(connection, request, std::move(submit));
    }

    // Reads the headers that all calls share.
    std::optional<BodyError> readCallHeaders(const HttpRequest &request, SubmitRequest &submit)
    {
        submit.request.workspace = workspaceOf(request);
        if (submit.request.workspace.empty())
            return BodyError{"Trefoil-Workspace", "must name the workspace"};
        if (const std::string name = headerOf(request, "Trefoil-Class"); !name.empty()) {
            const auto requestClass = parseClass(name);
            if (!requestClass)
                return BodyError{"Trefoil-Class", "must be lookup, draft or batch"};
            submit.request.requestClass = *requestClass;
        }
        if (const std::string value = headerOf(request, "Trefoil-Idempotent"); !value.empty()) {
            if (value != "true" && value != "false")
                return BodyError{"Trefoil-Idempotent", "must be true or false"};
            submit.request.isIdempotent = value == "true";
        }
        if (const auto error = readDeadline(request, submit))
            return error;
        submit.key = headerOf(request, "Idempotency-Key");
        if (submit.key.size() > MaxKeyBytes)
            return BodyError{"Idempotency-Key", "must be at most 200 bytes"};
        if (!submit.key.empty()) {
            // Keys of different workspaces and targets are different keys.
            submit.key = submit.request.workspace + "\n" + submit.request.pool + "\n" + submit.key;
            submit.request.isAnswerBuffered = true;
            const CallPayload &payload = *submit.request.payload;
            const std::string whole = payload.method + "\n" + payload.path + "\n" + payload.body;
            submit.digest = XXH3_64bits(whole.data(), whole.size());
        }
        return std::nullopt;
    }

    // Name of the workspace: its own header, or the bearer token of usual client libraries.
    static std::string workspaceOf(const HttpRequest &request)
    {
        static constexpr std::string_view bearer = "Bearer ";
        const std::string workspace = headerOf(request, "Trefoil-Workspace");
        if (!workspace.empty())
            return workspace;
        const std::string authorization = headerOf(request, "Authorization");
        return authorization.starts_with(bearer) ? authorization.substr(bearer.size())
                                                 : std::string();
    }

    std::optional<BodyError> readDeadline(const HttpRequest &request, SubmitRequest &submit)
    {
        Duration deadline = settings_.http.defaultDeadline;
        if (const std::string value = headerOf(request, "Trefoil-Deadline-Ms"); !value.empty()) {
            std::uint64_t ms = 0;
            const char *end = value.data() + value.size();
            const auto parsed = std::from_chars(value.data(), end, ms);
            const auto highest = std::chrono::duration_cast<std::chrono::milliseconds>(
                    settings_.http.maxDeadline);
            if (parsed.ec != std::errc() || parsed.ptr != end || ms == 0
                || ms > static_cast<std::uint64_t>(highest.count()))
                return BodyError{"Trefoil-Deadline-Ms",
                                 "must be a number of milliseconds from 1 to "
                                         + std::to_string(highest.count())};
            deadline = std::chrono::milliseconds(ms);
        }
        submit.request.deadline = RuntimeClock::now() + deadline;
        return std::nullopt;
    }

    asio::awaitable<bool> handleCall(HttpConnection &connection, const HttpRequest &request,
                                     SubmitRequest submit)
    {
        if (const auto error = readCallHeaders(request, submit))
            co_return co_await badRequest(connection, request, *error);
        auto session = std::make_shared<CallerSession>(executor(), nextSession_++);
        session->workspace = submit.request.workspace;
        session->requestClass = submit.request.requestClass;
        session->arrivedAt = RuntimeClock::now();
        submit.session = session->id;
        sessions_[session->id] = session;
        if (!handlers_.decide(std::move(submit))) {
            sessions_.erase(session->id);
            RequestFinish full;
            full.reason = Reason::Overloaded;
            full.retryAfter = std::chrono::seconds(1);
            co_return co_await writeFinish(connection, request, full);
        }
        asio::cancellation_signal stopWatch;
        watchClose(connection, session, stopWatch);
        bool keep = false;
        try {
            keep = co_await answer(connection, request, session);
        } catch (const boost::system::system_error &) {
            session->isGone = true;
        }
        stopWatch.emit(asio::cancellation_type::all);
        closeSession(*session);
        co_return keep && !session->isGone;
    }

    // Notices a caller that closes its connection while its request is in progress.
    void watchClose(HttpConnection &connection, const std::shared_ptr<CallerSession> &session,
                    asio::cancellation_signal &stop)
    {
        auto &socket = connection.stream.socket();
        socket.async_wait(tcp::socket::wait_read,
                          asio::bind_cancellation_slot(
                                  stop.slot(), [session, &socket](const beast::error_code &error) {
                                      if (error || session->isClosed)
                                          return;
                                      beast::error_code available;
                                      const bool hasData = socket.available(available) > 0;
                                      if (hasData && !available)
                                          return; // the next request
                                      session->isGone = true;
                                      session->changed.notify();
                                      session->drained.notify();
                                  }));
    }

    void closeSession(CallerSession &session)
    {
        session.isClosed = true;
        sessions_.erase(session.id);
        if (session.isGone)
            session.drained.notify();
        if (session.request) {
            byRequest_.erase(*session.request);
            if (!session.finish)
                decide(CallerGone{*session.request});
        }
        if (!session.finish || session.isGone)
            return;
        RequestTimes times;
        times.workspace = session.workspace;
        times.requestClass = session.requestClass;
        times.total = RuntimeClock::now() - session.arrivedAt;
        times.hasFirstByte = session.firstByteAt != TimePoint{};
        times.firstByte = session.firstByteAt - session.arrivedAt;
        decide(std::move(times));
    }

    asio::awaitable<bool> answer(HttpConnection &connection, const HttpRequest &request,
                                 std::shared_ptr<CallerSession> session)
    {
        while (!session->isGone && !session->contentType && !session->finish)
            co_await session->changed.wait();
        if (session->isGone)
            co_return false;
        session->firstByteAt = RuntimeClock::now();
        if (session->contentType)
            co_return co_await streamAnswer(connection, request, session);
        co_return co_await writeFinish(connection, request, *session->finish);
    }

    // Writes events as they come, and the end mark with the outcome.
    asio::awaitable<bool> streamAnswer(HttpConnection &connection, const HttpRequest &request,
                                       std::shared_ptr<CallerSession> session)
    {
        http::response<http::empty_body> response(static_cast<http::status>(session->status),
                                                  request.version());
        response.set(http::field::server, "trefoilrun");
        response.set(http::field::content_type, *session->contentType);
        response.set(http::field::cache_control, "no-store");
        response.set(http::field::trailer, "Trefoil-Outcome");
        if (session->request)
            response.set("Trefoil-Request-Id", toString(*session->request));
        response.keep_alive(request.keep_alive());
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await http::async_write_header(connection.stream, serializer, asio::use_awaitable);
        while (!session->isGone) {
            if (!session->events.empty()) {
                co_await writeEvents(connection, *session);
                continue;
            }
            if (session->finish)
                break;
            co_await session->changed.wait();
        }
        connection.stream.expires_never();
        if (session->isGone)
            co_return false;
        co_await writeEndMark(connection, *session->finish);
        co_return session->finish->outcome == Outcome::Done;
    }

    asio::awaitable<void> writeEvents(HttpConnection &connection, CallerSession &session)
    {
        const std::string events = std::exchange(session.events, {});
        session.drained.notify();
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(events)),
                                   asio::use_awaitable);
        if (session.relayFrom.empty() || !session.request)
            co_return;
        session.creditOwed += events.size();
        if (session.creditOwed < CreditStep)
            co_return;
        handlers_.relay(session.relayFrom,
                        AnswerCredit{*session.request, std::exchange(session.creditOwed, 0)});
    }

    asio::awaitable<void> writeEndMark(HttpConnection &connection, const RequestFinish &finish)
    {
        std::string mark;
        if (finish.outcome == Outcome::Done)
            mark = ": outcome done\n\ndata: [DONE]\n\n";
        else
            mark = "data: "
                   + refusalJson(finish.outcome, finish.reason, finish.retryAfter, status_.members)
                   + "\n\n";
        http::fields trailer;
        trailer.set("Trefoil-Outcome", toString(finish.outcome));
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(mark)),
                                   asio::use_awaitable);
        co_await asio::async_write(connection.stream, http::make_chunk_last(trailer),
                                   asio::use_awaitable);
        connection.stream.expires_never();
    }

    // Writes an answer that was not streamed: the endpoint's own, a replay, or a refusal.
    asio::awaitable<bool> writeFinish(HttpConnection &connection, const HttpRequest &request,
                                      const RequestFinish &finish)
    {
        const bool hasAnswer = finish.status != 0;
        HttpResponse response =
                hasAnswer ? makeResponse(request, static_cast<http::status>(finish.status),
                                         finish.body, finish.contentType)
                          : makeResponse(request, statusOf(finish.outcome, finish.reason),
                                         refusalJson(finish.outcome, finish.reason,
                                                     finish.retryAfter, entriesFor(connection)),
                                         JsonType);
        response.set("Trefoil-Outcome", toString(finish.outcome));
        if (finish.reason != Reason::None)
            response.set("Trefoil-Reason", toString(finish.reason));
        if (finish.isReplay)
            response.set("Trefoil-Replay", "true");
        if (finish.retryAfter > Duration{}) {
            const auto wait = std::chrono::ceil<std::chrono::seconds>(finish.retryAfter);
            response.set(http::field::retry_after, std::to_string(wait.count()));
        }
        co_return co_await writeResponse(connection, std::move(response), settings_.http);
    }

    asio::awaitable<bool> handleEndpoint(HttpConnection &connection, const HttpRequest &request,
                                         std::string path)
    {
        const std::uint64_t id = nextSession_++;
        std::optional<DecisionInput> input;
        BodyError error{"path", "must be announce, heartbeat or leave"};
        const auto take = [&](auto parsed, auto make) {
            if (const auto *fault = std::get_if<BodyError>(&parsed))
                error = *fault;
            else
                input = make(std::get<0>(std::move(parsed)));
        };
        if (path == "/v1/endpoints/announce") {
            take(parseAnnouncement(request.body()), [id](Vm vm) {
                return AnnounceRequest{id, std::move(vm)};
            });
        } else if (path == "/v1/endpoints/heartbeat") {
            take(parseHeartbeat(request.body()), [id](VmReport report) {
                return Heartbeat{id, std::move(report)};
            });
        } else if (path == "/v1/endpoints/leave") {
            take(parseLeave(request.body()), [id](LeaveRequest leave) {
                leave.session = id;
                return leave;
            });
        }
        if (!input)
            co_return co_await badRequest(connection, request, error);
        auto session = std::make_shared<EndpointSession>(executor());
        endpointSessions_[id] = session;
        if (handlers_.decide(std::move(*input)))
            co_await session->changed.wait(RuntimeClock::now() + EndpointReplyTimeout);
        endpointSessions_.erase(id);
        EndpointReply answer;
        answer.error = "no answer in time";
        if (session->reply)
            answer = *session->reply;
        const auto status = answer.isAccepted ? http::status::ok
                            : session->reply  ? http::status::conflict
                                              : http::status::service_unavailable;
        co_return co_await reply(connection, request, status, endpointReplyJson(answer), JsonType);
    }

    static constexpr std::string_view ServicePath = "/v1/services/";

    Settings settings_;
    FrontDutyHandlers handlers_;
    Duty duty_;
    ConnectionPool pool_;
    FrontStatus status_;
    std::uint64_t nextSession_ = 1;
    std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
    std::map<RequestId, std::shared_ptr<CallerSession>> byRequest_;
    std::map<RequestId, RunningAttempt> attempts_;
    std::map<std::uint64_t, std::shared_ptr<EndpointSession>> endpointSessions_;
    Inbox<FrontInput> inbox_;
};

FrontDuty::FrontDuty(const Settings &settings, FrontDutyHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(handlers)))
{}

FrontDuty::~FrontDuty() = default;

bool FrontDuty::tryPush(FrontInput input)
{
    return impl_->tryPush(std::move(input));
}

void FrontDuty::start()
{
    impl_->start();
}

void FrontDuty::stop()
{
    impl_->stop();
}

} // namespace Trefoil
