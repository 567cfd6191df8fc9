#pragma once

#include <map>
#include <string>
#include <vector>

namespace Trefoil {

// Holds the named implementations of one interface. A plug-in adds itself through a static
// Registration.
template <class Plugin>
class PluginRegistry
{
public:
    class Registration
    {
    public:
        Registration(const std::string &name, Plugin plugin)
        {
            plugins().emplace(name, std::move(plugin));
        }
    };

    // Returns the plug-in with the name, or null.
    static const Plugin *find(const std::string &name)
    {
        const auto found = plugins().find(name);
        return found == plugins().end() ? nullptr : &found->second;
    }

    // Returns the names of all plug-ins in alphabetical order.
    static std::vector<std::string> names()
    {
        std::vector<std::string> all;
        for (const auto &[name, plugin] : plugins())
            all.push_back(name);
        return all;
    }

private:
    static std::map<std::string, Plugin> &plugins()
    {
        static std::map<std::string, Plugin> instance;
        return instance;
    }
};

} // namespace Trefoil
