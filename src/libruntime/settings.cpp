#include "libruntime/settings.h"

#include "libruntime/settingsreader.h"

namespace Trefoil {

namespace {

FieldReader policyName(std::string &into, bool (*isKnown)(const std::string &),
                       std::string (*names)())
{
    return [&into, isKnown, names](const YAML::Node &node, SettingsReader &reader) {
        const std::string name = node.IsScalar() ? node.Scalar() : std::string();
        if (isKnown(name))
            into = name;
        else
            reader.add(node.Mark(), "unknown policy '" + name + "'; known: " + names());
    };
}

bool isRoutingPolicy(const std::string &name)
{
    return RoutingPolicies::find(name) != nullptr;
}

std::string routingPolicyNames()
{
    std::string text;
    for (const std::string &name : RoutingPolicies::names())
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

constexpr Duration Ms = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration Hour = std::chrono::hours(1);

std::vector<SettingsField> membershipFields(NodeSettings &node)
{
    MembershipOptions &m = node.membership;
    return {
            {"probe_period", duration(m.probePeriod, 10 * Ms, 60 * Second)},
            {"probe_timeout", duration(m.probeTimeout, 5 * Ms, 60 * Second)},
            {"suspicion_timeout", duration(m.suspicionTimeout, 50 * Ms, 600 * Second)},
            {"freshness_bound", duration(node.freshnessBound, 200 * Ms, 600 * Second)},
            {"feed_interval", duration(node.feedInterval, 10 * Ms, 60 * Second)},
    };
}

std::vector<SettingsField> groupFields(NodeSettings &node)
{
    PlannerOptions &p = node.planner;
    return {
            {"heartbeat_interval_ms", count(node.heartbeatIntervalMs, 20, 60'000)},
            {"heartbeat_bound", duration(node.gate.heartbeatBound, 50 * Ms, 600 * Second)},
            {"loss_timeout", duration(p.lossTimeout, 200 * Ms, Hour)},
            {"replace_after", duration(p.replaceAfter, 100 * Ms, Hour)},
            {"load_time", duration(p.loadTime, Ms, Hour)},
            {"concurrent_loads", count(p.concurrentLoads, 1, 10'000)},
            {"order_timeout", duration(node.orderTimeout, 100 * Ms, Hour)},
            {"watch_refresh", duration(node.fullWatchReportInterval, 100 * Ms, Hour)},
    };
}

std::vector<SettingsField> requestFields(Settings &settings)
{
    OriginOptions &o = settings.node.origin;
    DispatchOptions &d = settings.node.dispatch;
    HttpLimits &h = settings.http;
    return {
            {"max_attempts", count(o.maxAttempts, 1, 20)},
            {"max_requests", count(o.maxRequests, 1, 1'000'000)},
            {"max_queued", count(d.queue.maxQueued, 1, 1'000'000)},
            {"max_queued_per_workspace", count(d.queue.maxQueuedPerWorkspace, 1, 1'000'000)},
            {"engine_routing", policyName(d.engineRouting, isRoutingPolicy, routingPolicyNames)},
            {"service_routing", policyName(d.serviceRouting, isRoutingPolicy, routingPolicyNames)},
            {"known_workspaces_only", flag(settings.node.requireKnownWorkspace)},
            {"entry_list_lifetime", duration(settings.node.entryListLifetime, Second, Hour)},
            {"default_deadline", duration(h.defaultDeadline, 10 * Ms, Hour)},
            {"max_deadline", duration(h.maxDeadline, 10 * Ms, 24 * Hour)},
            {"connect_timeout", duration(h.connectTimeout, 5 * Ms, 60 * Second)},
            {"first_byte_timeout", duration(h.firstByteTimeout, 10 * Ms, Hour)},
            {"progress_timeout", duration(h.progressTimeout, 10 * Ms, Hour)},
            {"idle_timeout", duration(h.idleTimeout, 100 * Ms, Hour)},
            {"write_timeout", duration(h.writeTimeout, 100 * Ms, Hour)},
            {"max_body_bytes", count(h.maxBodyBytes, 1024, 1ull << 30)},
            {"max_connections", count(h.maxConnections, 1, 1'000'000)},
    };
}

std::vector<SettingsField> controlFields(Settings &settings)
{
    RaftOptions &r = settings.seat.raft;
    return {
            {"data", text(settings.dataFolder), true},
            {"seats", listOf(settings.initialSeats, text)},
            {"election_timeout", duration(r.electionTimeout, 50 * Ms, 60 * Second)},
            {"heartbeat_interval", duration(r.heartbeatInterval, 5 * Ms, 60 * Second)},
            {"compact_every", count(settings.seat.entriesBetweenSnapshots, 16, 10'000'000)},
    };
}

std::vector<SettingsField> listenFields(Settings &settings)
{
    return {
            {"callers", address(settings.callerListen), true},
            {"peers", address(settings.peerListen), true},
            {"operators", address(settings.operatorListen), true},
    };
}

std::vector<SettingsField> advertiseFields(NodeSettings &node)
{
    return {
            {"callers", address(node.self.callerAddress)},
            {"peers", address(node.self.peerAddress)},
    };
}

std::vector<SettingsField> rootFields(Settings &settings)
{
    return {
            {"entry", text(settings.node.self.entry), true},
            {"domain", text(settings.node.self.domain), true},
            {"listen", section("'listen'", listenFields(settings)), true},
            {"advertise", section("'advertise'", advertiseFields(settings.node))},
            {"peers", listOf(settings.node.seeds, address), true},
            {"control", section("'control'", controlFields(settings))},
            {"membership", section("'membership'", membershipFields(settings.node))},
            {"groups", section("'groups'", groupFields(settings.node))},
            {"requests", section("'requests'", requestFields(settings))},
            {"log_folder", text(settings.logFolder)},
            {"stop_bound", duration(settings.stopBound, 100 * Ms, 24 * Hour)},
    };
}

// Faults that only show between fields.
void checkTogether(Settings &settings, const YAML::Node &root, SettingsReader &reader)
{
    NodeSettings &node = settings.node;
    if (node.self.callerAddress.empty())
        node.self.callerAddress = settings.callerListen;
    if (node.self.peerAddress.empty())
        node.self.peerAddress = settings.peerListen;
    const auto &seat = settings.seat.raft;
    if (seat.heartbeatInterval * 2 > seat.electionTimeout)
        reader.add(root["control"].Mark(),
                   "election_timeout must be at least twice heartbeat_interval");
    if (node.membership.probeTimeout * 2 > node.membership.suspicionTimeout)
        reader.add(root["membership"].Mark(),
                   "suspicion_timeout must be at least twice probe_timeout");
    if (std::chrono::milliseconds(node.heartbeatIntervalMs) * 2 > node.gate.heartbeatBound)
        reader.add(root["groups"].Mark(),
                   "heartbeat_bound must be at least twice heartbeat_interval_ms");
}

} // namespace

LoadedSettings readSettings(const std::string &text, const std::string &file)
{
    LoadedSettings loaded;
    SettingsReader reader(file, loaded.findings);
    try {
        const YAML::Node root = YAML::Load(text);
        const std::vector<SettingsField> fields = rootFields(loaded.settings);
        readMapping(root, fields, "the settings", reader);
        if (root.IsMap())
            checkTogether(loaded.settings, root, reader);
    } catch (const YAML::Exception &error) {
        reader.add(error.mark, error.msg);
    }
    return loaded;
}

LoadedSettings loadSettings(const std::string &path)
{
    LoadedSettings unread;
    const auto text = readSettingsFile(path, unread.findings);
    return text ? readSettings(*text, path) : unread;
}

} // namespace Trefoil
