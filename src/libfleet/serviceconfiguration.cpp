#include "libfleet/serviceconfiguration.h"

#include <algorithm>
#include <set>

namespace Trefoil {

namespace {

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool isIpv6 = host.find(']') != std::string_view::npos;
    if (colon == std::string_view::npos || isIpv6)
        return host;
    return host.substr(0, colon);
}

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

void validateRoute(const ServiceConfiguration &config, const Route &route,
                   std::vector<Finding> &findings)
{
    const auto addFinding = [&](const std::string &text) {
        findings.push_back({"configuration", 0, 0, "route '" + route.name + "': " + text});
    };
    if (route.host.empty())
        addFinding("the host is missing");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        addFinding("the path prefix must begin and end with a slash");
    if (route.timeout <= Duration::zero())
        addFinding("the timeout must be positive");
    if (route.trafficSplit.empty())
        addFinding("no service is named");
    double totalWeight = 0;
    for (const TrafficShare &share : route.trafficSplit) {
        if (!config.serviceIndexByName.contains(share.service))
            addFinding("unknown service '" + share.service + "'");
        if (share.weight < 0)
            addFinding("the weight of '" + share.service + "' is negative");
        totalWeight += share.weight;
    }
    if (!route.trafficSplit.empty() && totalWeight <= 0)
        addFinding("the weights add up to 0");
}

} // namespace

void indexConfiguration(ServiceConfiguration &config)
{
    config.routeIndicesByHost.clear();
    config.workspaceIndexByKey.clear();
    config.serviceIndexByName.clear();
    for (std::size_t i = 0; i < config.routes.size(); ++i)
        config.routeIndicesByHost[toLower(config.routes[i].host)].push_back(i);
    for (auto &[host, routes] : config.routeIndicesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [&config](std::size_t a, std::size_t b) {
            return config.routes[a].pathPrefix.size() > config.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
        for (const std::string &key : config.workspaces[i].keys)
            config.workspaceIndexByKey.emplace(key, i);
    }
    for (std::size_t i = 0; i < config.services.size(); ++i)
        config.serviceIndexByName.emplace(config.services[i].name, i);
}

std::vector<Finding> validateConfiguration(const ServiceConfiguration &config)
{
    std::vector<Finding> findings;
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &route : config.routes) {
        validateRoute(config, route, findings);
        if (!hostsAndPrefixes.emplace(toLower(route.host), route.pathPrefix).second)
            findings.push_back({"configuration", 0, 0,
                                "route '" + route.name
                                        + "': another route has the same host and "
                                          "path prefix"});
    }
    std::map<std::string, std::string> workspaceNamesByKey;
    for (const WorkspaceKeys &workspace : config.workspaces) {
        for (const std::string &key : workspace.keys) {
            const auto [known, isNew] = workspaceNamesByKey.emplace(key, workspace.name);
            if (!isNew && known->second != workspace.name)
                findings.push_back({"configuration", 0, 0,
                                    "workspaces '" + known->second + "' and '" + workspace.name
                                            + "' share a key"});
        }
    }
    std::set<std::string> serviceNames;
    for (const Service &service : config.services) {
        if (!serviceNames.insert(service.name).second)
            findings.push_back(
                    {"configuration", 0, 0, "service '" + service.name + "' stands twice"});
    }
    return findings;
}

const Route *matchRoute(const ServiceConfiguration &config, std::string_view host,
                        std::string_view path)
{
    const auto routes = config.routeIndicesByHost.find(toLower(withoutPort(host)));
    if (routes == config.routeIndicesByHost.end())
        return nullptr;
    for (const std::size_t index : routes->second) {
        const Route &route = config.routes[index];
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const WorkspaceKeys *findWorkspace(const ServiceConfiguration &config, std::string_view key)
{
    const auto found = config.workspaceIndexByKey.find(std::string(key));
    return found == config.workspaceIndexByKey.end() ? nullptr : &config.workspaces[found->second];
}

const Service *findService(const ServiceConfiguration &config, const std::string &name)
{
    const auto found = config.serviceIndexByName.find(name);
    return found == config.serviceIndexByName.end() ? nullptr : &config.services[found->second];
}

const ModelProfile *findModel(const EngineProfile &engine, std::string_view model)
{
    const auto found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [model](const ModelProfile &m) { return m.name == model; });
    return found == engine.models.end() ? nullptr : &*found;
}

const std::string &pickService(const Route &route, double randomFraction)
{
    double totalWeight = 0;
    for (const TrafficShare &share : route.trafficSplit)
        totalWeight += share.weight;
    double remaining = randomFraction * totalWeight;
    for (const TrafficShare &share : route.trafficSplit) {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    // Rounding may leave a remainder, which goes to the last service with a weight.
    const auto lastWeighted =
            std::find_if(route.trafficSplit.rbegin(), route.trafficSplit.rend(),
                         [](const TrafficShare &share) { return share.weight > 0; });
    return lastWeighted == route.trafficSplit.rend() ? route.trafficSplit.back().service
                                                     : lastWeighted->service;
}

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Idempotent
           || (route.kind == RouteKind::Stream && route.isResumable);
}

} // namespace Trefoil
