#include "libgateway/gateway.h"

#include "libgateway/controlprocess.h"
#include "libgateway/entryprocess.h"
#include "libruntime/events.h"
#include "libruntime/structuredlog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

#include <malloc.h>

namespace Trefoil {

namespace {

constexpr int LargeAllocationBytes = 128 * 1024;

enum ExitCode { ExitOk = 0, ExitUsageError = 1, ExitSettingsError = 2, ExitFailure = 3 };

// Adds a finding for each setting that the role needs and that is missing.
void checkRoleSettings(const std::string &role, const std::string &path,
                       LoadedGatewaySettings &loaded)
{
    const GatewaySettings &settings = loaded.settings;
    const auto require = [&](const std::string &value, const std::string &key) {
        if (value.empty())
            loaded.findings.push_back(
                    {path, 0, 0, "role '" + role + "' needs the key '" + key + "'"});
    };
    if (role == "entry") {
        require(settings.callerListenAddress, "listen.callers");
    } else {
        require(settings.controlListenAddress, "listen.control");
        require(settings.dataFolder, "data");
    }
}

// Begins a planned stop on SIGTERM or SIGINT and reads the settings again on SIGHUP.
template <class Process>
class SignalHandler
{
public:
    SignalHandler(boost::asio::io_context &context, Process &process, std::string role,
                  std::string path)
        : context_(context)
        , process_(process)
        , role_(std::move(role))
        , path_(std::move(path))
        , signals_(context, SIGTERM, SIGINT, SIGHUP)
    {
        wait();
    }

private:
    void wait()
    {
        signals_.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                process_.stop([this] { context_.stop(); });
            wait();
        });
    }

    void reload()
    {
        LoadedGatewaySettings loaded = loadGatewaySettings(path_);
        checkRoleSettings(role_, path_, loaded);
        if (!loaded.findings.empty()) {
            logEvent(Event::SettingsInvalid, {{"findings", toText(loaded.findings)}});
            return;
        }
        process_.reload(loaded.settings);
        logEvent(Event::SettingsReloaded,
                 {{"seeds", std::to_string(loaded.settings.seeds.size())}});
    }

    boost::asio::io_context &context_;
    Process &process_;
    std::string role_;
    std::string path_;
    boost::asio::signal_set signals_;
};

template <class Process>
int runProcess(const std::string &role, const std::string &path, const GatewaySettings &settings)
{
    boost::asio::io_context context(1);
    Process process(context, settings);
    const SignalHandler<Process> signals(context, process, role, path);
    try {
        process.start();
        context.run();
    } catch (const std::exception &error) {
        logEvent(Event::DutyFailed, {{"error", error.what()}});
        flushStructuredLog();
        std::_Exit(ExitFailure);
    }
    flushStructuredLog();
    std::_Exit(ExitOk); // Open connections end with the process.
}

} // namespace

int runGateway(const std::string &role, const std::string &settingsPath, bool checkOnly)
{
    if (role != "entry" && role != "control") {
        std::cerr << "trefoilrund: unknown role '" << role << "'; known: entry, control\n";
        return ExitUsageError;
    }
    LoadedGatewaySettings loaded = loadGatewaySettings(settingsPath);
    if (loaded.findings.empty())
        checkRoleSettings(role, settingsPath, loaded);
    if (!loaded.findings.empty()) {
        std::cerr << toText(loaded.findings);
        return ExitSettingsError;
    }
    if (checkOnly) {
        std::cout << settingsPath << ": ok\n";
        return ExitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Large buffers go back to the system when they are freed. By default the allocator keeps more
    // of them after the first ones.
    ::mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
    startStructuredLog(loaded.settings.name);
    if (role == "entry")
        return runProcess<EntryProcess>(role, settingsPath, loaded.settings);
    return runProcess<ControlProcess>(role, settingsPath, loaded.settings);
}

} // namespace Trefoil
