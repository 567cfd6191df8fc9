#pragma once

#include "standin.h"

// Model workers that form groups, as PROTOCOL.md describes them.

namespace Review {

enum class Phase { Joining, Ready, Open, Closing, Broken };
inline const char *const PhaseNames[] = {"joining", "ready", "open", "closing", "broken"};

struct Membership
{
    std::string group;
    std::uint64_t epoch = 0;
    std::vector<std::string> members;
    std::string model;
    std::size_t rank = 0;
    Phase phase = Phase::Joining;
    long joinedAt = 0; // time at which joining ends
    long opensAt = -1; // time at which an accepted open order takes effect
    long lacksMemberSince = -1;
};

struct EngineOptions
{
    std::string service;
    std::vector<std::string> controls;
    std::size_t slots = 26;
    std::size_t queue = 52;
    long heartbeatMs = 1200;
    long loadMs = 1600; // before the first request loads take a tenth of the time
    long warmMs = 1600;
    long formMs = 300;
    long stallMs = 6000;
    long firstEventMs = 60;
    long eventMs = 32;
};

struct Engine;

// All workers. One lock guards their state.
struct Engines
{
    EngineOptions options;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Engine>> byId;

    // Runs a request that has a slot. Returns whether the connection stays open.
    std::function<bool(Engine &, Connection &, const Message &)> run;

    // Set by cases that need orders to be lost or late. Handles an order and returns its answer, 0 for none, or
    // nothing to have it handled as usual.
    std::function<std::optional<int>(Engine &, const json::object &)> handleOrder;

    // Set by cases with late reports. Returns whether it sends the report itself.
    std::function<bool(Engine &, const std::string &id, const std::string &text)> sendsReport;

    // Ids of requests that a full worker has refused.
    std::set<std::string> refused;

    // Joins of a worker whose group may still serve.
    std::vector<std::string> brokenJoins;
    std::atomic<bool> isOver{false};
};

struct Engine
{
    Engine(Engines &engines, std::string ownId, std::string ownAddress, std::string ownZone,
           std::string ownDomain)
        : all(engines)
        , id(std::move(ownId))
        , address(std::move(ownAddress))
        , zone(std::move(ownZone))
        , domain(std::move(ownDomain))
    {}

    Engines &all;
    std::string id;
    std::string address;
    std::string zone;
    std::string domain;
    std::uint64_t born = unixMs();
    std::uint64_t sequence = 0;
    std::uint64_t highestEpoch = 0;
    std::uint64_t highestFence = 0;
    std::optional<Membership> membership;
    std::string lastModel;
    std::vector<std::string> staged;
    std::string reportTo;
    std::atomic<bool> hasChanged{true};
    std::size_t running = 0;
    std::size_t waiting = 0;

    // While it is down, nothing listens at its address. It comes back as another lifetime.
    std::atomic<bool> isDown{false};
    std::atomic<int> listener{-1};
    std::set<int> descriptors;
    std::size_t lives = 1;
};

inline Engine *findHead(Engines &all, const Membership &membership)
{
    const auto found = all.byId.find(membership.members.front());
    if (found == all.byId.end() || !found->second->membership)
        return nullptr;
    const Membership &other = *found->second->membership;
    return other.group == membership.group && other.epoch == membership.epoch ? found->second.get() : nullptr;
}

inline bool isComplete(Engines &all, const Membership &membership)
{
    return std::all_of(membership.members.begin(), membership.members.end(), [&](const std::string &id) {
        const auto found = all.byId.find(id);
        return found != all.byId.end() && found->second->membership
               && found->second->membership->group == membership.group
               && found->second->membership->epoch == membership.epoch;
    });
}

inline void setPhase(Engine &engine, Phase phase)
{
    engine.membership->phase = phase;
    engine.hasChanged = true;
    record.line("worker %s: %s in %s", engine.id.c_str(), PhaseNames[static_cast<int>(phase)],
                engine.membership->group.c_str());
}

// Lets time take effect on all workers.
inline void advance(Engines &all)
{
    const std::lock_guard lock(all.mutex);
    const long now = nowMs();
    for (auto &[id, engine] : all.byId) {
        if (!engine->membership)
            continue;
        Membership &own = *engine->membership;
        if (own.phase == Phase::Joining && now >= own.joinedAt) {
            engine->lastModel = own.model;
            engine->staged = {own.model};
            setPhase(*engine, Phase::Ready);
        }
        if (own.phase == Phase::Ready && own.opensAt >= 0 && now >= own.opensAt) {
            own.opensAt = -1;
            setPhase(*engine, Phase::Open);
        }
        if (own.phase == Phase::Closing && engine->running == 0 && engine->waiting == 0)
            setPhase(*engine, Phase::Ready);
        const bool serves = own.rank == 0 && (own.phase == Phase::Open || own.phase == Phase::Closing);
        if (!serves || isComplete(all, own)) {
            own.lacksMemberSince = -1;
        } else if (own.lacksMemberSince < 0) {
            own.lacksMemberSince = now;
            record.line("worker %s: a member is missing, %s stands still", id.c_str(), own.group.c_str());
        } else if (now - own.lacksMemberSince >= all.options.stallMs) {
            setPhase(*engine, Phase::Broken);
        }
    }
}

inline int executeOrder(Engines &all, Engine &engine, const json::object &order)
{
    const std::lock_guard lock(all.mutex);
    const auto text = [&order](const char *name) {
        const json::value *value = order.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    };
    const auto number = [&order](const char *name) {
        const json::value *value = order.if_contains(name);
        return value ? value->to_number<std::uint64_t>() : 0;
    };
    const std::string operation = text("operation");
    const std::string group = text("group");
    const std::uint64_t epoch = number("epoch");
    if (const std::uint64_t fence = number("fencing-token")) {
        if (fence < engine.highestFence)
            return 412;
        engine.highestFence = fence;
    }
    auto &own = engine.membership;
    const bool isOwn = own && own->group == group && own->epoch == epoch;
    if (operation == "stage") {
        engine.staged = {text("model")};
        engine.hasChanged = true;
        return 202;
    }
    if (operation == "join") {
        std::vector<std::string> members;
        for (const json::value &member : order.at("members").as_array())
            members.emplace_back(member.as_string());
        if (isOwn)
            return own->members == members ? 200 : 412;
        if (epoch < engine.highestEpoch)
            return 412;
        engine.highestEpoch = epoch;
        if (own) {
            const Engine *head = findHead(all, *own);
            const bool mayServe = head && (head->membership->phase == Phase::Open
                                           || head->membership->phase == Phase::Closing);
            if (mayServe) {
                all.brokenJoins.push_back(engine.id + " joins " + group + " while the head "
                                          + own->members.front() + " of its group " + own->group + " is "
                                          + PhaseNames[static_cast<int>(head->membership->phase)]);
                record.line("RULE BROKEN: %s", all.brokenJoins.back().c_str());
            }
        }
        Membership next;
        next.group = group;
        next.epoch = epoch;
        next.members = members;
        next.model = text("model");
        next.rank = static_cast<std::size_t>(std::find(members.begin(), members.end(), engine.id)
                                             - members.begin());
        const bool isStaged = std::find(engine.staged.begin(), engine.staged.end(), next.model)
                              != engine.staged.end();
        next.joinedAt = nowMs()
                        + (engine.lastModel == next.model ? 200
                           : isStaged                     ? all.options.warmMs
                                                          : all.options.loadMs);
        own = next;
        setPhase(engine, Phase::Joining);
        ++engine.sequence;
        return 202;
    }
    if (!isOwn)
        return 409;
    if (operation == "leave") {
        own.reset();
        engine.hasChanged = true;
        record.line("worker %s: left %s", engine.id.c_str(), group.c_str());
        return 202;
    }
    if (operation == "open") {
        if (own->rank != 0 || (own->phase != Phase::Ready && own->phase != Phase::Open))
            return 409;
        if (own->phase == Phase::Open)
            return 200;
        own->opensAt = nowMs() + all.options.formMs;
        return 202;
    }
    if (operation == "close") {
        if (own->rank != 0 || (own->phase != Phase::Open && own->phase != Phase::Closing))
            return own->rank == 0 && own->phase == Phase::Ready ? 200 : 409;
        const bool isAbort = text("mode") == "cutover";
        setPhase(engine, isAbort ? Phase::Ready : Phase::Closing);
        return 202;
    }
    return 400;
}

inline std::string answerText(int status, const Message &request, const std::string &fields,
                              const std::string &body = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Trefoilrun-Attempt-Id: "
           + request.field("X-Trefoilrun-Attempt-Id") + "\r\n" + fields + "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool serveOne(Engine &engine, Connection &connection, const Message &request)
{
    Engines &all = engine.all;
    const std::string expected = request.field("X-Trefoilrun-Expect-Instance");
    if (!expected.empty() && expected != engine.id)
        return connection.write(answerText(421, request, "X-Trefoilrun-Not-Executed: 1\r\n"));
    if (request.path() == "/trefoilrun/order") {
        json::error_code error;
        const json::value order = json::parse(request.body, error);
        std::optional<int> handled;
        if (!error && order.is_object() && all.handleOrder)
            handled = all.handleOrder(engine, order.get_object());
        const int status = handled                       ? *handled
                           : error || !order.is_object() ? 400
                                                         : executeOrder(all, engine, order.get_object());
        record.line("order to %s: %s -> %d", engine.id.c_str(), request.body.c_str(), status);
        if (status == 0) {
            sleepMs(1500); // longer than any sender of orders waits
            return false;
        }
        return connection.write(answerText(status, request, ""));
    }
    {
        std::unique_lock lock(all.mutex);
        const bool isServing = engine.membership && engine.membership->rank == 0
                               && engine.membership->phase == Phase::Open;
        if (!isServing) {
            lock.unlock();
            record.line("worker %s: %s gets 421, it serves no group", engine.id.c_str(),
                        request.field("X-Trefoilrun-Attempt-Id").c_str());
            return connection.write(answerText(421, request, "X-Trefoilrun-Not-Executed: 1\r\n"));
        }
        if (engine.running >= all.options.slots && engine.waiting >= all.options.queue) {
            all.refused.insert(request.field("X-Trefoilrun-Attempt-Id"));
            lock.unlock();
            record.line("worker %s: %s gets 503, it is full", engine.id.c_str(),
                        request.field("X-Trefoilrun-Attempt-Id").c_str());
            return connection.write(answerText(503, request, "X-Trefoilrun-Not-Executed: 1\r\n"));
        }
        ++engine.waiting;
        while (engine.running >= all.options.slots) {
            lock.unlock();
            sleepMs(5);
            if (connection.isClosedByPeer()) {
                lock.lock();
                --engine.waiting;
                return false;
            }
            lock.lock();
        }
        --engine.waiting;
        ++engine.running;
    }
    const bool isOpen = all.run(engine, connection, request);
    const std::lock_guard lock(all.mutex);
    --engine.running;
    return isOpen;
}

inline void serveConnection(Engine &engine, int fd)
{
    Connection connection(fd);
    bool isOpen = true;
    while (isOpen && !engine.all.isOver && !engine.isDown) {
        Message request;
        isOpen = readHead(connection, request, 20000) && readBody(connection, request, 5000)
                 && serveOne(engine, connection, request);
    }
    const std::lock_guard lock(engine.all.mutex);
    engine.descriptors.erase(fd);
    connection.close();
}

inline void listenForRequests(Engine &engine)
{
    engine.listener = listenOn(engine.address);
    std::thread([&engine] {
        while (!engine.all.isOver) {
            if (engine.isDown && engine.listener >= 0)
                ::close(engine.listener.exchange(-1));
            else if (!engine.isDown && engine.listener < 0)
                engine.listener = listenOn(engine.address);
            pollfd item{engine.listener, POLLIN, 0};
            if (poll(&item, engine.listener < 0 ? 0 : 1, 2) <= 0)
                continue;
            const int fd = ::accept4(engine.listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const std::lock_guard lock(engine.all.mutex);
            if (engine.isDown) {
                ::close(fd);
                continue;
            }
            engine.descriptors.insert(fd);
            std::thread(serveConnection, std::ref(engine), fd).detach();
        }
    }).detach();
}

// Ends a worker at once, like the end of its process. It is back after some time, with another id or the
// same; its host keeps what is staged.
inline void crash(Engine &engine, long downMs, bool keepsId = false)
{
    {
        const std::lock_guard lock(engine.all.mutex);
        if (engine.isDown.exchange(true))
            return;
        record.line("worker %s: crashes", engine.id.c_str());
        // New connections are refused from the moment at which the open ones end.
        ::shutdown(engine.listener, SHUT_RDWR);
        for (const int fd : engine.descriptors)
            ::shutdown(fd, SHUT_RDWR);
        engine.membership.reset();
    }
    std::thread([&engine, downMs, keepsId] {
        sleepMs(downMs);
        const std::lock_guard lock(engine.all.mutex);
        Engines &all = engine.all;
        if (!keepsId) {
            auto item = all.byId.extract(engine.id);
            engine.id = engine.id.substr(0, engine.id.find('-', 2)) + "-" + std::to_string(++engine.lives);
            item.key() = engine.id;
            all.byId.insert(std::move(item));
        }
        engine.born = unixMs();
        engine.sequence = 0;
        engine.highestEpoch = engine.highestFence = 0;
        engine.lastModel.clear();
        engine.reportTo.clear();
        engine.isDown = false;
        engine.hasChanged = true;
        record.line("worker %s: is back", engine.id.c_str());
    }).detach();
}

inline std::string heartbeatText(Engine &engine)
{
    const std::lock_guard lock(engine.all.mutex);
    json::object object;
    object["service"] = engine.all.options.service;
    object["address"] = engine.address;
    object["zone"] = engine.zone;
    object["version"] = "v1";
    object["slots"] = engine.all.options.slots;
    object["state"] = "ready";
    object["cold-remaining-ms"] = 0;
    object["stage"] = "hybrid";
    object["models"] = json::array();
    object["sequence"] = ++engine.sequence;
    object["born"] = engine.born;
    object["domain"] = engine.domain;
    json::array staged;
    for (const std::string &model : engine.staged)
        staged.emplace_back(model);
    object["staged"] = std::move(staged);
    if (engine.membership) {
        json::object group;
        group["name"] = engine.membership->group;
        group["epoch"] = engine.membership->epoch;
        group["rank"] = engine.membership->rank;
        group["state"] = PhaseNames[static_cast<int>(engine.membership->phase)];
        object["group"] = std::move(group);
    }
    return json::serialize(object);
}

// Sends liveness reports at the usual interval and after each change.
inline void sendHeartbeats(Engine &engine)
{
    Engines &all = engine.all;
    long nextAt = 0;
    std::size_t next = std::hash<std::string>{}(engine.id);
    while (!all.isOver) {
        sleepMs(5);
        if (engine.isDown || (nowMs() < nextAt && !engine.hasChanged.exchange(false)))
            continue;
        nextAt = nowMs() + all.options.heartbeatMs;
        if (all.sendsReport) {
            const std::string text = heartbeatText(engine);
            std::string id;
            {
                const std::lock_guard lock(all.mutex);
                id = engine.id;
            }
            if (all.sendsReport(engine, id, text))
                continue;
        }
        for (std::size_t attempt = 0; attempt < all.options.controls.size() + 1; ++attempt) {
            const std::string target = engine.reportTo.empty()
                                               ? all.options.controls[next % all.options.controls.size()]
                                               : engine.reportTo;
            std::string id;
            {
                const std::lock_guard lock(all.mutex);
                id = engine.id;
            }
            const auto answer =
                    call(target, "POST", "/trefoilrun/instances/" + id + "/heartbeat", heartbeatText(engine));
            if (!answer || answer->status() != 200) {
                engine.reportTo.clear();
                ++next;
                continue;
            }
            json::error_code error;
            const json::value body = json::parse(answer->body, error);
            if (!error && body.is_object()) {
                if (const json::value *address = body.get_object().if_contains("heartbeat-addr"))
                    engine.reportTo = std::string(address->as_string());
            }
            break;
        }
    }
}

inline Engine &addEngine(Engines &all, const std::string &id, const std::string &address,
                         const std::string &zone, const std::string &domain)
{
    auto engine = std::make_unique<Engine>(all, id, address, zone, domain);
    Engine &added = *engine;
    const std::lock_guard lock(all.mutex);
    all.byId[id] = std::move(engine);
    return added;
}

inline void startEngines(Engines &all)
{
    for (auto &[id, engine] : all.byId) {
        listenForRequests(*engine);
        std::thread(sendHeartbeats, std::ref(*engine)).detach();
    }
    std::thread([&all] {
        while (!all.isOver) {
            advance(all);
            sleepMs(5);
        }
    }).detach();
}

inline std::size_t countOpenHeads(Engines &all)
{
    const std::lock_guard lock(all.mutex);
    return static_cast<std::size_t>(std::count_if(all.byId.begin(), all.byId.end(), [](const auto &item) {
        const auto &membership = item.second->membership;
        return membership && membership->rank == 0 && membership->phase == Phase::Open;
    }));
}

// Writes an event of a stream as a chunk.
inline bool writeEvent(Connection &connection, int id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    char length[16];
    std::snprintf(length, sizeof length, "%zx\r\n", event.size());
    return connection.write(length + event + "\r\n");
}

inline std::string streamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nX-Trefoilrun-Attempt-Id: " + request.field("X-Trefoilrun-Attempt-Id")
           + "\r\nX-Trefoilrun-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Trefoilrun-Weight-Versions: 1"
             "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// What a consumer saw of its stream.
struct StreamResult
{
    int status = 0;
    int events = 0;
    bool isWhole = false; // the last chunk arrived
    bool isClosed = false;
    long sentAt = 0;
    long endedAt = 0;
};

// Sends a request for a stream on an open connection and reads it to its end.
inline StreamResult readStream(Connection &connection, const std::string &request, long timeoutMs)
{
    StreamResult result;
    result.sentAt = nowMs();
    const long until = result.sentAt + timeoutMs;
    const auto finish = [&result] {
        result.endedAt = nowMs();
        return result;
    };
    if (!connection.write(request)) {
        result.isClosed = true;
        return finish();
    }
    Message head;
    if (!readHead(connection, head, timeoutMs)) {
        result.isClosed = connection.isClosedByPeer();
        return finish();
    }
    result.status = head.status();
    if (head.field("Transfer-Encoding") != "chunked") {
        result.isWhole = readBody(connection, head, until - nowMs());
        return finish();
    }
    std::string body;
    while (true) {
        std::size_t end;
        while ((end = connection.input.find("\r\n")) == std::string::npos) {
            const int got = connection.read(until - nowMs());
            if (got <= 0) {
                result.isClosed = got == 0;
                return finish();
            }
        }
        const auto length = static_cast<std::size_t>(std::strtoul(connection.input.c_str(), nullptr, 16));
        while (connection.input.size() < end + 4 + length) {
            const int got = connection.read(until - nowMs());
            if (got <= 0) {
                result.isClosed = got == 0;
                return finish();
            }
        }
        const std::string chunk = connection.input.substr(end + 2, length);
        connection.input.erase(0, end + 4 + length);
        if (length == 0) {
            result.isWhole = true;
            return finish();
        }
        for (std::size_t at = chunk.find("id: "); at != std::string::npos; at = chunk.find("id: ", at + 1))
            ++result.events;
    }
}

} // namespace Review
