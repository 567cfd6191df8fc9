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
    const auto add = [&](const std::string &what) {
        findings.push_back({"configuration", 0, 0, "route '" + route.name + "': " + what});
    };
    if (route.host.empty())
        add("the host is missing");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        add("the path prefix must begin and end with a slash");
    if (route.timeout <= Duration::zero())
        add("the timeout must be positive");
    if (route.split.empty())
        add("no service is named");
    double total = 0;
    for (const TrafficShare &share : route.split) {
        if (!config.serviceByName.contains(share.service))
            add("unknown service '" + share.service + "'");
        if (share.weight < 0)
            add("the weight of '" + share.service + "' is negative");
        total += share.weight;
    }
    if (!route.split.empty() && total <= 0)
        add("the weights add up to 0");
}

} // namespace

void indexConfiguration(ServiceConfiguration &config)
{
    config.routesByHost.clear();
    config.workspaceByKey.clear();
    config.serviceByName.clear();
    for (std::size_t i = 0; i < config.routes.size(); ++i)
        config.routesByHost[toLower(config.routes[i].host)].push_back(i);
    for (auto &[host, routes] : config.routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [&config](std::size_t a, std::size_t b) {
            return config.routes[a].pathPrefix.size() > config.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
        for (const std::string &key : config.workspaces[i].keys)
            config.workspaceByKey.emplace(key, i);
    }
    for (std::size_t i = 0; i < config.services.size(); ++i)
        config.serviceByName.emplace(config.services[i].name, i);
}

std::vector<Finding> validateConfiguration(const ServiceConfiguration &config)
{
    std::vector<Finding> findings;
    std::set<std::pair<std::string, std::string>> places;
    for (const Route &route : config.routes) {
        validateRoute(config, route, findings);
        if (!places.emplace(toLower(route.host), route.pathPrefix).second)
            findings.push_back({"configuration", 0, 0,
                                "route '" + route.name
                                        + "': another route has the same host and "
                                          "path prefix"});
    }
    std::map<std::string, std::string> owners;
    for (const WorkspaceKeys &workspace : config.workspaces) {
        for (const std::string &key : workspace.keys) {
            const auto [owner, isNew] = owners.emplace(key, workspace.name);
            if (!isNew && owner->second != workspace.name)
                findings.push_back({"configuration", 0, 0,
                                    "workspaces '" + owner->second + "' and '" + workspace.name
                                            + "' share a key"});
        }
    }
    std::set<std::string> services;
    for (const Service &service : config.services) {
        if (!services.insert(service.name).second)
            findings.push_back(
                    {"configuration", 0, 0, "service '" + service.name + "' stands twice"});
    }
    return findings;
}

const Route *matchRoute(const ServiceConfiguration &config, std::string_view host,
                        std::string_view path)
{
    const auto routes = config.routesByHost.find(toLower(withoutPort(host)));
    if (routes == config.routesByHost.end())
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
    const auto found = config.workspaceByKey.find(std::string(key));
    return found == config.workspaceByKey.end() ? nullptr : &config.workspaces[found->second];
}

const Service *findService(const ServiceConfiguration &config, const std::string &name)
{
    const auto found = config.serviceByName.find(name);
    return found == config.serviceByName.end() ? nullptr : &config.services[found->second];
}

const ModelProfile *findModel(const EngineProfile &engine, std::string_view model)
{
    const auto found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [model](const ModelProfile &m) { return m.name == model; });
    return found == engine.models.end() ? nullptr : &*found;
}

const std::string &pickService(const Route &route, double point)
{
    double total = 0;
    for (const TrafficShare &share : route.split)
        total += share.weight;
    double left = point * total;
    for (const TrafficShare &share : route.split) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    // Rounding may leave a remainder; the last share with a weight takes it.
    const auto last = std::find_if(route.split.rbegin(), route.split.rend(),
                                   [](const TrafficShare &share) { return share.weight > 0; });
    return last == route.split.rend() ? route.split.back().service : last->service;
}

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Idempotent
           || (route.kind == RouteKind::Stream && route.isResumable);
}

} // namespace Trefoil
