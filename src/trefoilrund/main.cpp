#include "libgateway/gateway.h"
#include "trefoilrund/daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace po = boost::program_options;

namespace Trefoil {

namespace {

enum ExitCode { ExitOk = 0, ExitUsage = 1, ExitSettings = 2, ExitFailure = 3 };

struct Options
{
    std::string settingsFile;
    bool isCheckOnly = false;
    bool isSeatInitialization = false;
    // Role of a gateway process, `entry` or `control`. Empty for a process that runs the Daemon.
    std::string gatewayRole;
};

// Runs until a signal requests a planned stop and the stop is finished or exceeds its time limit.
int runDaemon(const Settings &settings)
{
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    boost::asio::steady_timer stopTimer(context);
    Daemon daemon(settings);
    bool isStopping = false;
    std::function<void(const boost::system::error_code &, int)> onSignal;
    onSignal = [&](const boost::system::error_code &error, int) {
        if (error)
            return;
        signals.async_wait(onSignal);
        if (isStopping)
            return; // A second signal does not shorten the planned stop.
        isStopping = true;
        logEvent(Event::Stopping);
        daemon.drain([&] { boost::asio::post(context, [&] { context.stop(); }); });
        stopTimer.expires_after(settings.stopTimeout);
        stopTimer.async_wait([&](const boost::system::error_code &cancelled) {
            if (cancelled)
                return;
            logEvent(Event::StopOverdue,
                     {{"lost", "requests in progress end without their responses"}});
            context.stop();
        });
    };
    signals.async_wait(onSignal);
    daemon.start();
    context.run();
    // Leaves time to send the last datagrams and responses.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    daemon.stop();
    logEvent(Event::Stopped);
    return ExitOk;
}

int run(const Options &options)
{
    if (!options.gatewayRole.empty())
        return runGateway(options.gatewayRole, options.settingsFile, options.isCheckOnly);
    const LoadedSettings loaded = loadSettings(options.settingsFile);
    if (!loaded.findings.empty()) {
        std::cerr << toText(loaded.findings);
        return ExitSettings;
    }
    if (options.isCheckOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return ExitOk;
    }
    startLogging("trefoilrund", loaded.settings.logFolder);
    if (!options.isSeatInitialization)
        return runDaemon(loaded.settings);
    if (loaded.settings.dataFolder.empty())
        throw DiskError("the settings have no data folder under 'control'");
    initializeSeat(loaded.settings);
    std::cout << "seat of entry " << loaded.settings.node.self.entry << " initialized\n";
    return ExitOk;
}

} // namespace

} // namespace Trefoil

int main(int argc, char **argv)
{
    Trefoil::Options options;
    po::options_description description("trefoilrund - entry of the trefoilrun serving system");
    auto add = description.add_options();
    add("settings,s", po::value(&options.settingsFile), "settings file (YAML)");
    add("check", po::bool_switch(&options.isCheckOnly), "check the settings and exit");
    add("init-seat", po::bool_switch(&options.isSeatInitialization),
        "initialize the data folder as one of the first control seats and exit; once for each "
        "seat");
    add("gateway", po::value(&options.gatewayRole),
        "run as 'entry' or 'control' with all work on one thread");
    add("help,h", "show this text");
    add("version", "show the version");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return Trefoil::ExitOk;
        }
        if (values.count("version") > 0) {
            std::cout << "trefoilrund " << TREFOIL_VERSION << "\n";
            return Trefoil::ExitOk;
        }
        if (options.settingsFile.empty()) {
            std::cerr << "trefoilrund: --settings is missing\n" << description;
            return Trefoil::ExitUsage;
        }
        return Trefoil::run(options);
    } catch (const po::error &error) {
        std::cerr << "trefoilrund: " << error.what() << "\n";
        return Trefoil::ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "trefoilrund: " << error.what() << "\n";
        return Trefoil::ExitFailure;
    }
}
