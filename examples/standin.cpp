#include "standinengine.h"

#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

// Stub endpoint: a model engine, or with --service a plain service. On SIGTERM it sends a leave
// notice, finishes its requests and exits.

namespace po = boost::program_options;

namespace Trefoil {

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
// Shortest time between the leave notice and the exit.
constexpr auto MinLeaveTime = std::chrono::seconds(4);

// Sends the leave notice, waits until the endpoint is idle and stops the main loop.
boost::asio::awaitable<void> leaveAndStop(boost::asio::io_context &main, EndpointInfo info,
                                          StandinEngine &engine)
{
    const bool isAccepted = co_await sendLeaveNotice(info);
    if (!isAccepted)
        std::cerr << info.vm << ": no entry accepted the leave notice\n";
    RuntimeTimer timer(co_await boost::asio::this_coro::executor);
    const TimePoint earliest = RuntimeClock::now() + MinLeaveTime;
    while (RuntimeClock::now() < earliest || !engine.isIdle()) {
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(AsTuple);
    }
    main.stop();
}

int run(const EndpointInfo &info, const StandinOptions &options)
{
    EventLoopThread thread("standin");
    StandinEngine engine(info, options);
    HttpLimits limits;
    listenHttp(thread, info.address, limits,
               [&engine](HttpConnection &connection, const HttpRequest &request) {
                   return engine.handle(connection, request);
               });
    boost::asio::co_spawn(thread.context(),
                          maintainRegistration(
                                  info, [&engine] { return engine.report(); },
                                  [&engine] { return engine.suppressesHeartbeats(); }),
                          boost::asio::detached);
    boost::asio::io_context main;
    boost::asio::signal_set signals(main, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        boost::asio::co_spawn(thread.context(), leaveAndStop(main, info, engine),
                              boost::asio::detached);
    });
    thread.start();
    const auto work = boost::asio::make_work_guard(main);
    main.run();
    thread.stop();
    return 0;
}

} // namespace

} // namespace Trefoil

int main(int argc, char **argv)
{
    Trefoil::EndpointInfo info;
    Trefoil::StandinOptions options;
    std::uint32_t tokenMs = 5;
    std::uint32_t loadMs = 300;
    std::uint32_t callMs = 1;
    bool ignoresFencing = false;
    po::options_description description("standin - stub endpoint");
    auto add = description.add_options();
    add("vm", po::value(&info.vm)->required(), "name of the VM");
    add("listen", po::value(&info.address)->required(), "address to listen on, IP:port");
    add("entry", po::value(&info.entries)->required()->composing(),
        "address of an entry, IP:port; may be repeated");
    add("domain", po::value(&info.domain)->required(), "failure domain");
    add("fabric", po::value(&info.fabric), "fabric domain of an engine");
    add("service", po::value(&info.service),
        "name of the plain service; without it the endpoint is an engine");
    add("accelerators", po::value(&info.accelerators), "number of accelerators");
    add("slots", po::value(&info.slots), "maximum number of concurrent requests");
    add("token-ms", po::value(&tokenMs), "milliseconds between tokens");
    add("load-ms", po::value(&loadMs), "milliseconds to load model weights");
    add("call-ms", po::value(&callMs), "milliseconds to process a call to the plain service");
    add("ignores-fencing", po::bool_switch(&ignoresFencing),
        "accepts orders with an old fencing token");
    add("help", "shows this text");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        info.enforcesFencing = !ignoresFencing;
        info.incarnation = Trefoil::wallTimeMs();
        options.tokenInterval = std::chrono::milliseconds(tokenMs);
        options.loadTime = std::chrono::milliseconds(loadMs);
        options.callTime = std::chrono::milliseconds(callMs);
        return Trefoil::run(info, options);
    } catch (const std::exception &error) {
        std::cerr << "standin: " << error.what() << "\n";
        return 1;
    }
}
