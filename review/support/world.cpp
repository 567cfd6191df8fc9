#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

// Returns "127.A.B" with random numbers, so that cases can run beside each other.
std::string drawNetwork()
{
    std::random_device device;
    return "127." + std::to_string(30 + device() % 200) + "." + std::to_string(device() % 60 * 4);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

} // namespace

World::World(std::string program, const std::string &recordPath)
    : program_(std::move(program))
    , network_(drawNetwork())
{
    const char *trouble = std::getenv("TROUBLE");
    hasTrouble_ = !trouble || std::string(trouble) != "0";
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot make a temporary folder");
    folder_ = pattern;
    record_ = std::fopen(recordPath.c_str(), "w");
    if (!record_)
        throw std::runtime_error("cannot write " + recordPath);
    std::signal(SIGPIPE, SIG_IGN);
    record(hasTrouble_ ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

void World::finish()
{
    isOver = true;
    for (Node &node : nodes_) {
        if (node.pid <= 0)
            continue;
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS"))
        std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    else
        std::filesystem::remove_all(folder_);
}

void World::startNodes(int controls, int entries)
{
    // The third number of an address tells the roles apart: controls, entries, workers.
    const std::size_t dot = network_.rfind('.');
    const int base = std::atoi(network_.c_str() + dot + 1);
    const std::string prefix = network_.substr(0, dot + 1);
    for (int i = 1; i <= controls; ++i)
        nodes_.push_back({"control-" + std::to_string(i), "control",
                          prefix + std::to_string(base) + "." + std::to_string(i)});
    for (int i = 1; i <= entries; ++i)
        nodes_.push_back({"entry-" + std::to_string(i), "entry",
                          prefix + std::to_string(base + 1) + "." + std::to_string(i)});
    for (Node &node : nodes_)
        start(node);
    isFirstStart_ = false;
}

std::string World::workerAddress(int number) const
{
    const std::size_t dot = network_.rfind('.');
    const int base = std::atoi(network_.c_str() + dot + 1);
    return network_.substr(0, dot + 1) + std::to_string(base + 2) + "." + std::to_string(number)
           + ":8000";
}

Node &World::node(const std::string &name)
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                    [&name](const Node &node) { return node.name == name; });
    if (found == nodes_.end())
        throw std::runtime_error("no node " + name);
    return *found;
}

std::vector<std::string> World::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const Node &node : nodes_) {
        if (node.role == "control")
            addresses.push_back(controlAddress(node));
    }
    return addresses;
}

// Writes the settings as platform/settings.yaml has them, with the values of the users' smaller
// deployments, and starts the program with the command of deploy/system.toml.
void World::start(Node &node)
{
    const std::string folder = folder_ + "/" + node.name;
    std::filesystem::create_directories(folder);
    {
        std::ofstream file(folder + "/settings.yaml");
        file << "node:\n  name: " << quoted(node.name) << "\n  region: \"addis\"\n  domain: "
             << quoted("zone-" + node.name.substr(node.name.size() - 1))
             << "\n  address: " << quoted(node.address) << "\n  internal_port: 7000\n  seeds: [";
        for (const std::string &seed : controlAddresses())
            file << quoted(seed) << ",";
        file << "]\n  first_start: " << (isFirstStart_ ? "true" : "false")
             << "\n  dialect: platform\nlisten:\n  metrics: " << quoted(node.address + ":9180")
             << "\n";
        if (node.role == "control")
            file << "  control: " << quoted(controlAddress(node))
                 << "\n  entry_list: " << quoted(directoryAddress(node))
                 << "\ndata: " << quoted(folder + "/data") << "\n";
        else
            file << "  callers: " << quoted(callerAddress(node))
                 << "\n  readiness: " << quoted(node.address + ":7002") << "\n";
        file << "limits:\n  connections: 4100\n  tolerated_losses: 1\n  heartbeat: 1200ms\n"
             << "  stop_bound: 8s\n  entry_list_lifetime: 2s\n  retry_ratio: 0.2\n"
             << "  retry_window: 10s\n  retry_allowance: 130\n";
    }
    const std::string settings = folder + "/settings.yaml";
    const std::string log = folder + "/log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        const int in = ::open("/dev/null", O_RDONLY);
        ::dup2(in, 0);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(program_.c_str(), program_.c_str(), "--gateway", node.role.c_str(), "--settings",
                settings.c_str(), nullptr);
        ::_exit(127);
    }
    node.pid = pid;
    record("start " + node.name);
}

void World::signalNode(Node &node, int signal)
{
    record("signal " + std::to_string(signal) + " to " + node.name);
    ::kill(node.pid, signal);
}

std::string World::publish(const std::string &configuration, Milliseconds timeout)
{
    const std::vector<std::string> controls = controlAddresses();
    std::size_t next = 0;
    std::string address;
    const bool isAcknowledged = waitUntil(timeout, [&] {
        address = controls[next++ % controls.size()];
        for (int redirects = 0; redirects <= 2; ++redirects) {
            const Message response =
                    call(address, "POST", "/trefoilrun/configuration/replace", configuration,
                         Milliseconds(1000));
            if (response.status() == 200)
                return true;
            if (response.status() != 307)
                return false;
            const std::string location = response.field("Location").substr(7);
            address = location.substr(0, location.find('/'));
        }
        return false;
    });
    return isAcknowledged ? address : std::string();
}

bool World::isReady(const Node &node) const
{
    return call(node.address + ":7002", "GET", "/trefoilrun/readiness", "", Milliseconds(500))
                   .status()
           == 200;
}

double World::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - startedAt_).count();
}

void World::record(const std::string &line)
{
    const std::lock_guard lock(recordMutex_);
    std::fprintf(record_, "%8.3f %s\n", seconds(), line.c_str());
    std::fflush(record_);
}

void World::breakRule(const std::string &line)
{
    ++violations_;
    record("RULE BROKEN: " + line);
}

bool waitUntil(Milliseconds timeout, const std::function<bool()> &condition)
{
    const TimePoint deadline = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        sleepFor(Milliseconds(50));
    }
    return true;
}

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

int runCase(int argc, char *argv[], const std::function<bool(World &)> &run)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
        return 2;
    }
    int code = 2;
    try {
        World &world = *new World(argv[1], argv[2]);
        const bool isPlayed = run(world);
        if (world.violations() > 0)
            code = 1;
        else if (isPlayed)
            code = 0;
        world.record(code == 1   ? "result: the rule was broken"
                     : code == 0 ? "result: the rule held"
                                 : "result: the case could not be played");
        world.finish();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        code = 2;
    }
    std::fflush(nullptr);
    std::_Exit(code); // Threads of stand-ins may still wait for connections.
}

} // namespace Review
