#include "libruntime/settings.h"

#include "libruntime/address.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace Trefoil {

namespace {

// Reads one file and collects findings.
class Reader
{
public:
    Reader(std::string file, std::vector<Finding> &findings)
        : file_(std::move(file))
        , findings_(findings)
    {}

    void add(const YAML::Mark &mark, const std::string &message)
    {
        const bool known = !mark.is_null();
        findings_.push_back({file_, known ? static_cast<std::size_t>(mark.line) + 1 : 0,
                             known ? static_cast<std::size_t>(mark.column) + 1 : 0, message});
    }

private:
    std::string file_;
    std::vector<Finding> &findings_;
};

using FieldReader = std::function<void(const YAML::Node &, Reader &)>;

struct Field
{
    std::string_view key;
    FieldReader read;
    bool isRequired = false;
};

// Reads a mapping. Unknown, repeated and missing keys are findings.
void readMapping(const YAML::Node &node, std::span<const Field> fields, const std::string &where,
                 Reader &reader)
{
    if (!node.IsMap()) {
        reader.add(node.Mark(), where + " must be a mapping");
        return;
    }
    std::vector<std::string_view> known;
    for (const Field &field : fields)
        known.push_back(field.key);
    std::set<std::string> seen;
    for (const auto &item : node) {
        const auto key = item.first.as<std::string>("");
        if (!seen.insert(key).second) {
            reader.add(item.first.Mark(), "key '" + key + "' stands twice in " + where);
            continue;
        }
        const auto field = std::find_if(fields.begin(), fields.end(),
                                        [&key](const Field &f) { return f.key == key; });
        if (field != fields.end()) {
            field->read(item.second, reader);
            continue;
        }
        const std::string nearest = nearestName(key, known);
        reader.add(item.first.Mark(),
                   "unknown key '" + key + "' in " + where
                           + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    for (const Field &field : fields) {
        if (field.isRequired && !seen.contains(std::string(field.key)))
            reader.add(node.Mark(), "missing key '" + std::string(field.key) + "' in " + where);
    }
}

FieldReader text(std::string &into)
{
    return [&into](const YAML::Node &node, Reader &reader) {
        if (!node.IsScalar() || node.Scalar().empty())
            reader.add(node.Mark(), "expected a text");
        else
            into = node.Scalar();
    };
}

FieldReader address(std::string &into)
{
    return [&into](const YAML::Node &node, Reader &reader) {
        if (!node.IsScalar() || !parseAddress(node.Scalar()))
            reader.add(node.Mark(), "expected an IP number and a port, like 10.0.0.1:7100");
        else
            into = node.Scalar();
    };
}

FieldReader listOf(std::vector<std::string> &into,
                   const std::function<FieldReader(std::string &)> &element)
{
    return [&into, element](const YAML::Node &node, Reader &reader) {
        if (!node.IsSequence()) {
            reader.add(node.Mark(), "expected a list");
            return;
        }
        for (const YAML::Node &item : node) {
            std::string value;
            element(value)(item, reader);
            into.push_back(value);
        }
    };
}

std::optional<Duration> parseDuration(const std::string &value)
{
    static const std::map<std::string, Duration> units = {
            {"ms", std::chrono::milliseconds(1)},
            {"s", std::chrono::seconds(1)},
            {"m", std::chrono::minutes(1)},
            {"h", std::chrono::hours(1)},
    };
    std::uint32_t count = 0;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, count);
    const auto unit = units.find(std::string(parsed.ptr, end));
    if (parsed.ec != std::errc() || unit == units.end())
        return std::nullopt;
    return count * unit->second;
}

FieldReader duration(Duration &into, Duration lowest, Duration highest)
{
    return [&into, lowest, highest](const YAML::Node &node, Reader &reader) {
        const auto value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
        if (!value)
            reader.add(node.Mark(), "expected a duration, like 300ms, 3s or 2m");
        else if (*value < lowest || *value > highest)
            reader.add(node.Mark(), "duration out of range");
        else
            into = *value;
    };
}

template <class T>
FieldReader count(T &into, std::uint64_t lowest, std::uint64_t highest)
{
    return [&into, lowest, highest](const YAML::Node &node, Reader &reader) {
        std::uint64_t value = 0;
        const std::string scalar = node.IsScalar() ? node.Scalar() : std::string();
        const char *end = scalar.data() + scalar.size();
        const auto parsed = std::from_chars(scalar.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            reader.add(node.Mark(), "expected a whole number");
        else if (value < lowest || value > highest)
            reader.add(node.Mark(), "number out of range: " + std::to_string(lowest) + " to "
                                            + std::to_string(highest));
        else
            into = static_cast<T>(value);
    };
}

FieldReader flag(bool &into)
{
    return [&into](const YAML::Node &node, Reader &reader) {
        if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
            into = node.Scalar() == "true";
        else
            reader.add(node.Mark(), "expected true or false");
    };
}

FieldReader policyName(std::string &into, bool (*isKnown)(const std::string &),
                       std::string (*names)())
{
    return [&into, isKnown, names](const YAML::Node &node, Reader &reader) {
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

FieldReader section(const std::string &name, std::vector<Field> fields)
{
    return [name, fields = std::move(fields)](const YAML::Node &node, Reader &reader) {
        readMapping(node, fields, name, reader);
    };
}

std::vector<Field> membershipFields(NodeSettings &node)
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

std::vector<Field> groupFields(NodeSettings &node)
{
    PlannerOptions &p = node.planner;
    return {
            {"heartbeat_interval_ms", count(node.heartbeatMs, 20, 60'000)},
            {"heartbeat_bound", duration(node.gate.heartbeatBound, 50 * Ms, 600 * Second)},
            {"loss_timeout", duration(p.lossTimeout, 200 * Ms, Hour)},
            {"replace_after", duration(p.replaceAfter, 100 * Ms, Hour)},
            {"load_time", duration(p.loadTime, Ms, Hour)},
            {"concurrent_loads", count(p.concurrentLoads, 1, 10'000)},
            {"order_timeout", duration(node.orderTimeout, 100 * Ms, Hour)},
            {"watch_refresh", duration(node.watchRefresh, 100 * Ms, Hour)},
    };
}

std::vector<Field> requestFields(Settings &settings)
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

std::vector<Field> controlFields(Settings &settings)
{
    RaftOptions &r = settings.seat.raft;
    return {
            {"data", text(settings.dataFolder), true},
            {"seats", listOf(settings.initialSeats, text)},
            {"election_timeout", duration(r.electionTimeout, 50 * Ms, 60 * Second)},
            {"heartbeat_interval", duration(r.heartbeatInterval, 5 * Ms, 60 * Second)},
            {"compact_every", count(settings.seat.compactEvery, 16, 10'000'000)},
    };
}

std::vector<Field> listenFields(Settings &settings)
{
    return {
            {"callers", address(settings.callerListen), true},
            {"peers", address(settings.peerListen), true},
            {"operators", address(settings.operatorListen), true},
    };
}

std::vector<Field> advertiseFields(NodeSettings &node)
{
    return {
            {"callers", address(node.self.callerAddress)},
            {"peers", address(node.self.peerAddress)},
    };
}

std::vector<Field> rootFields(Settings &settings)
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
void checkTogether(Settings &settings, const YAML::Node &root, Reader &reader)
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
    if (std::chrono::milliseconds(node.heartbeatMs) * 2 > node.gate.heartbeatBound)
        reader.add(root["groups"].Mark(),
                   "heartbeat_bound must be at least twice heartbeat_interval_ms");
}

} // namespace

LoadedSettings readSettings(const std::string &text, const std::string &file)
{
    LoadedSettings loaded;
    Reader reader(file, loaded.findings);
    try {
        const YAML::Node root = YAML::Load(text);
        const std::vector<Field> fields = rootFields(loaded.settings);
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
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        LoadedSettings loaded;
        loaded.findings.push_back({path, 0, 0, "cannot read the file"});
        return loaded;
    }
    return readSettings(text.str(), path);
}

} // namespace Trefoil
