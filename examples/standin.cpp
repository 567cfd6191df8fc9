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

// Stand-in of an endpoint: a model engine, or a plain service with --service. SIGTERM makes it
// leave: it says so, finishes what it has and ends.

namespace po = boost::program_options;

namespace Trefoil {

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr auto LeaveDelay = std::chrono::seconds(4);

boost::asio::awaitable<void> leave(boost::asio::io_context &main, EndpointFacts facts,
                                   StandinEngine &engine)
{
    const bool accepted = co_await announceLeaving(facts);
    if (!accepted)
        std::cerr << facts.vm << ": no entry took the notice\n";
    RuntimeTimer timer(co_await boost::asio::this_coro::executor);
    const TimePoint earliest = RuntimeClock::now() + LeaveDelay;
    while (RuntimeClock::now() < earliest || !engine.isIdle()) {
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(AsTuple);
    }
    main.stop();
}

int run(const EndpointFacts &facts, const StandinBehavior &behavior)
{
    EventLoopThread duty("standin");
    StandinEngine engine(facts, behavior);
    HttpLimits limits;
    listenHttp(duty, facts.address, limits,
               [&engine](HttpConnection &connection, const HttpRequest &request) {
                   return engine.handle(connection, request);
               });
    boost::asio::co_spawn(duty.context(),
                          keepAnnounced(
                                  facts, [&engine] { return engine.report(); },
                                  [&engine] { return engine.isSilent(); }),
                          boost::asio::detached);
    boost::asio::io_context main;
    boost::asio::signal_set signals(main, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) {
        boost::asio::co_spawn(duty.context(), leave(main, facts, engine), boost::asio::detached);
    });
    duty.start();
    const auto work = boost::asio::make_work_guard(main);
    main.run();
    duty.stop();
    return 0;
}

} // namespace

} // namespace Trefoil

int main(int argc, char **argv)
{
    Trefoil::EndpointFacts facts;
    Trefoil::StandinBehavior behavior;
    std::uint32_t tokenMs = 5;
    std::uint32_t loadMs = 300;
    std::uint32_t callMs = 1;
    bool ignoresFencing = false;
    po::options_description description("standin - stand-in of an endpoint");
    auto add = description.add_options();
    add("vm", po::value(&facts.vm)->required(), "name of the VM");
    add("listen", po::value(&facts.address)->required(), "IP:port");
    add("entry", po::value(&facts.entries)->required()->composing(), "entry, IP:port");
    add("domain", po::value(&facts.domain)->required(), "failure domain");
    add("fabric", po::value(&facts.fabric), "fabric domain, of engines");
    add("service", po::value(&facts.service), "plain service");
    add("accelerators", po::value(&facts.accelerators), "accelerators");
    add("slots", po::value(&facts.slots), "requests at the same time");
    add("token-ms", po::value(&tokenMs), "time between tokens");
    add("load-ms", po::value(&loadMs), "time to load weights");
    add("call-ms", po::value(&callMs), "time of a plain call");
    add("ignores-fencing", po::bool_switch(&ignoresFencing), "takes orders with old numbers");
    add("help", "show this text");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        facts.enforcesFencing = !ignoresFencing;
        facts.incarnation = Trefoil::wallTimeMs();
        behavior.tokenInterval = std::chrono::milliseconds(tokenMs);
        behavior.loadTime = std::chrono::milliseconds(loadMs);
        behavior.callTime = std::chrono::milliseconds(callMs);
        return Trefoil::run(facts, behavior);
    } catch (const std::exception &error) {
        std::cerr << "standin: " << error.what() << "\n";
        return 1;
    }
}
