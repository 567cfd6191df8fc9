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
// Number of bytes written to the caller after which new credit is sent to the relaying entry.
constexpr auto CreditBatchBytes = std::size_t{32 * 1024};
constexpr std::size_t MaxIdempotencyKeyBytes = 200;
constexpr const char *JsonType = "application/json";

std::string headerValue(const HttpRequest &request, const char *name)
{
    return std::string(request[name]);
}

std::string requestPath(const HttpRequest &request)
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

std::optional<RequestClass> parseRequestClass(const std::string &name)
{
    for (std::size_t i = 0; i < RequestClassCount; ++i) {
        if (name == RequestClassNames[i])
            return static_cast<RequestClass>(i);
    }
    return std::nullopt;
}

http::status httpStatusFor(Outcome outcome, Reason reason)
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

// Relays a response to the entry that received the request, limited by the flow-control credit that
// this entry grants.
class PeerResponseSink : public ResponseSink
{
public:
    PeerResponseSink(const asio::any_io_executor &executor, RequestId id, std::uint32_t attempt,
                     Duration writeTimeout, std::function<void(EntryId, PeerMessage)> sendToPeer)
        : id_(std::move(id))
        , attempt_(attempt)
        , writeTimeout_(writeTimeout)
        , sendToPeer_(std::move(sendToPeer))
        , creditAdded_(executor)
    {}

    void writeHead(std::uint32_t status, const std::string &contentType) override
    {
        sendToPeer_(id_.entry, AnswerHead{id_, attempt_, status, contentType});
    }

    asio::awaitable<bool> write(std::string events) override
    {
        const TimePoint deadline = RuntimeClock::now() + writeTimeout_;
        while (sentBytes_ >= creditBytes_) {
            if (RuntimeClock::now() >= deadline)
                co_return false;
            co_await creditAdded_.wait(deadline);
        }
        const std::uint64_t offset = sentBytes_;
        sentBytes_ += events.size();
        sendToPeer_(id_.entry, AnswerData{id_, attempt_, offset, std::move(events)});
        co_return true;
    }

    void addCredit(std::uint64_t bytes)
    {
        creditBytes_ += bytes;
        creditAdded_.notify();
    }

private:
    RequestId id_;
    std::uint32_t attempt_;
    Duration writeTimeout_;
    std::function<void(EntryId, PeerMessage)> sendToPeer_;
    AsyncCondition creditAdded_;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t creditBytes_ = MaxBufferedEventBytes;
};

// Passes a response to the session of a caller that is connected to this entry.
class SessionResponseSink : public ResponseSink
{
public:
    SessionResponseSink(std::shared_ptr<CallerSession> session, Duration writeTimeout)
        : session_(std::move(session))
        , writeTimeout_(writeTimeout)
    {}

    void writeHead(std::uint32_t status, const std::string &contentType) override
    {
        session_->status = status;
        session_->contentType = contentType;
        session_->stateChanged.notify();
    }

    asio::awaitable<bool> write(std::string events) override
    {
        const TimePoint deadline = RuntimeClock::now() + writeTimeout_;
        while (!session_->isDisconnected
               && session_->pendingEvents.size() >= MaxBufferedEventBytes) {
            if (RuntimeClock::now() >= deadline)
                co_return false;
            co_await session_->eventsTaken.wait(deadline);
        }
        if (session_->isDisconnected)
            co_return false;
        session_->pendingEvents += events;
        session_->stateChanged.notify();
        co_return true;
    }

private:
    std::shared_ptr<CallerSession> session_;
    Duration writeTimeout_;
};

struct RunningAttempt
{
    std::shared_ptr<UpstreamAttempt> upstream;
    // Null if the caller is connected to this entry.
    std::shared_ptr<PeerResponseSink> peerSink;
};

// A request of an endpoint that waits for the reply of the node thread.
struct PendingEndpointRequest
{
    explicit PendingEndpointRequest(const asio::any_io_executor &executor)
        : replied(executor)
    {}

    AsyncCondition replied;
    std::optional<EndpointReply> reply;
};

} // namespace

class FrontendThread::Impl
{
public:
    Impl(const Settings &settings, FrontendThreadHandlers handlers)
        : settings_(settings)
        , handlers_(std::move(handlers))
        , thread_("front")
        , inbox_(thread_, InboxCapacity,
                 [this](FrontendThreadInput &&input) { dispatchInput(std::move(input)); })
    {}

    void start()
    {
        listenHttp(thread_, settings_.callerListenAddress, settings_.http,
                   [this](HttpConnection &connection, const HttpRequest &request) {
                       return handleHttpRequest(connection, request);
                   });
        thread_.start();
    }

    void stop() { thread_.stop(); }

    bool tryPush(FrontendThreadInput input) { return inbox_.tryPush(std::move(input)); }

private:
    void dispatchInput(FrontendThreadInput &&input)
    {
        std::visit([this](auto &value) { handleInput(std::move(value)); }, input);
    }

    void handleInput(SessionAdmitted &&admitted)
    {
        const auto session = sessions_.find(admitted.session);
        if (session == sessions_.end()) {
            postToNode(CallerDisconnected{admitted.id});
            return;
        }
        session->second->requestId = admitted.id;
        sessionsByRequest_[admitted.id] = session->second;
    }

    void handleInput(SessionAnswer &&answer)
    {
        const auto session = sessions_.find(answer.session);
        if (session == sessions_.end())
            return;
        session->second->finish = std::move(answer.finish);
        session->second->stateChanged.notify();
    }

    void handleInput(StartAttempt &&start)
    {
        const RequestId id = start.request.id;
        RunningAttempt running;
        std::shared_ptr<ResponseSink> sink;
        if (id.entry == settings_.node.self.entry) {
            const auto session = sessionsByRequest_.find(id);
            if (session == sessionsByRequest_.end()) {
                reportNotStarted(start);
                return;
            }
            sink = std::make_shared<SessionResponseSink>(session->second,
                                                         settings_.http.writeTimeout);
        } else {
            running.peerSink = std::make_shared<PeerResponseSink>(
                    executor(), id, start.request.attempt, settings_.http.writeTimeout,
                    handlers_.sendToPeer);
            sink = running.peerSink;
        }
        running.upstream =
                std::make_shared<UpstreamAttempt>(std::move(start), sink, connectionPool_,
                                                  settings_.http, [this, id](std::uint64_t tokens) {
                                                      postToNode(TokenProgress{id, tokens});
                                                  });
        attempts_[id] = running;
        asio::co_spawn(thread_.context(), runAttempt(running.upstream), asio::detached);
    }

    void handleInput(CancelAttempt &&cancel)
    {
        const auto attempt = attempts_.find(cancel.id);
        if (attempt != attempts_.end())
            attempt->second.upstream->cancel();
    }

    void handleInput(EndpointReply &&reply)
    {
        const auto pending = pendingEndpointRequests_.find(reply.session);
        if (pending == pendingEndpointRequests_.end())
            return;
        pending->second->reply = std::move(reply);
        pending->second->replied.notify();
    }

    void handleInput(EngineOrder &&order)
    {
        asio::co_spawn(thread_.context(), deliverOrder(std::move(order)), asio::detached);
    }

    void handleInput(FrontendStatus &&status) { frontendStatus_ = std::move(status); }

    void handleInput(RelayMessage &&message)
    {
        const EntryId from = message.from;
        std::visit([&](auto &part) { handleRelay(from, std::move(part)); }, message.part);
    }

    void handleRelay(const EntryId &from, AnswerHead &&head)
    {
        const auto session = sessionsByRequest_.find(head.id);
        if (session == sessionsByRequest_.end() || !acceptRelayHead(*session->second, from, head))
            return;
        session->second->status = head.status;
        session->second->contentType = head.contentType;
        session->second->stateChanged.notify();
    }

    void handleRelay(const EntryId &, AnswerData &&data)
    {
        const auto session = sessionsByRequest_.find(data.id);
        if (session == sessionsByRequest_.end() || !acceptRelayData(*session->second, data))
            return;
        session->second->pendingEvents += data.bytes;
        session->second->stateChanged.notify();
    }

    void handleRelay(const EntryId &, AnswerCredit &&credit)
    {
        const auto attempt = attempts_.find(credit.id);
        if (attempt != attempts_.end() && attempt->second.peerSink)
            attempt->second.peerSink->addCredit(credit.bytes);
    }

    void handleRelay(const EntryId &from, AttemptReport &&report)
    {
        const auto session = sessionsByRequest_.find(report.id);
        if (session != sessionsByRequest_.end())
            correctAttemptReport(*session->second, report);
        postToNode(ReceivedPeerMessage{from, AttemptReportCall{std::move(report)}});
    }

    asio::any_io_executor executor() { return thread_.context().get_executor(); }

    void reportNotStarted(const StartAttempt &start)
    {
        AttemptEnd end;
        end.id = start.request.id;
        end.attempt = start.request.attempt;
        end.result = AttemptResult::NotStarted;
        end.reason = Reason::CallerGone;
        postToNode(std::move(end));
    }

    asio::awaitable<void> runAttempt(std::shared_ptr<UpstreamAttempt> upstream)
    {
        AttemptEnd end = co_await upstream->run();
        const auto found = attempts_.find(end.id);
        if (found != attempts_.end() && found->second.upstream == upstream)
            attempts_.erase(found);
        postToNode(std::move(end));
    }

    asio::awaitable<void> deliverOrder(EngineOrder order)
    {
        EngineOrderResult orderResult;
        orderResult.vm = order.vm;
        orderResult.group = order.group;
        orderResult.isAccepted = co_await sendOrder(order, settings_.node.orderTimeout);
        postToNode(std::move(orderResult));
    }

    void postToNode(NodeThreadInput input)
    {
        if (!handlers_.postToNode(std::move(input)))
            logFatal(Event::RingFull, {{"ring", "decisions"}});
    }

    asio::awaitable<bool> handleHttpRequest(HttpConnection &connection, const HttpRequest &request)
    {
        const std::string path = requestPath(request);
        if (path == "/v1/chat/completions")
            co_return co_await handleChatRequest(connection, request);
        if (path.starts_with(ServicePathPrefix))
            co_return co_await handleServiceRequest(connection, request);
        if (path == "/v1/entries")
            co_return co_await handleEntryList(connection, request);
        if (path.starts_with("/v1/endpoints/"))
            co_return co_await handleEndpointCall(connection, request, path);
        if (path == "/healthz")
            co_return co_await writeReply(connection, request, http::status::ok, "ok\n",
                                          "text/plain");
        if (path == "/readyz")
            co_return co_await handleReadiness(connection, request);
        co_return co_await writeReply(connection, request, http::status::not_found,
                                      invalidRequestJson({"path", "there is no " + path}),
                                      JsonType);
    }

    asio::awaitable<bool> writeReply(HttpConnection &connection, const HttpRequest &request,
                                     http::status status, std::string body, const char *type)
    {
        co_return co_await writeResponse(
                connection, makeResponse(request, status, std::move(body), type), settings_.http);
    }

    asio::awaitable<bool> handleReadiness(HttpConnection &connection, const HttpRequest &request)
    {
        const bool isServing = frontendStatus_.isServing;
        co_return co_await writeReply(connection, request,
                                      isServing ? http::status::ok
                                                : http::status::service_unavailable,
                                      isServing ? "ready\n" : "not ready\n", "text/plain");
    }

    // Returns the entries that callers may use, in a random order that depends on the caller's
    // address and port. Entries of this entry's failure domain come first.
    std::vector<Member> shuffledEntries(const HttpConnection &connection)
    {
        std::vector<Member> members = frontendStatus_.members;
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

    asio::awaitable<bool> handleEntryList(HttpConnection &connection, const HttpRequest &request)
    {
        co_return co_await writeReply(connection, request, http::status::ok,
                                      entryListJson(shuffledEntries(connection),
                                                    settings_.node.self.domain,
                                                    settings_.node.entryListLifetime),
                                      JsonType);
    }

    asio::awaitable<bool> writeBadRequest(HttpConnection &connection, const HttpRequest &request,
                                          const RequestError &error)
    {
        HttpResponse response = makeResponse(request, http::status::bad_request,
                                             invalidRequestJson(error), JsonType);
        response.set("Trefoil-Outcome", toString(Outcome::NotRun));
        co_return co_await writeResponse(connection, std::move(response), settings_.http);
    }

    asio::awaitable<bool> handleChatRequest(HttpConnection &connection, const HttpRequest &request)
    {
        if (request.method() != http::verb::post)
            co_return co_await writeBadRequest(connection, request, {"method", "must be POST"});
        const auto parsed = parseChatRequest(request.body());
        if (const auto *error = std::get_if<RequestError>(&parsed))
            co_return co_await writeBadRequest(connection, request, *error);
        const auto &chat = std::get<ChatRequestInfo>(parsed);
        SubmitRequest submit;
        submit.request.pool = chat.model;
        submit.request.isIdempotent = true;
        submit.request.requestClass = RequestClass::Draft;
        submit.request.promptCost = chat.promptTokens;
        submit.request.prefixHash = chat.prefixHash;
        submit.request.payload = std::make_shared<CallPayload>(
                CallPayload{"POST", "/v1/chat/completions", JsonType, request.body()});
        co_return co_await handleCall(connection, request, std::move(submit));
    }

    asio::awaitable<bool> handleServiceRequest(HttpConnection &connection,
                                               const HttpRequest &request)
    {
        const std::string target(request.target());
        const std::string serviceTarget = target.substr(ServicePathPrefix.size());
        const std::size_t slash = std::min(serviceTarget.find('/'), serviceTarget.size());
        SubmitRequest submit;
        submit.request.pool = "service/" + serviceTarget.substr(0, slash);
        submit.request.isService = true;
        submit.request.isIdempotent = isIdempotentMethod(request.method());
        submit.request.requestClass = RequestClass::Lookup;
        submit.request.isAnswerBuffered = true;
        const std::string path = slash < serviceTarget.size() ? serviceTarget.substr(slash) : "/";
        submit.request.payload = std::make_shared<CallPayload>(
                CallPayload{std::string(request.method_string()), path,
                            headerValue(request, "Content-Type"), request.body()});
        co_return co_await handleCall(connection, request, std::move(submit));
    }

    // Reads the headers that chat requests and service requests share.
    std::optional<RequestError> readCallHeaders(const HttpRequest &request, SubmitRequest &submit)
    {
        submit.request.workspace = requestWorkspace(request);
        if (submit.request.workspace.empty())
            return RequestError{"Trefoil-Workspace", "must name the workspace"};
        if (const std::string name = headerValue(request, "Trefoil-Class"); !name.empty()) {
            const auto requestClass = parseRequestClass(name);
            if (!requestClass)
                return RequestError{"Trefoil-Class", "must be lookup, draft or batch"};
            submit.request.requestClass = *requestClass;
        }
        if (const std::string value = headerValue(request, "Trefoil-Idempotent"); !value.empty()) {
            if (value != "true" && value != "false")
                return RequestError{"Trefoil-Idempotent", "must be true or false"};
            submit.request.isIdempotent = value == "true";
        }
        if (const auto error = readDeadline(request, submit))
            return error;
        submit.key = headerValue(request, "Idempotency-Key");
        if (submit.key.size() > MaxIdempotencyKeyBytes)
            return RequestError{"Idempotency-Key", "must be at most 200 bytes"};
        if (!submit.key.empty()) {
            // The same key in another workspace or for another target is a different key.
            submit.key = submit.request.workspace + "\n" + submit.request.pool + "\n" + submit.key;
            submit.request.isAnswerBuffered = true;
            const CallPayload &payload = *submit.request.payload;
            const std::string digestInput =
                    payload.method + "\n" + payload.path + "\n" + payload.body;
            submit.digest = XXH3_64bits(digestInput.data(), digestInput.size());
        }
        return std::nullopt;
    }

    // Returns the workspace's name from the Trefoil-Workspace header, or else from the bearer token
    // that common client libraries send.
    static std::string requestWorkspace(const HttpRequest &request)
    {
        static constexpr std::string_view bearerPrefix = "Bearer ";
        const std::string workspace = headerValue(request, "Trefoil-Workspace");
        if (!workspace.empty())
            return workspace;
        const std::string authorization = headerValue(request, "Authorization");
        return authorization.starts_with(bearerPrefix) ? authorization.substr(bearerPrefix.size())
                                                       : std::string();
    }

    std::optional<RequestError> readDeadline(const HttpRequest &request, SubmitRequest &submit)
    {
        Duration deadline = settings_.http.defaultDeadline;
        if (const std::string value = headerValue(request, "Trefoil-Deadline-Ms"); !value.empty()) {
            std::uint64_t ms = 0;
            const char *end = value.data() + value.size();
            const auto parsed = std::from_chars(value.data(), end, ms);
            const auto maxMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                    settings_.http.maxDeadline);
            if (parsed.ec != std::errc() || parsed.ptr != end || ms == 0
                || ms > static_cast<std::uint64_t>(maxMs.count()))
                return RequestError{"Trefoil-Deadline-Ms",
                                    "must be a number of milliseconds from 1 to "
                                            + std::to_string(maxMs.count())};
            deadline = std::chrono::milliseconds(ms);
        }
        submit.request.deadline = RuntimeClock::now() + deadline;
        return std::nullopt;
    }

    asio::awaitable<bool> handleCall(HttpConnection &connection, const HttpRequest &request,
                                     SubmitRequest submit)
    {
        if (const auto error = readCallHeaders(request, submit))
            co_return co_await writeBadRequest(connection, request, *error);
        auto session = std::make_shared<CallerSession>(executor(), nextSessionId_++);
        session->workspace = submit.request.workspace;
        session->requestClass = submit.request.requestClass;
        session->arrivedAt = RuntimeClock::now();
        submit.session = session->id;
        sessions_[session->id] = session;
        if (!handlers_.postToNode(std::move(submit))) {
            sessions_.erase(session->id);
            RequestFinish overloaded;
            overloaded.reason = Reason::Overloaded;
            overloaded.retryAfter = std::chrono::seconds(1);
            co_return co_await writeCompleteResponse(connection, request, overloaded);
        }
        asio::cancellation_signal stopWatching;
        watchForDisconnect(connection, session, stopWatching);
        bool keepAlive = false;
        try {
            keepAlive = co_await respondToCaller(connection, request, session);
        } catch (const boost::system::system_error &) {
            session->isDisconnected = true;
        }
        stopWatching.emit(asio::cancellation_type::all);
        closeSession(*session);
        co_return keepAlive && !session->isDisconnected;
    }

    // Marks the session as disconnected when the caller closes its connection while its request is
    // in progress.
    void watchForDisconnect(HttpConnection &connection,
                            const std::shared_ptr<CallerSession> &session,
                            asio::cancellation_signal &stopWatching)
    {
        auto &socket = connection.stream.socket();
        socket.async_wait(
                tcp::socket::wait_read,
                asio::bind_cancellation_slot(
                        stopWatching.slot(), [session, &socket](const beast::error_code &error) {
                            if (error || session->isClosed)
                                return;
                            beast::error_code sizeError;
                            const bool hasData = socket.available(sizeError) > 0;
                            if (hasData && !sizeError)
                                return; // The caller sent its next request.
                            session->isDisconnected = true;
                            session->stateChanged.notify();
                            session->eventsTaken.notify();
                        }));
    }

    void closeSession(CallerSession &session)
    {
        session.isClosed = true;
        sessions_.erase(session.id);
        if (session.isDisconnected)
            session.eventsTaken.notify();
        if (session.requestId) {
            sessionsByRequest_.erase(*session.requestId);
            if (!session.finish)
                postToNode(CallerDisconnected{*session.requestId});
        }
        if (!session.finish || session.isDisconnected)
            return;
        RequestLatencies latencies;
        latencies.workspace = session.workspace;
        latencies.requestClass = session.requestClass;
        latencies.total = RuntimeClock::now() - session.arrivedAt;
        latencies.hasFirstByte = session.firstByteAt != TimePoint{};
        latencies.firstByte = session.firstByteAt - session.arrivedAt;
        postToNode(std::move(latencies));
    }

    asio::awaitable<bool> respondToCaller(HttpConnection &connection, const HttpRequest &request,
                                          std::shared_ptr<CallerSession> session)
    {
        while (!session->isDisconnected && !session->contentType && !session->finish)
            co_await session->stateChanged.wait();
        if (session->isDisconnected)
            co_return false;
        session->firstByteAt = RuntimeClock::now();
        if (session->contentType)
            co_return co_await streamResponse(connection, request, session);
        co_return co_await writeCompleteResponse(connection, request, *session->finish);
    }

    // Writes events as they arrive, then the end of the stream with the outcome.
    asio::awaitable<bool> streamResponse(HttpConnection &connection, const HttpRequest &request,
                                         std::shared_ptr<CallerSession> session)
    {
        http::response<http::empty_body> response(static_cast<http::status>(session->status),
                                                  request.version());
        response.set(http::field::server, "trefoilrun");
        response.set(http::field::content_type, *session->contentType);
        response.set(http::field::cache_control, "no-store");
        response.set(http::field::trailer, "Trefoil-Outcome");
        if (session->requestId)
            response.set("Trefoil-Request-Id", toString(*session->requestId));
        response.keep_alive(request.keep_alive());
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await http::async_write_header(connection.stream, serializer, asio::use_awaitable);
        while (!session->isDisconnected) {
            if (!session->pendingEvents.empty()) {
                co_await writeEvents(connection, *session);
                continue;
            }
            if (session->finish)
                break;
            co_await session->stateChanged.wait();
        }
        connection.stream.expires_never();
        if (session->isDisconnected)
            co_return false;
        co_await writeStreamEnd(connection, *session->finish);
        co_return session->finish->outcome == Outcome::Done;
    }

    asio::awaitable<void> writeEvents(HttpConnection &connection, CallerSession &session)
    {
        const std::string events = std::exchange(session.pendingEvents, {});
        session.eventsTaken.notify();
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(events)),
                                   asio::use_awaitable);
        if (session.relayEntry.empty() || !session.requestId)
            co_return;
        session.owedCreditBytes += events.size();
        if (session.owedCreditBytes < CreditBatchBytes)
            co_return;
        handlers_.sendToPeer(
                session.relayEntry,
                AnswerCredit{*session.requestId, std::exchange(session.owedCreditBytes, 0)});
    }

    asio::awaitable<void> writeStreamEnd(HttpConnection &connection, const RequestFinish &finish)
    {
        std::string lastEvent;
        if (finish.outcome == Outcome::Done)
            lastEvent = ": outcome done\n\ndata: [DONE]\n\n";
        else
            lastEvent = "data: "
                        + outcomeErrorJson(finish.outcome, finish.reason, finish.retryAfter,
                                           frontendStatus_.members)
                        + "\n\n";
        http::fields trailer;
        trailer.set("Trefoil-Outcome", toString(finish.outcome));
        connection.stream.expires_after(settings_.http.writeTimeout);
        co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(lastEvent)),
                                   asio::use_awaitable);
        co_await asio::async_write(connection.stream, http::make_chunk_last(trailer),
                                   asio::use_awaitable);
        connection.stream.expires_never();
    }

    // Writes a response that was not streamed: the endpoint's own, a replay or an error.
    asio::awaitable<bool> writeCompleteResponse(HttpConnection &connection,
                                                const HttpRequest &request,
                                                const RequestFinish &finish)
    {
        const bool hasEndpointResponse = finish.status != 0;
        HttpResponse response =
                hasEndpointResponse
                        ? makeResponse(request, static_cast<http::status>(finish.status),
                                       finish.body, finish.contentType)
                        : makeResponse(request, httpStatusFor(finish.outcome, finish.reason),
                                       outcomeErrorJson(finish.outcome, finish.reason,
                                                        finish.retryAfter,
                                                        shuffledEntries(connection)),
                                       JsonType);
        response.set("Trefoil-Outcome", toString(finish.outcome));
        if (finish.reason != Reason::None)
            response.set("Trefoil-Reason", toString(finish.reason));
        if (finish.isReplay)
            response.set("Trefoil-Replay", "true");
        if (finish.retryAfter > Duration{}) {
            const auto retryAfter = std::chrono::ceil<std::chrono::seconds>(finish.retryAfter);
            response.set(http::field::retry_after, std::to_string(retryAfter.count()));
        }
        co_return co_await writeResponse(connection, std::move(response), settings_.http);
    }

    asio::awaitable<bool> handleEndpointCall(HttpConnection &connection, const HttpRequest &request,
                                             std::string path)
    {
        const std::uint64_t id = nextSessionId_++;
        std::optional<NodeThreadInput> input;
        RequestError error{"path", "must be announce, heartbeat or leave"};
        const auto setInput = [&](auto parsed, auto makeInput) {
            if (const auto *parseError = std::get_if<RequestError>(&parsed))
                error = *parseError;
            else
                input = makeInput(std::get<0>(std::move(parsed)));
        };
        if (path == "/v1/endpoints/announce") {
            setInput(parseAnnouncement(request.body()), [id](Vm vm) {
                return VmAnnounceRequest{id, std::move(vm)};
            });
        } else if (path == "/v1/endpoints/heartbeat") {
            setInput(parseHeartbeat(request.body()), [id](VmReport report) {
                return VmHeartbeat{id, std::move(report)};
            });
        } else if (path == "/v1/endpoints/leave") {
            setInput(parseLeave(request.body()), [id](VmLeaveRequest leave) {
                leave.session = id;
                return leave;
            });
        }
        if (!input)
            co_return co_await writeBadRequest(connection, request, error);
        auto pending = std::make_shared<PendingEndpointRequest>(executor());
        pendingEndpointRequests_[id] = pending;
        if (handlers_.postToNode(std::move(*input)))
            co_await pending->replied.wait(RuntimeClock::now() + EndpointReplyTimeout);
        pendingEndpointRequests_.erase(id);
        EndpointReply endpointReply;
        endpointReply.error = "no answer in time";
        if (pending->reply)
            endpointReply = *pending->reply;
        const auto status = endpointReply.isAccepted ? http::status::ok
                            : pending->reply         ? http::status::conflict
                                                     : http::status::service_unavailable;
        co_return co_await writeReply(connection, request, status, endpointReplyJson(endpointReply),
                                      JsonType);
    }

    static constexpr std::string_view ServicePathPrefix = "/v1/services/";

    Settings settings_;
    FrontendThreadHandlers handlers_;
    EventLoopThread thread_;
    ConnectionPool connectionPool_;
    FrontendStatus frontendStatus_;
    std::uint64_t nextSessionId_ = 1;
    std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
    std::map<RequestId, std::shared_ptr<CallerSession>> sessionsByRequest_;
    std::map<RequestId, RunningAttempt> attempts_;
    std::map<std::uint64_t, std::shared_ptr<PendingEndpointRequest>> pendingEndpointRequests_;
    Inbox<FrontendThreadInput> inbox_;
};

FrontendThread::FrontendThread(const Settings &settings, FrontendThreadHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(handlers)))
{}

FrontendThread::~FrontendThread() = default;

bool FrontendThread::tryPush(FrontendThreadInput input)
{
    return impl_->tryPush(std::move(input));
}

void FrontendThread::start()
{
    impl_->start();
}

void FrontendThread::stop()
{
    impl_->stop();
}

} // namespace Trefoil
