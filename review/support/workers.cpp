#include "workers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace json = boost::json;

namespace {

constexpr Milliseconds FormTime{300};
constexpr Milliseconds RejoinTime{200};
constexpr Milliseconds StallTime{6000};

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

TimePoint after(double seconds)
{
    return Clock::now() + Milliseconds(static_cast<long>(seconds * 1000));
}

std::string responseText(int status, const std::string &reason, const Message &request,
                         const std::string &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields;
    const std::string id = request.field("X-Trefoilrun-Attempt-Id");
    if (!id.empty())
        text += "X-Trefoilrun-Attempt-Id: " + id + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

} // namespace

Worker &Fleet::add(const std::string &id, const std::string &service, int number,
                   bool isModelWorker)
{
    auto worker = std::make_unique<Worker>();
    worker->id = id;
    worker->service = service;
    worker->address = world_.workerAddress(number);
    worker->zone = "zone-" + std::to_string((number - 1) % 3 + 1);
    worker->isModelWorker = isModelWorker;
    const std::lock_guard lock(mutex);
    return *(workers_[id] = std::move(worker));
}

void Fleet::startWorker(Worker &worker)
{
    {
        const std::lock_guard lock(mutex);
        worker.isRunning = true;
        worker.bornMs = unixMs();
        worker.listener = listenOn(worker.address);
    }
    world_.record("worker " + worker.id + " of " + worker.service + " starts at "
                  + worker.address);
    std::thread([this, &worker, listener = worker.listener] {
        acceptConnections(worker, listener);
    }).detach();
    std::thread([this, &worker] { sendHeartbeats(worker); }).detach();
}

void Fleet::stopHeartbeats(Worker &worker)
{
    const std::lock_guard lock(mutex);
    worker.sendsHeartbeats = false;
}

void Fleet::start()
{
    std::thread([this] {
        while (!world_.isOver) {
            {
                const std::lock_guard lock(mutex);
                advance();
            }
            sleepFor(Milliseconds(5));
        }
    }).detach();
}

void Fleet::advance()
{
    const TimePoint now = Clock::now();
    for (auto &[id, worker] : workers_) {
        if (!worker->loadingModel.empty() && now >= worker->loadedAt) {
            worker->stagedModel = std::exchange(worker->loadingModel, {});
            worker->isReportDue = true;
        }
        if (worker->membership && now >= worker->changesAt) {
            worker->changesAt = TimePoint::max();
            worker->membership->state = worker->nextState;
            worker->isReportDue = true;
        }
        const bool isClosed = worker->membership && worker->membership->state == "closing"
                              && worker->running == 0;
        if (isClosed) {
            worker->membership->state = "ready";
            worker->isReportDue = true;
        }
    }
}

std::string Fleet::heartbeatBody(Worker &worker, bool isNext)
{
    json::object body;
    body["service"] = worker.service;
    body["address"] = worker.address;
    body["zone"] = worker.zone;
    body["version"] = "v1";
    body["slots"] = worker.slots;
    body["state"] = worker.state;
    body["cold-remaining-ms"] = 0;
    body["born"] = worker.bornMs;
    body["sequence"] = isNext ? ++worker.sequence : worker.sequence;
    if (worker.isModelWorker) {
        body["stage"] = "hybrid";
        body["domain"] = "domain-1";
        json::array modelArray;
        if (!worker.lastModel.empty())
            modelArray.push_back(
                    {{"name", worker.lastModel}, {"version", 1}, {"adapters", json::array()}});
        body["models"] = modelArray;
        body["staged"] = worker.stagedModel.empty() ? json::array()
                                                    : json::array{worker.stagedModel};
        if (worker.membership)
            body["group"] = {{"name", worker.membership->group},
                             {"epoch", worker.membership->epoch},
                             {"rank", worker.membership->rank},
                             {"state", worker.membership->state}};
    }
    return json::serialize(body);
}

void Fleet::sendHeartbeats(Worker &worker)
{
    const std::vector<std::string> controls = world_.controlAddresses();
    std::size_t next = std::hash<std::string>()(worker.id) % controls.size();
    TimePoint nextAt = Clock::now();
    while (!world_.isOver) {
        std::string body;
        std::string address;
        {
            const std::lock_guard lock(mutex);
            if (!worker.isRunning || !worker.sendsHeartbeats)
                return;
            if (worker.isReportDue || Clock::now() >= nextAt) {
                worker.isReportDue = false;
                nextAt = Clock::now() + heartbeatInterval;
                body = heartbeatBody(worker, true);
                address = worker.heartbeatAddress;
            }
        }
        if (body.empty()) {
            sleepFor(Milliseconds(5));
            continue;
        }
        bool isAcknowledged = false;
        for (std::size_t tries = 0; tries < 4 && !isAcknowledged; ++tries) {
            if (address.empty())
                address = controls[next++ % controls.size()];
            const Message response =
                    call(address, "POST", "/trefoilrun/instances/" + worker.id + "/heartbeat",
                         body, Milliseconds(1000));
            isAcknowledged = response.status() == 200;
            if (isAcknowledged) {
                json::error_code error;
                const json::value root = json::parse(response.body, error);
                const std::string given = !error && root.is_object()
                                                  ? textOf(root.get_object(), "heartbeat-addr")
                                                  : std::string();
                const std::lock_guard lock(mutex);
                worker.heartbeatAddress = given.empty() ? address : given;
            } else {
                address.clear();
            }
        }
    }
}

std::string Fleet::depart(Worker &worker, const std::string &preferredAddress)
{
    std::string body;
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(mutex);
        body = json::serialize(json::object{{"born", worker.bornMs}});
    }
    if (!preferredAddress.empty())
        addresses.push_back(preferredAddress);
    for (const std::string &control : world_.controlAddresses())
        addresses.push_back(control);
    for (const std::string &address : addresses) {
        const Message response =
                call(address, "POST", "/trefoilrun/instances/" + worker.id + "/deregister", body,
                     Milliseconds(1000));
        if (response.status() == 200)
            return address;
    }
    return {};
}

void Fleet::acceptConnections(Worker &worker, int listener)
{
    while (!world_.isOver) {
        const int fd = acceptFrom(listener);
        if (fd < 0)
            return;
        std::thread([this, &worker, fd] { serveConnection(worker, fd); }).detach();
    }
}

void Fleet::serveConnection(Worker &worker, int fd)
{
    Connection connection(fd);
    while (!world_.isOver) {
        Message request;
        if (!connection.read(request, Clock::now() + std::chrono::seconds(15)))
            return;
        const std::string expected = request.field("X-Trefoilrun-Expect-Instance");
        if (!expected.empty() && expected != worker.id) {
            const std::string text = responseText(421, "Misdirected Request", request,
                                                  "X-Trefoilrun-Not-Executed: 1\r\n", "");
            if (!connection.write(text))
                return;
            continue;
        }
        if (request.path() == "/trefoilrun/order") {
            if (!connection.write(answerOrder(worker, request)))
                return;
            if (request.field("Connection") == "close")
                return;
            continue;
        }
        if (request.path() == "/health") {
            const std::string text =
                    responseText(200, "OK", request,
                                 "X-Trefoilrun-Instance-Id: " + worker.id + "\r\n", "");
            if (!connection.write(text))
                return;
            continue;
        }
        hasTraffic = true;
        std::size_t runIndex = 0;
        bool isRefused = false;
        {
            const std::lock_guard lock(mutex);
            const bool isServing = !worker.isModelWorker
                                   || (worker.membership && worker.membership->rank == 0
                                       && worker.membership->state == "open");
            isRefused = !isServing;
            if (isServing) {
                runIndex = runs_.size();
                runs_.push_back({request.field("X-Trefoilrun-Attempt-Id"), worker.id,
                                 request.path(), request.field("X-Trefoilrun-Tenant-Name"),
                                 world_.seconds()});
                ++worker.running;
            }
        }
        if (isRefused) {
            const std::string text = responseText(421, "Misdirected Request", request,
                                                  "X-Trefoilrun-Not-Executed: 1\r\n", "");
            if (!connection.write(text))
                return;
            continue;
        }
        bool staysOpen = false;
        if (worker.isModelWorker) {
            staysOpen = serveStream(worker, connection, request, runIndex);
        } else {
            sleepFor(plainWork);
            staysOpen = connection.write(
                    responseText(200, "OK", request, "X-Trefoilrun-Response-Seal: seal\r\n",
                                 "answer of " + worker.id));
            endRun(runIndex, staysOpen, false);
        }
        {
            const std::lock_guard lock(mutex);
            --worker.running;
        }
        if (!staysOpen)
            return;
    }
}

bool Fleet::isWhole(const Worker &head)
{
    for (const std::string &id : head.membership->members) {
        const Worker *member = find(id);
        const bool isIn = member && member->isRunning && member->membership
                          && member->membership->group == head.membership->group
                          && member->membership->epoch == head.membership->epoch;
        if (!isIn)
            return false;
    }
    return true;
}

// Writes the events after the one that the request names. While a member of the group is missing,
// nothing is written; after the stall time the group is broken and the stream is cut off.
bool Fleet::serveStream(Worker &worker, Connection &connection, const Message &request,
                        std::size_t runIndex)
{
    const std::string last = request.field("Last-Event-Id");
    int next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    const std::string group = worker.membership->group;
    bool isOpen = connection.write(
            "HTTP/1.1 200 OK\r\nX-Trefoilrun-Attempt-Id: "
            + request.field("X-Trefoilrun-Attempt-Id")
            + "\r\nX-Trefoilrun-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    TimePoint stalledSince = TimePoint::max();
    while (isOpen && next <= eventCount) {
        sleepFor(eventGap);
        if (connection.isPeerGone()) {
            endRun(runIndex, false, false);
            return false;
        }
        {
            const std::lock_guard lock(mutex);
            const bool isInGroup = worker.membership && worker.membership->group == group
                                   && (worker.membership->state == "open"
                                       || worker.membership->state == "closing");
            const bool isStalled = isInGroup && !isWhole(worker);
            if (isStalled && stalledSince == TimePoint::max())
                stalledSince = Clock::now();
            const bool isBroken = isStalled && Clock::now() - stalledSince >= StallTime;
            if (isBroken) {
                worker.membership->state = "broken";
                worker.isReportDue = true;
            }
            if (!isInGroup || isBroken) {
                runs_[runIndex].wasBrokenOff = true;
                runs_[runIndex].endedAt = world_.seconds();
                return false;
            }
            if (isStalled)
                continue;
            stalledSince = TimePoint::max();
        }
        const std::string event =
                "id: " + std::to_string(next) + "\ndata: word " + std::to_string(next) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        isOpen = connection.write(size + event + "\r\n");
        ++next;
    }
    isOpen = isOpen && connection.write("0\r\n\r\n");
    endRun(runIndex, isOpen, false);
    return isOpen;
}

void Fleet::endRun(std::size_t index, bool wasCompleted, bool wasBrokenOff)
{
    const std::lock_guard lock(mutex);
    runs_[index].endedAt = world_.seconds();
    runs_[index].wasCompleted = wasCompleted;
    runs_[index].wasBrokenOff = wasBrokenOff;
}

int Fleet::join(Worker &worker, const std::string &group, std::uint64_t epoch,
                const std::string &modelName, std::vector<std::string> members)
{
    const auto own = std::find(members.begin(), members.end(), worker.id);
    const auto model = std::find_if(models.begin(), models.end(), [&](const Model &known) {
        return known.name == modelName;
    });
    if (own == members.end() || model == models.end())
        return 400;
    if (epoch < worker.highestEpoch)
        return 412;
    if (worker.membership && worker.membership->group == group
        && worker.membership->epoch == epoch)
        return worker.membership->members == members ? 200 : 412;
    Membership next{group, epoch, static_cast<std::size_t>(own - members.begin()), "joining",
                    std::move(members)};
    if (onJoin)
        onJoin(worker, next);
    worker.highestEpoch = epoch;
    worker.membership = next;
    worker.nextState = "ready";
    if (worker.lastModel == modelName) {
        worker.changesAt = Clock::now() + RejoinTime;
    } else if (worker.stagedModel == modelName) {
        worker.changesAt = after(model->warmSeconds);
    } else {
        if (worker.loadingModel != modelName) {
            worker.stagedModel.clear();
            worker.loadingModel = modelName;
            worker.loadedAt = after(hasTraffic ? model->loadSeconds : model->loadSeconds / 10);
        }
        worker.changesAt = worker.loadedAt;
    }
    worker.lastModel = modelName;
    return 202;
}

std::string Fleet::answerOrder(Worker &worker, const Message &request)
{
    json::error_code error;
    const json::value root = json::parse(request.body, error);
    if (error || !root.is_object())
        return responseText(400, "Bad Request", request, "", "");
    const json::object &order = root.get_object();
    const std::string operation = textOf(order, "operation");
    const std::string group = textOf(order, "group");
    const std::uint64_t epoch = numberOf(order, "epoch");
    const std::uint64_t token = numberOf(order, "fencing-token");
    int status = 409;
    {
        const std::lock_guard lock(mutex);
        if (!worker.isModelWorker)
            return responseText(400, "Bad Request", request, "", "");
        if (token < worker.highestToken) {
            status = 412;
        } else {
            worker.highestToken = token;
            const bool isInGroup = worker.membership && worker.membership->group == group
                                   && worker.membership->epoch == epoch;
            if (operation == "join") {
                std::vector<std::string> members;
                if (const json::value *list = order.if_contains("members")) {
                    for (const json::value &member : list->as_array())
                        members.emplace_back(member.as_string());
                }
                status = join(worker, group, epoch, textOf(order, "model"), members);
            } else if (operation == "stage") {
                const std::string modelName = textOf(order, "model");
                status = worker.stagedModel == modelName ? 200 : 202;
                if (status == 202 && worker.loadingModel != modelName) {
                    const auto model = std::find_if(
                            models.begin(), models.end(),
                            [&](const Model &known) { return known.name == modelName; });
                    worker.stagedModel.clear();
                    worker.loadingModel = modelName;
                    worker.loadedAt =
                            after(hasTraffic ? model->loadSeconds : model->loadSeconds / 10);
                }
            } else if (!isInGroup) {
                status = 409;
            } else if (operation == "open") {
                const std::string &state = worker.membership->state;
                status = state == "open" ? 200 : state == "ready" ? 202 : 409;
                if (status == 202) {
                    worker.changesAt = Clock::now() + FormTime;
                    worker.nextState = "open";
                }
            } else if (operation == "close") {
                const std::string &state = worker.membership->state;
                status = state == "ready" ? 200 : 202;
                worker.changesAt = TimePoint::max();
                worker.membership->state =
                        textOf(order, "mode") == "cutover" || state == "ready" ? "ready"
                                                                               : "closing";
            } else if (operation == "leave") {
                worker.membership.reset();
                worker.changesAt = TimePoint::max();
                status = 200;
            } else {
                status = 400;
            }
            if (status == 200 || status == 202) {
                worker.isReportDue = true;
                ++worker.ordersAccepted;
            }
        }
    }
    world_.record("order " + operation + " " + group + " to " + worker.id + ": "
                  + std::to_string(status));
    return responseText(status, "Order", request, "", "");
}

std::optional<Membership> Fleet::membershipOf(const std::string &id)
{
    const std::lock_guard lock(mutex);
    const Worker *worker = find(id);
    return worker ? worker->membership : std::nullopt;
}

std::vector<std::string> Fleet::workerIds()
{
    const std::lock_guard lock(mutex);
    std::vector<std::string> ids;
    for (const auto &[id, worker] : workers_)
        ids.push_back(id);
    return ids;
}

Worker *Fleet::find(const std::string &id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

std::vector<Run> Fleet::runs()
{
    const std::lock_guard lock(mutex);
    return runs_;
}

std::vector<Run> Fleet::runsOf(const std::string &request)
{
    std::vector<Run> found;
    for (const Run &run : runs()) {
        if (run.request == request)
            found.push_back(run);
    }
    return found;
}

} // namespace Review
