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

constexpr auto StopTimeout = std::chrono::seconds(8);

// Delay of a stop that a busy machine can cause.
constexpr auto StopTolerance = std::chrono::seconds(4);
constexpr auto PollInterval = std::chrono::milliseconds(50);

// Planned work counts as such when no fault was this short before it.
constexpr auto CalmTime = std::chrono::seconds(3);

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// Makes the kernel kill this process when the soak test ends, even if that is killed.
void killWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void writeSettings(const SoakState &soak, const SoakNode &node)
{
    std::filesystem::create_directories(node.folder);
    std::ofstream file(node.folder + "/settings.yaml");
    file << "node:\n  name: " << node.name << "\n  region: soak\n  domain: " << node.domain
         << "\n  address: " << node.address << "\n  internal_port: " << InternalPort
         << "\n  first_start: " << (node.isFirstStart ? "true" : "false")
         << "\n  dialect: platform\n  seeds:\n";
    for (const SoakNode &seed : soak.nodes) {
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
    file << "limits:\n  connections: 1000\n  memory: " << MemoryMb
         << "\n  tolerated_losses: 1\n  heartbeat: 1s\n"
         << "  stop_bound: " << StopTimeout.count() << "s\n"
         << "  entry_list_lifetime: 2s\n  retry_ratio: " << RetryRatio
         << "\n  retry_window: " << std::chrono::seconds(RetryWindow).count()
         << "s\n  retry_allowance: " << RetryAllowance << "\n";
}

} // namespace

void startNode(SoakState &soak, SoakNode &node)
{
    writeSettings(soak, node);
    std::FILE *log = std::fopen((node.folder + "/log").c_str(), "a");
    node.process = std::make_unique<process::child>(
            soak.options.daemon,
            process::args({"--gateway", node.role, "--settings", node.folder + "/settings.yaml"}),
            process::std_out > log, process::std_err > log, process::std_in < process::null,
            process::limit_handles,
            process::extend::on_exec_setup([](auto & /*executor*/) { killWithParent(); }));
    std::fclose(log);
    node.isFirstStart = false;
    node.shouldRun = true;
    node.isPaused = false;
    node.lastFaultAt = RuntimeClock::now();
}

void signalNode(SoakNode &node, int signal)
{
    const bool isPlanned = signal == SIGTERM || signal == SIGHUP;
    const bool wasUndisturbed = RuntimeClock::now() - node.lastFaultAt > CalmTime;
    node.lastFaultAt = RuntimeClock::now();
    if (isPlanned && wasUndisturbed && !node.isPaused)
        node.plannedWorkAt = node.lastFaultAt;
    if (node.process && node.process->running())
        ::kill(node.process->id(), signal);
}

void reportUnexpectedExits(SoakState &soak)
{
    for (SoakNode &node : soak.nodes) {
        if (!node.shouldRun || node.process->running())
            continue;
        node.shouldRun = false;
        reportViolation(soak, node.name + " exited unexpectedly with status "
                                      + std::to_string(node.process->native_exit_code()));
    }
}

asio::awaitable<void> stopNodes(SoakState &soak)
{
    for (SoakNode &node : soak.nodes) {
        node.shouldRun = false;
        signalNode(node, SIGTERM);
    }
    const TimePoint until = RuntimeClock::now() + StopTimeout + StopTolerance;
    for (SoakNode &node : soak.nodes) {
        while (node.process && node.process->running() && RuntimeClock::now() < until)
            co_await sleepFor(PollInterval);
        if (node.process->running()) {
            reportViolation(soak, node.name + " did not stop within its time limit");
            node.process->terminate();
        } else if (node.process->native_exit_code() != 0) {
            reportViolation(soak, node.name + " stopped with status "
                                          + std::to_string(node.process->native_exit_code()));
        }
    }
}

} // namespace Trefoil
