#pragma once

#include <map>
#include <string>
#include <vector>

namespace Trefoil {

// Named implementations of one kind. Plug-ins add themselves through a static Registration.
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

    // Returns null when no plug-in has the name.
    static const Plugin *find(const std::string &name)
    {
        const auto found = plugins().find(name);
        return found == plugins().end() ? nullptr : &found->second;
    }

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
