// Case 10: a worker of a plain service starts again under its id, and the first liveness report of its new life
// arrives late. Before that the worker says that it leaves, which is acknowledged. Counts the requests that still
// reach it later than drain-timeout-ms after the acknowledgement.

#include "operator.h"

using namespace Review;

namespace {

constexpr long DrainTimeoutMs = 2000;
constexpr long ReportDelayMs = 2500; // "a liveness report may arrive seconds late"
constexpr long LeavesAfterMs = 600;
constexpr int Consumers = 40;
constexpr long WorkMs = 60;
constexpr long PauseMs = 200;
constexpr long ServesMs = 6000; // "and a little longer (at times many seconds)"

struct PlainWorker
{
    PlainWorker(std::string ownId, std::string ownAddress)
        : id(std::move(ownId))
        , address(std::move(ownAddress))
    {}

    std::string id;
    std::string address;
    std::string zone = "bole";
    std::atomic<int> served{0};
    std::uint64_t born = unixMs();
    std::uint64_t sequence = 0;
    std::atomic<bool> isUp{true};
    std::mutex mutex;
    std::set<int> descriptors;
};

std::atomic<bool> isOver{false};
std::atomic<long> acknowledgedAt{-1};
std::vector<std::string> controls;
std::mutex lateMutex;
std::vector<std::string> lateRequests;
std::map<std::string, long> sentAt; // by request

std::string reportText(PlainWorker &worker)
{
    json::object object;
    object["service"] = "tray-api";
    object["address"] = worker.address;
    object["zone"] = worker.zone;
    object["version"] = "v1";
    object["slots"] = 6;
    object["state"] = "ready";
    object["cold-remaining-ms"] = 0;
    object["sequence"] = ++worker.sequence;
    object["born"] = worker.born;
    return json::serialize(object);
}

void sendReport(const std::string &id, const std::string &text, std::size_t first)
{
    for (std::size_t i = 0; i < controls.size(); ++i) {
        const auto answer = call(controls[(first + i) % controls.size()], "POST",
                                 "/trefoilrun/instances/" + id + "/heartbeat", text);
        if (answer && answer->status() == 200)
            return;
    }
}

void serve(PlainWorker &worker, int fd)
{
    Connection connection(fd);
    while (!isOver && worker.isUp) {
        Message request;
        if (!readHead(connection, request, 15000) || !readBody(connection, request, 1000))
            break;
        const std::string id = request.field("X-Trefoilrun-Attempt-Id");
        if (request.field("X-Trefoilrun-Expect-Instance") != worker.id) {
            connection.write(answerText(421, request, "X-Trefoilrun-Not-Executed: 1\r\n"));
            continue;
        }
        {
            const std::lock_guard lock(lateMutex);
            const long acknowledged = acknowledgedAt;
            if (worker.id == "i-02d9e6b4" && acknowledged >= 0 && nowMs() > acknowledged + DrainTimeoutMs) {
                lateRequests.push_back(id);
                record.line("worker %s: gets %s, sent at %.3f, %ld ms after its departure was acknowledged",
                            worker.id.c_str(), id.c_str(), static_cast<double>(sentAt[id]) / 1000,
                            nowMs() - acknowledged);
            }
        }
        ++worker.served;
        record.line("worker %s: runs %s", worker.id.c_str(), id.c_str());
        sleepMs(WorkMs);
        if (!connection.write(answerText(200, request, "X-Trefoilrun-Response-Seal: 3e1b.07\r\n", "found")))
            break;
    }
    const std::lock_guard lock(worker.mutex);
    worker.descriptors.erase(fd);
    connection.close();
}

// Listens while the worker is up.
void runWorker(PlainWorker &worker)
{
    int listener = -1;
    while (!isOver) {
        if (worker.isUp && listener < 0)
            listener = listenOn(worker.address);
        if (!worker.isUp && listener >= 0) {
            ::close(listener);
            listener = -1;
        }
        pollfd item{listener, POLLIN, 0};
        if (poll(&item, listener < 0 ? 0 : 1, 5) <= 0)
            continue;
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(worker.mutex);
        worker.descriptors.insert(fd);
        std::thread(serve, std::ref(worker), fd).detach();
    }
}

void end(PlainWorker &worker)
{
    worker.isUp = false;
    const std::lock_guard lock(worker.mutex);
    for (const int fd : worker.descriptors)
        ::shutdown(fd, SHUT_RDWR);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    const std::string net = argv[1];
    const std::string entry = argv[2];
    controls.assign(argv + 3, argv + argc);
    record.open(std::getenv("RECORD"));

    static PlainWorker stays("i-7f3a91c2", net + ".21:8080");
    static PlainWorker leaves("i-02d9e6b4", net + ".22:8080");
    std::atomic<bool> leaverReports{true};
    for (PlainWorker *worker : {&stays, &leaves})
        std::thread(runWorker, std::ref(*worker)).detach();
    std::thread([&] {
        for (std::size_t round = 0; !isOver; ++round) {
            sendReport(stays.id, reportText(stays), round);
            if (leaverReports)
                sendReport(leaves.id, reportText(leaves), round + 1);
            sleepMs(1200);
        }
    }).detach();
    const std::string route =
            R"({"name":"tray-lookup","host":"ficu95.example","path-prefix":"/cufi504/","kind":"idempotent",)"
            R"("timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"tray-api","attempts":2,)"
            R"("public":false})";
    publish(controls, configuration(1, route, plainService()), "version 1");
    sleepMs(4500); // longer than the connectivity window, without a disruption

    // Look-ups of more consumers than one worker has slots, each on a kept connection.
    std::map<int, int> statuses;
    std::vector<std::thread> consumers;
    for (int number = 0; number < Consumers; ++number) {
        consumers.emplace_back([&, number] {
            std::unique_ptr<Connection> connection;
            for (int i = 0; !isOver; ++i) {
                if (!connection)
                    connection = connectTo(entry);
                const std::string id = "lookup-" + std::to_string(number) + "-" + std::to_string(i);
                {
                    const std::lock_guard lock(lateMutex);
                    sentAt[id] = nowMs();
                }
                Message answer;
                const bool isAnswered =
                        connection
                        && connection->write(
                                "GET /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Trefoilrun-Attempt-Id: " + id
                                + "\r\nX-Trefoilrun-Request-Deadline: 1500\r\nAuthorization: Bearer " + TenantKey
                                + "\r\n\r\n")
                        && readHead(*connection, answer, 2000) && readBody(*connection, answer, 2000);
                {
                    const std::lock_guard lock(lateMutex);
                    ++statuses[isAnswered ? answer.status() : 0];
                    record.line("consumer: %s, sent at %.3f -> status %d", id.c_str(),
                                static_cast<double>(sentAt[id]) / 1000, isAnswered ? answer.status() : 0);
                }
                if (!isAnswered)
                    connection.reset();
                sleepMs(PauseMs);
            }
        });
    }
    sleepMs(3000);

    leaverReports = false;
    record.line("served so far: %d by %s, %d by %s", stays.served.load(), stays.id.c_str(), leaves.served.load(),
                leaves.id.c_str());
    record.line("worker %s: crashes and starts again under its id", leaves.id.c_str());
    end(leaves);
    sleepMs(200);
    leaves.born = unixMs();
    leaves.sequence = 0;
    leaves.isUp = true;
    const long startedAt = nowMs();
    const std::string firstReport = reportText(leaves);
    const long delay = hasTrouble() ? ReportDelayMs : 0;
    std::thread late([&, delay] {
        sleepMs(delay);
        sendReport(leaves.id, firstReport, 0);
        record.line("worker %s: the first report of its new life has arrived, %ld ms late", leaves.id.c_str(), delay);
    });
    sleepMs(LeavesAfterMs);
    for (std::size_t i = 0; acknowledgedAt < 0 && i < 6; ++i) {
        const auto answer = call(controls[(i + 1) % controls.size()], "POST",
                                 "/trefoilrun/instances/" + leaves.id + "/deregister", "");
        if (answer && answer->status() == 200)
            acknowledgedAt = nowMs();
    }
    if (acknowledgedAt < 0)
        cannotRun("the departure was not acknowledged");
    record.line("worker %s: its departure is acknowledged, %ld ms after its start", leaves.id.c_str(),
                acknowledgedAt - startedAt);
    late.join();
    while (nowMs() < acknowledgedAt + ServesMs)
        sleepMs(20);
    isOver = true;
    for (std::thread &consumer : consumers)
        consumer.join();
    end(leaves);
    record.line("worker %s: exits", leaves.id.c_str());
    record.line("served: %d by %s, %d by %s", stays.served.load(), stays.id.c_str(), leaves.served.load(),
                leaves.id.c_str());
    for (const auto &[status, count] : statuses)
        record.line("consumer: %d answers with status %d", count, status);
    const std::lock_guard lock(lateMutex);
    const auto isNew = [](const std::string &id) { return sentAt[id] > acknowledgedAt + DrainTimeoutMs - 1000; };
    const auto count = std::count_if(lateRequests.begin(), lateRequests.end(), isNew);
    record.line("requests that reached it later than %ld ms after the acknowledgement: %ld", DrainTimeoutMs,
                static_cast<long>(count));
    record.line(count > 0 ? "DRAIN was broken" : "DRAIN held");
    std::_Exit(count > 0 ? 1 : 0);
}
