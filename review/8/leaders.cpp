// Case 8: two changes of the leader, and between them a worker that starts again under its id and whose reports
// are late. The second new leader joins the worker elsewhere while the head of its group is open.

#include "operator.h"

#include <sys/prctl.h>
#include <sys/wait.h>

using namespace Review;

namespace {

constexpr long DownMs = 400;
constexpr long ReportDelayMs = 3500; // "a liveness report may arrive seconds late"
constexpr long OrderMs = 5; // that a head needs to carry out an order

struct Control
{
    std::string address; // IP
    std::string settings;
    pid_t pid = -1;
};

std::string program;
std::vector<Control> controls;
std::atomic<int> leader{-1};

// The process that says in its metrics that it leads.
int findLeader()
{
    for (std::size_t i = 0; i < controls.size(); ++i) {
        const auto answer = call(controls[i].address + ":9180", "GET", "/metrics", "", 300);
        if (answer && answer->body.find("trefoil_is_leader 1") != std::string::npos)
            return static_cast<int>(i);
    }
    return -1;
}

void killControl(int index, const char *why)
{
    record.line("platform: kills control process %d (%s)", index + 1, why);
    ::kill(controls[static_cast<std::size_t>(index)].pid, SIGKILL);
}

// Starts a control process again, as the platform does, with its disk.
void restartControl(int index)
{
    Control &control = controls[static_cast<std::size_t>(index)];
    const std::string edit = "sed -i 's/first_start: true/first_start: false/' " + control.settings;
    if (std::system(edit.c_str()) != 0)
        cannotRun("the settings could not be written");
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::freopen((control.settings + ".log").c_str(), "a", stdout);
        ::execl(program.c_str(), program.c_str(), "--gateway", "control", "--settings", control.settings.c_str(),
                static_cast<char *>(nullptr));
        std::_Exit(127);
    }
    control.pid = child;
    record.line("platform: starts control process %d again", index + 1);
}

// What has happened to the group of the case.
enum class Stage { Forms, FirstLeaderEnds, OpenAgain, SecondLeaderEnds };
std::atomic<Stage> stage{Stage::Forms};
std::mutex caseMutex;
std::string groupName;
std::string headId;
std::string memberId;
std::string firstReport;
bool hasFirstReport = false;

std::optional<int> handleOrder(Engines &all, Engine &engine, const json::object &order)
{
    const std::string operation(order.at("operation").as_string());
    const json::value *group = order.if_contains("group");
    if (!hasTrouble() || !group)
        return std::nullopt;
    const std::string name(group->as_string());
    std::unique_lock lock(caseMutex);
    if (operation == "open" && stage == Stage::Forms) {
        if (groupName.empty()) { // another group opens first
            groupName = "-" + name;
            return std::nullopt;
        }
        if (groupName == "-" + name)
            return std::nullopt;
        groupName = name;
        headId = engine.id;
        {
            const std::lock_guard engines(all.mutex);
            memberId = engine.membership->members.back();
        }
        stage = Stage::FirstLeaderEnds;
        return 0; // its leader ends at this moment
    }
    if (name != groupName || engine.id != headId)
        return std::nullopt;
    if (operation == "open" && stage == Stage::FirstLeaderEnds) {
        lock.unlock();
        const int status = executeOrder(all, engine, order);
        record.line("worker %s: carries out the open order (%d), its answer is lost", engine.id.c_str(), status);
        stage = Stage::OpenAgain;
        return 0;
    }
    if (operation == "close" || operation == "leave") {
        lock.unlock();
        sleepMs(OrderMs);
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 6)
        return 2;
    const std::string net = argv[1];
    const std::string entry = argv[2];
    program = argv[3];
    std::vector<std::string> addresses;
    for (int i = 4; i + 1 < argc; i += 2) {
        Control control;
        control.settings = argv[i];
        control.pid = static_cast<pid_t>(std::atoi(argv[i + 1]));
        control.address = net + "." + std::to_string(controls.size() + 1);
        addresses.push_back(control.address + ":8229");
        controls.push_back(control);
    }
    record.open(std::getenv("RECORD"));
    static Engines engines;
    engines.options.service = "kitchen-llm";
    engines.options.controls = addresses;
    engines.handleOrder = [](Engine &engine, const json::object &order) {
        return handleOrder(engines, engine, order);
    };
    engines.sendsReport = [](Engine &, const std::string &id, const std::string &text) {
        const std::lock_guard lock(caseMutex);
        if (!hasTrouble() || stage == Stage::Forms || id != memberId)
            return false;
        if (!hasFirstReport) {
            hasFirstReport = true;
            firstReport = text;
            return true;
        }
        std::thread([id, text] {
            sleepMs(ReportDelayMs);
            for (const Control &control : controls) {
                const auto answer =
                        call(control.address + ":8229", "POST", "/trefoilrun/instances/" + id + "/heartbeat", text);
                if (answer && answer->status() == 200)
                    break;
            }
        }).detach();
        return true;
    };
    engines.run = [](Engine &engine, Connection &connection, const Message &request) {
        record.line("worker %s: runs %s", engine.id.c_str(), request.field("X-Trefoilrun-Attempt-Id").c_str());
        sleepMs(engine.all.options.firstEventMs);
        bool isOpen = connection.write(streamHead(request));
        for (int event = 1; isOpen && event <= 12; ++event) {
            sleepMs(engine.all.options.eventMs);
            isOpen = writeEvent(connection, event);
        }
        return isOpen && connection.write("0\r\n\r\n");
    };
    for (int i = 0; i < 4; ++i)
        addEngine(engines, "i-7f3a91c" + std::to_string(i), net + "." + std::to_string(21 + i) + ":8080", "bole",
                  "rack-1");
    startEngines(engines);
    publish(addresses,
            configuration(1, streamRoute(6000, 300) + "," + bookingRoute(),
                          engineService(26) + "," + plainService()),
            "version 1");

    std::atomic<bool> isOver{false};
    std::thread consumer([&] {
        for (int i = 0; !isOver; ++i) {
            const auto connection = connectTo(entry);
            const std::string id = "stream-" + std::to_string(i);
            if (connection)
                recordStream(id, readStream(*connection, streamRequest(id, 6000, 674, 60), 7000));
            sleepMs(50);
        }
    });
    if (!hasTrouble()) {
        waitForGroups(engines, 2);
        sleepMs(8000);
    } else {
        int first = -1;
        while (stage == Stage::Forms && nowMs() < 30000) {
            first = findLeader();
            sleepMs(2);
        }
        if (stage == Stage::Forms || first < 0)
            cannotRun("no group was to open");
        killControl(first, "it leads, and has just ordered the group to open");
        {
            const std::lock_guard lock(engines.mutex);
            record.line("group %s: head %s, member %s", groupName.c_str(), headId.c_str(), memberId.c_str());
        }
        crash(*engines.byId.at(memberId), DownMs, true);
        sleepMs(800);
        restartControl(first);
        while (stage == Stage::FirstLeaderEnds && nowMs() < 40000)
            sleepMs(2);
        if (stage != Stage::OpenAgain)
            cannotRun("the next leader did not open the group");
        const int second = findLeader();
        {
            const std::lock_guard lock(caseMutex);
            if (!hasFirstReport)
                cannotRun("the worker has not reported");
        }
        const auto answer = call(addresses[static_cast<std::size_t>(second)], "POST",
                                 "/trefoilrun/instances/" + memberId + "/heartbeat", firstReport);
        record.line("worker %s: the first report of its new life arrives -> %d", memberId.c_str(),
                    answer ? answer->status() : 0);
        sleepMs(450);
        stage = Stage::SecondLeaderEnds;
        killControl(second, "it leads");
        sleepMs(1000);
        restartControl(second);
        sleepMs(5000);
    }
    isOver = true;
    engines.isOver = true;
    consumer.join();
    for (const Control &control : controls)
        ::kill(control.pid, SIGKILL);
    while (::waitpid(-1, nullptr, WNOHANG) > 0) {
    }
    const std::lock_guard lock(engines.mutex);
    record.line("joins of another group while the head may serve: %zu", engines.brokenJoins.size());
    record.line(engines.brokenJoins.empty() ? "TWO held" : "TWO was broken");
    std::_Exit(engines.brokenJoins.empty() ? 0 : 1);
}
