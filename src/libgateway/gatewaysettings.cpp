#include "libgateway/gatewaysettings.h"

#include "libruntime/settingsreader.h"

namespace Trefoil {

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration Hour = std::chrono::hours(1);

FieldReader dialectName(std::string &into)
{
    return [&into](const YAML::Node &node, SettingsReader &reader) {
        const std::string name = node.IsScalar() ? node.Scalar() : std::string();
        if (findDialect(name))
            into = name;
        else
            reader.addFinding(node.Mark(), "unknown dialect '" + name + "'");
    };
}

std::vector<SettingsField> nodeFields(GatewaySettings &settings)
{
    return {
            {"name", text(settings.name), true},
            {"region", text(settings.region), true},
            {"domain", text(settings.domain), true},
            {"address", text(settings.address), true},
            {"internal_port", count(settings.internalPort, 1, 65'535), true},
            {"seeds", listOf(settings.seeds, address), true},
            {"first_start", flag(settings.isFirstStart)},
            {"dialect", dialectName(settings.dialect), true},
    };
}

std::vector<SettingsField> listenFields(GatewaySettings &settings)
{
    return {
            {"callers", address(settings.callerListenAddress)},
            {"readiness", address(settings.readinessListenAddress)},
            {"control", address(settings.controlListenAddress)},
            {"entry_list", address(settings.entryListListenAddress)},
            {"metrics", address(settings.metricsListenAddress)},
    };
}

std::vector<SettingsField> limitFields(GatewaySettings &settings)
{
    return {
            {"connections", count(settings.maxConnections, 64, 10'000'000)},
            {"memory", count(settings.memoryMb, 32, 1'000'000)},
            {"tolerated_losses", count(settings.toleratedLosses, 0, 3)},
            {"heartbeat", duration(settings.heartbeatInterval, 20 * Millisecond, 60 * Second)},
            {"stop_bound", duration(settings.maxStopTime, 100 * Millisecond, Hour)},
            {"entry_list_lifetime", duration(settings.entryListLifetime, Second, Hour)},
            {"retry_ratio", number(settings.retryBudget.retriesPerRequest, 0, 10)},
            {"retry_window", duration(settings.retryBudget.window, Second, Hour)},
            {"retry_allowance", number(settings.retryBudget.allowance, 0, 1e6)},
    };
}

std::vector<SettingsField> rootFields(GatewaySettings &settings)
{
    return {
            {"node", section("'node'", nodeFields(settings)), true},
            {"listen", section("'listen'", listenFields(settings)), true},
            {"data", text(settings.dataFolder)},
            {"limits", section("'limits'", limitFields(settings))},
    };
}

} // namespace

std::string linkAddress(const GatewaySettings &settings)
{
    return settings.address + ":" + std::to_string(settings.internalPort);
}

std::vector<std::string> seedLinkAddresses(const GatewaySettings &settings)
{
    std::vector<std::string> addresses;
    for (const std::string &seed : settings.seeds)
        addresses.push_back(seed.substr(0, seed.rfind(':')) + ":"
                            + std::to_string(settings.internalPort));
    return addresses;
}

LoadedGatewaySettings parseGatewaySettings(const std::string &text, const std::string &file)
{
    LoadedGatewaySettings loaded;
    SettingsReader reader(file, loaded.findings);
    try {
        const YAML::Node root = YAML::Load(text);
        const std::vector<SettingsField> fields = rootFields(loaded.settings);
        readMapping(root, fields, "the settings", reader);
    } catch (const YAML::Exception &error) {
        reader.addFinding(error.mark, error.msg);
    }
    return loaded;
}

LoadedGatewaySettings loadGatewaySettings(const std::string &path)
{
    LoadedGatewaySettings readFailure;
    const auto text = readSettingsFile(path, readFailure.findings);
    return text ? parseGatewaySettings(*text, path) : readFailure;
}

} // namespace Trefoil
