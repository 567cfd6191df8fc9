#include "crowds/gatewaysystem.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;
namespace process = boost::process;

namespace {

constexpr const char *EntryAddress = "127.46.0.1";
constexpr const char *ControlPrefix = "127.46.1.";
constexpr const char *EnginePrefix = "127.46.2.";
constexpr const char *EndpointAddress = "127.46.0.3:8000";
constexpr std::size_t SeedCount = 3;
constexpr const char *Host = "crowds.example";
constexpr const char *EndpointName = "e1";
constexpr auto HeartbeatInterval = std::chrono::milliseconds(300);
constexpr auto RetryDelay = std::chrono::milliseconds(300);
constexpr int MaxTries = 60;
constexpr std::size_t InputCapacity = 64 * 1024;

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, RuntimeClock::now() + duration);
    co_await timer.async_wait(asio::use_awaitable);
}

void killWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// Returns text that cannot be compressed to much less than its size.
std::string randomText(std::size_t bytes)
{
    constexpr char firstCharacter = '0';
    constexpr unsigned characters = 42;
    std::mt19937_64 rng(1);
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i)
        text += static_cast<char>(firstCharacter + rng() % characters);
    return text;
}

std::string makeConfiguration(const GatewaySystemOptions &options)
{
    json::object route{{"name", "book"},          {"host", Host},
                       {"path-prefix", "/book/"}, {"kind", "non_idempotent"},
                       {"timeout-ms", 20'000},    {"target-latency-ms", 500},
                       {"service", "ledger"},     {"attempts", 2}};
    json::object service{
            {"name", "ledger"}, {"health-path", "/health"}, {"max-connections", 10'000}};
    json::object limits{{"max-header-bytes", options.maxHeaderBytes},
                        {"max-body-bytes", options.maxBodyBytes},
                        {"header-timeout-ms", options.headerTimeout.count()},
                        {"idle-timeout-ms", options.idleTimeout.count()}};
    json::array routes{route};
    json::array services{service};
    if (options.engines > 0) {
        routes.push_back(StandInEngine::makeRoute(Host, true));
        routes.push_back(StandInEngine::makeRoute(Host, false));
        services.push_back(StandInEngine::makeService());
    }
    return json::serialize(
            json::object{{"version", 1},
                         {"routes", routes},
                         {"services", services},
                         {"limits", limits},
                         {"padding", randomText(options.configurationPaddingBytes)}});
}

// Returns the value in bytes of a line of /proc/PID/status, which counts in kB.
std::size_t readStatusBytes(const GatewayNode &node, const std::string &name)
{
    std::ifstream file("/proc/" + std::to_string(node.process->id()) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1)) * 1024;
    }
    return 0;
}

// Returns the address as /proc/net/tcp writes it.
std::string kernelText(const std::string &address)
{
    const auto bytes = asio::ip::make_address_v4(address).to_bytes();
    char text[9];
    std::snprintf(text, sizeof text, "%02X%02X%02X%02X", bytes[3], bytes[2], bytes[1], bytes[0]);
    return text;
}

} // namespace

bool isRunning(GatewayNode &node)
{
    return node.process && node.process->running();
}

std::size_t readPeakResidentBytes(const GatewayNode &node)
{
    return readStatusBytes(node, "VmHWM");
}

ProcessUsage readUsage(const GatewayNode &node)
{
    ProcessUsage usage;
    usage.residentBytes = readStatusBytes(node, "VmRSS");
    std::set<std::string> sockets;
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(node.process->id()) + "/fd";
    for (const auto &item : std::filesystem::directory_iterator(folder, error)) {
        ++usage.openDescriptors;
        const std::string target = std::filesystem::read_symlink(item, error).string();
        if (target.starts_with("socket:["))
            sockets.insert(target.substr(8, target.size() - 9));
    }
    std::ifstream table("/proc/net/tcp");
    const std::string ownAddress = kernelText(node.address);
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user
                >> timeout >> inode;
        const bool isListening = state == "0A";
        const bool isOwn = sockets.contains(inode) || local.starts_with(ownAddress + ":");
        if (isListening || !isOwn)
            continue;
        usage.queuedBytes += std::stoul(queues.substr(0, 8), nullptr, 16)
                             + std::stoul(queues.substr(9), nullptr, 16);
    }
    return usage;
}

std::string addressOf(const GatewayNode &node, std::uint16_t port)
{
    return node.address + ":" + std::to_string(port);
}

asio::awaitable<double> readMetric(const GatewayNode &node, std::string name)
{
    HttpCall call;
    call.address = addressOf(node, MetricsPort);
    call.method = "GET";
    call.target = "/metrics";
    const HttpCallResult result = co_await callHttp(std::move(call));
    const std::string prefix = "trefoil_" + name + " ";
    std::istringstream lines(result.body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(prefix))
            co_return std::stod(line.substr(prefix.size()));
    }
    co_return -1;
}

GatewaySystem::GatewaySystem(asio::io_context &context, std::string folder,
                             GatewaySystemOptions options)
    : context_(context)
    , folder_(std::move(folder))
    , options_(options)
{
    entry.name = entry.role = "entry";
    entry.address = EntryAddress;
    for (std::size_t i = 1; i <= options_.controlVms; ++i) {
        const std::string number = std::to_string(i);
        controls.push_back({"control-" + number, "control", ControlPrefix + number, nullptr});
    }
    for (std::size_t i = 1; i <= options_.engines; ++i) {
        const std::string number = std::to_string(i);
        engines.push_back(std::make_unique<StandInEngine>(endpointContext_, "engine-" + number,
                                                          EnginePrefix + number + ":8000"));
        engines.back()->reportTo(controlAddress(0));
    }
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
}

GatewaySystem::~GatewaySystem()
{
    endpointContext_.stop();
    if (endpointThread_.joinable())
        endpointThread_.join();
    // Their listeners use the context, which is destroyed first.
    engines.clear();
    std::vector<GatewayNode *> nodes{&entry};
    for (GatewayNode &control : controls)
        nodes.push_back(&control);
    for (GatewayNode *node : nodes) {
        if (!isRunning(*node))
            continue;
        node->process->terminate();
        node->process->wait();
    }
}

std::string GatewaySystem::controlAddress(std::size_t index) const
{
    return addressOf(controls[index], ControlPort);
}

void GatewaySystem::startNode(GatewayNode &node)
{
    const std::string path = folder_ + "/" + node.name + ".yaml";
    std::ofstream file(path);
    file << "node:\n  name: " << node.name
         << "\n  region: crowds\n  domain: d1\n  address: " << node.address
         << "\n  internal_port: " << InternalPort
         << "\n  first_start: true\n  dialect: platform\n  seeds:\n";
    for (std::size_t i = 0; i < std::min(controls.size(), SeedCount); ++i)
        file << "    - " << quoted(controlAddress(i)) << "\n";
    file << "listen:\n  metrics: " << quoted(addressOf(node, MetricsPort)) << "\n";
    if (node.role == "control")
        file << "  control: " << quoted(addressOf(node, ControlPort))
             << "\n  entry_list: " << quoted(addressOf(node, EntryListPort))
             << "\ndata: " << quoted(folder_ + "/data-" + node.name) << "\n";
    else
        file << "  callers: " << quoted(addressOf(node, CallerPort))
             << "\n  readiness: " << quoted(addressOf(node, ReadinessPort)) << "\n";
    file << "limits:\n  connections: " << options_.connections
         << "\n  memory: " << options_.memoryMb
         << "\n  tolerated_losses: " << (controls.size() - 1) / 2 << "\n  heartbeat: 300ms\n";
    file.close();
    std::FILE *log = std::fopen((folder_ + "/" + node.name + ".log").c_str(), "a");
    node.process = std::make_unique<process::child>(
            TREFOIL_DAEMON, process::args({"--gateway", node.role, "--settings", path}),
            process::std_out > log, process::std_err > log, process::std_in < process::null,
            process::limit_handles,
            process::extend::on_exec_setup([](auto & /*executor*/) { killWithParent(); }));
    std::fclose(log);
}

asio::awaitable<bool> GatewaySystem::start()
{
    endpointListener_ = std::make_unique<ChannelListener>(
            endpointContext_, EndpointAddress, InputCapacity, [this](ChannelPointer channel) {
                asio::co_spawn(endpointContext_, serveEndpoint(std::move(channel)), asio::detached);
            });
    for (const auto &engine : engines)
        engine->start();
    endpointThread_ = std::thread([this] { endpointContext_.run(); });
    for (GatewayNode &control : controls)
        startNode(control);
    startNode(entry);
    const bool isPublished = co_await publishConfiguration();
    if (!isPublished)
        co_return false;
    asio::co_spawn(context_, sendHeartbeats(), asio::detached);
    co_return co_await serveOneRequest();
}

void GatewaySystem::restart(GatewayNode &node)
{
    ::kill(node.process->id(), SIGTERM);
    node.process->wait();
    startNode(node);
}

asio::awaitable<bool> GatewaySystem::publishConfiguration()
{
    const std::string body = makeConfiguration(options_);
    for (int tries = 0; tries < MaxTries; ++tries) {
        HttpCall call;
        call.address = controlAddress(static_cast<std::size_t>(tries) % controls.size());
        call.target = "/trefoilrun/configuration/replace";
        call.body = body;
        const HttpCallResult result = co_await callHttp(std::move(call));
        if (result.status == 200)
            co_return true;
        co_await sleepFor(RetryDelay);
    }
    co_return false;
}

asio::awaitable<GatewayNode *> GatewaySystem::findLeader()
{
    for (int tries = 0; tries < MaxTries; ++tries) {
        for (GatewayNode &control : controls) {
            const double isLeader =
                    isRunning(control) ? co_await readMetric(control, "is_leader") : 0;
            if (isLeader == 1)
                co_return &control;
        }
        co_await sleepFor(RetryDelay);
    }
    co_return nullptr;
}

asio::awaitable<bool> GatewaySystem::readConfiguration()
{
    for (int tries = 0; tries < MaxTries; ++tries) {
        HttpCall call;
        call.address = controlAddress(0);
        call.method = "GET";
        call.target = "/trefoilrun/configuration/read";
        const HttpCallResult result = co_await callHttp(std::move(call));
        if (result.status == 200)
            co_return true;
        co_await sleepFor(RetryDelay);
    }
    co_return false;
}

asio::awaitable<bool> GatewaySystem::serveOneRequest()
{
    for (int tries = 0; tries < MaxTries; ++tries) {
        HttpCall call;
        call.address = addressOf(entry, CallerPort);
        call.target = OrdinaryTarget;
        call.body = "ordinary";
        call.fields = {{"Host", Host},
                       {"X-Trefoilrun-Attempt-Id", "r" + std::to_string(nextRequest_++)}};
        const HttpCallResult result = co_await callHttp(std::move(call));
        if (result.status == 200)
            co_return true;
        co_await sleepFor(RetryDelay);
    }
    co_return false;
}

asio::awaitable<void> GatewaySystem::sendHeartbeats()
{
    const std::uint64_t startedAtMs = wallTimeMs();
    for (std::uint64_t sequence = 1;; ++sequence) {
        HttpCall call;
        call.address = controlAddress(0);
        call.target = std::string("/trefoilrun/instances/") + EndpointName + "/heartbeat";
        call.body = json::serialize(json::object{{"service", "ledger"},
                                                 {"address", EndpointAddress},
                                                 {"zone", "d1"},
                                                 {"version", "v1"},
                                                 {"slots", 1000},
                                                 {"state", "ready"},
                                                 {"cold-remaining-ms", 0},
                                                 {"sequence", sequence},
                                                 {"born", startedAtMs}});
        co_await callHttp(std::move(call));
        co_await sleepFor(HeartbeatInterval);
    }
}

// Answers the requests of one connection by their target.
asio::awaitable<void> GatewaySystem::serveEndpoint(ChannelPointer channel)
{
    static const std::string largeBody(LargeAnswerBytes, 'a');
    AsyncCondition signal(channel->executor());
    channel->setChangeSignal(&signal);
    while (!channel->isEnded()) {
        HttpParser parser(HttpMessageKind::Request, InputCapacity, 64 * 1024 * 1024);
        while (parser.consume(channel->input()) && !parser.isDone() && !channel->isEnded()) {
            channel->resumeReading();
            co_await signal.wait();
        }
        if (!parser.isDone())
            break;
        while (parser.head().target == UnansweredTarget && !channel->isEnded())
            co_await signal.wait();
        const bool isLarge = parser.head().target == LargeAnswerTarget;
        const std::string body = isLarge ? largeBody : "served";
        const std::string *id = findField(parser.head(), "X-Trefoilrun-Attempt-Id");
        const std::string head =
                "HTTP/1.1 200 OK\r\nX-Trefoilrun-Attempt-Id: " + (id ? *id : std::string())
                + "\r\nX-Trefoilrun-Response-Seal: s\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n";
        const TimePoint deadline = RuntimeClock::now() + std::chrono::seconds(30);
        const bool isWritten =
                co_await channel->write(head, deadline) && co_await channel->write(body, deadline);
        if (!isWritten)
            break;
        if (unsolicitedBytes > 0)
            co_await channel->write(std::string(unsolicitedBytes, 'x'), deadline);
        channel->resumeReading();
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

} // namespace Trefoil
