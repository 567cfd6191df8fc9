#include "soakworld.h"

#include "libruntime/clock.h"

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace Trefoil {

namespace asio = boost::asio;
namespace process = boost::process;

namespace {

constexpr auto StopBound = std::chrono::seconds(8);
constexpr auto StopSlack = std::chrono::seconds(4); // of a busy machine
constexpr auto PollInterval = std::chrono::milliseconds(50);

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// A process ends with the soak, also when that is killed.
void endWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void writeSettings(const SoakWorld &world, const SoakNode &node)
{
    std::filesystem::create_directories(node.folder);
    std::ofstream file(node.folder + "/settings.yaml");
    file << "node:\n  name: " << node.name << "\n  region: soak\n  domain: " << node.domain
         << "\n  address: " << node.address << "\n  internal_port: " << InternalPort
         << "\n  first_start: " << (node.isFirstStart ? "true" : "false")
         << "\n  dialect: platform\n  seeds:\n";
    for (const SoakNode &seed : world.nodes) {
        if (seed.role == "control")
            file << "    - " << quoted(addressOf(seed, ControlPort)) << "\n";
    }
    file << "listen:\n  metrics: " << quoted(addressOf(node, MetricsPort)) << "\n";
    if (node.role == "control")
        file << "  control: " << quoted(addressOf(node, ControlPort))
             << "\n  entry_list: " << quoted(addressOf(node, EntryListPort))
             << "\ndata: " << quoted(node.folder + "/data") << "\n";
    else
        file << "  callers: " << quoted(addressOf(node, CallerPort))
             << "\n  readiness: " << quoted(addressOf(node, ReadinessPort)) << "\n";
    file << "limits:\n  connections: 1000\n  tolerated_losses: 1\n  heartbeat: 1s\n"
         << "  stop_bound: " << StopBound.count() << "s\n"
         << "  entry_list_lifetime: 2s\n  retry_ratio: 0.2\n  retry_window: 10s\n"
         << "  retry_allowance: 100\n";
}

} // namespace

void startNode(SoakWorld &world, SoakNode &node)
{
    writeSettings(world, node);
    std::FILE *log = std::fopen((node.folder + "/log").c_str(), "a");
    node.process = std::make_unique<process::child>(
            world.options.daemon,
            process::args({"--gateway", node.role, "--settings", node.folder + "/settings.yaml"}),
            process::std_out > log, process::std_err > log, process::std_in < process::null,
            process::limit_handles,
            process::extend::on_exec_setup([](auto & /*executor*/) { endWithParent(); }));
    std::fclose(log);
    node.isFirstStart = false;
    node.isMeantToRun = true;
    node.isPaused = false;
    node.disturbedAt = RuntimeClock::now();
}

void signalNode(SoakNode &node, int signal)
{
    node.disturbedAt = RuntimeClock::now();
    if (node.process && node.process->running())
        ::kill(node.process->id(), signal);
}

void checkProcesses(SoakWorld &world)
{
    for (SoakNode &node : world.nodes) {
        if (!node.isMeantToRun || node.process->running())
            continue;
        node.isMeantToRun = false;
        noteBroken(world, node.name + " ended by itself with status "
                                  + std::to_string(node.process->native_exit_code()));
    }
}

asio::awaitable<void> stopNodes(SoakWorld &world)
{
    for (SoakNode &node : world.nodes) {
        node.isMeantToRun = false;
        signalNode(node, SIGTERM);
    }
    const TimePoint until = RuntimeClock::now() + StopBound + StopSlack;
    for (SoakNode &node : world.nodes) {
        while (node.process && node.process->running() && RuntimeClock::now() < until)
            co_await sleepFor(PollInterval);
        if (node.process->running()) {
            noteBroken(world, node.name + " did not stop within its bound");
            node.process->terminate();
        } else if (node.process->native_exit_code() != 0) {
            noteBroken(world, node.name + " stopped with status "
                                      + std::to_string(node.process->native_exit_code()));
        }
    }
}

} // namespace Trefoil
