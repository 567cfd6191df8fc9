#include "libruntime/settings.h"

#include "libruntime/settingsreader.h"

namespace Trefoil {

namespace {

// Reads the name of a registered policy.
FieldReader policyName(std::string &target, bool (*isKnown)(const std::string &),
                       std::string (*names)())
{
    return [&target, isKnown, names](const YAML::Node &node, SettingsReader &reader) {
        const std::string name = node.IsScalar() ? node.Scalar() : std::string();
        if (isKnown(name))
            target = name;
        else
            reader.addFinding(node.Mark(), "unknown policy '" + name + "'; known: " + names());
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

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration Hour = std::chrono::hours(1);

std::vector<SettingsField> membershipFields(NodeSettings &node)
{
    MembershipOptions &membership = node.membership;
    return {
            {"probe_period", duration(membership.probePeriod, 10 * Millisecond, 60 * Second)},
            {"probe_timeout", duration(membership.probeTimeout, 5 * Millisecond, 60 * Second)},
            {"suspicion_timeout",
             duration(membership.suspicionTimeout, 50 * Millisecond, 600 * Second)},
            {"freshness_bound", duration(node.freshnessBound, 200 * Millisecond, 600 * Second)},
            {"feed_interval", duration(node.feedInterval, 10 * Millisecond, 60 * Second)},
    };
}

std::vector<SettingsField> groupFields(NodeSettings &node)
{
    PlannerOptions &planner = node.planner;
    return {
            {"heartbeat_interval_ms", count(node.heartbeatIntervalMs, 20, 60'000)},
            {"heartbeat_bound", duration(node.gate.heartbeatBound, 50 * Millisecond, 600 * Second)},
            {"loss_timeout", duration(planner.lossTimeout, 200 * Millisecond, Hour)},
            {"replace_after", duration(planner.replaceAfter, 100 * Millisecond, Hour)},
            {"load_time", duration(planner.loadTime, Millisecond, Hour)},
            {"concurrent_loads", count(planner.concurrentLoads, 1, 10'000)},
            {"order_timeout", duration(node.orderTimeout, 100 * Millisecond, Hour)},
            {"watch_refresh", duration(node.fullWatchReportInterval, 100 * Millisecond, Hour)},
    };
}

std::vector<SettingsField> requestFields(Settings &settings)
{
    OriginOptions &origin = settings.node.origin;
    DispatchOptions &dispatch = settings.node.dispatch;
    HttpLimits &http = settings.http;
    return {
            {"max_attempts", count(origin.maxAttempts, 1, 20)},
            {"max_requests", count(origin.maxRequests, 1, 1'000'000)},
            {"max_queued", count(dispatch.queue.maxQueued, 1, 1'000'000)},
            {"max_queued_per_workspace", count(dispatch.queue.maxQueuedPerWorkspace, 1, 1'000'000)},
            {"engine_routing",
             policyName(dispatch.engineRouting, isRoutingPolicy, routingPolicyNames)},
            {"service_routing",
             policyName(dispatch.serviceRouting, isRoutingPolicy, routingPolicyNames)},
            {"known_workspaces_only", flag(settings.node.requireKnownWorkspace)},
            {"entry_list_lifetime", duration(settings.node.entryListLifetime, Second, Hour)},
            {"default_deadline", duration(http.defaultDeadline, 10 * Millisecond, Hour)},
            {"max_deadline", duration(http.maxDeadline, 10 * Millisecond, 24 * Hour)},
            {"connect_timeout", duration(http.connectTimeout, 5 * Millisecond, 60 * Second)},
            {"first_byte_timeout", duration(http.firstByteTimeout, 10 * Millisecond, Hour)},
            {"progress_timeout", duration(http.progressTimeout, 10 * Millisecond, Hour)},
            {"idle_timeout", duration(http.idleTimeout, 100 * Millisecond, Hour)},
            {"write_timeout", duration(http.writeTimeout, 100 * Millisecond, Hour)},
            {"max_body_bytes", count(http.maxBodyBytes, 1024, 1ull << 30)},
            {"max_connections", count(http.maxConnections, 1, 1'000'000)},
    };
}

std::vector<SettingsField> controlFields(Settings &settings)
{
    RaftOptions &raft = settings.seat.raft;
    return {
            {"data", text(settings.dataFolder), true},
            {"seats", listOf(settings.initialSeats, text)},
            {"election_timeout", duration(raft.electionTimeout, 50 * Millisecond, 60 * Second)},
            {"heartbeat_interval", duration(raft.heartbeatInterval, 5 * Millisecond, 60 * Second)},
            {"compact_every", count(settings.seat.entriesBetweenSnapshots, 16, 10'000'000)},
    };
}

std::vector<SettingsField> listenFields(Settings &settings)
{
    return {
            {"callers", address(settings.callerListenAddress), true},
            {"peers", address(settings.peerListenAddress), true},
            {"operators", address(settings.operatorListenAddress), true},
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
            {"stop_bound", duration(settings.stopTimeout, 100 * Millisecond, 24 * Hour)},
    };
}

// Sets the defaults that are taken from other fields, and reports combinations of fields that are
// not valid.
void checkFieldCombinations(Settings &settings, const YAML::Node &root, SettingsReader &reader)
{
    NodeSettings &node = settings.node;
    if (node.self.callerAddress.empty())
        node.self.callerAddress = settings.callerListenAddress;
    if (node.self.peerAddress.empty())
        node.self.peerAddress = settings.peerListenAddress;
    const auto &raft = settings.seat.raft;
    if (raft.heartbeatInterval * 2 > raft.electionTimeout)
        reader.addFinding(root["control"].Mark(),
                          "election_timeout must be at least twice heartbeat_interval");
    if (node.membership.probeTimeout * 2 > node.membership.suspicionTimeout)
        reader.addFinding(root["membership"].Mark(),
                          "suspicion_timeout must be at least twice probe_timeout");
    if (std::chrono::milliseconds(node.heartbeatIntervalMs) * 2 > node.gate.heartbeatBound)
        reader.addFinding(root["groups"].Mark(),
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
            checkFieldCombinations(loaded.settings, root, reader);
    } catch (const YAML::Exception &error) {
        reader.addFinding(error.mark, error.msg);
    }
    return loaded;
}

LoadedSettings loadSettings(const std::string &path)
{
    LoadedSettings readFailure;
    const auto text = readSettingsFile(path, readFailure.findings);
    return text ? readSettings(*text, path) : readFailure;
}

} // namespace Trefoil
