#pragma once

#include "libcoord/time.h"
#include "libruntime/findings.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Reads YAML settings by tables of fields. All faults become findings with their place.

namespace Trefoil {

// Reads one file and collects findings.
class SettingsReader
{
public:
    SettingsReader(std::string file, std::vector<Finding> &findings)
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

using FieldReader = std::function<void(const YAML::Node &, SettingsReader &)>;

struct SettingsField
{
    std::string_view key;
    FieldReader read;
    bool isRequired = false;
};

// The text of a settings file; a finding when it cannot be read.
std::optional<std::string> readSettingsFile(const std::string &path,
                                            std::vector<Finding> &findings);

// Reads a mapping. Unknown, repeated and missing keys are findings.
void readMapping(const YAML::Node &node, std::span<const SettingsField> fields,
                 const std::string &where, SettingsReader &reader);

// A mapping inside another one.
FieldReader section(const std::string &name, std::vector<SettingsField> fields);

FieldReader text(std::string &into);
FieldReader address(std::string &into); // IP number and port
FieldReader listOf(std::vector<std::string> &into,
                   const std::function<FieldReader(std::string &)> &element);
FieldReader duration(Duration &into, Duration lowest, Duration highest); // like 300ms, 3s, 2m or 1h
FieldReader number(double &into, double lowest, double highest);
FieldReader flag(bool &into);

template <class T>
FieldReader count(T &into, std::uint64_t lowest, std::uint64_t highest)
{
    return [&into, lowest, highest](const YAML::Node &node, SettingsReader &reader) {
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

} // namespace Trefoil
