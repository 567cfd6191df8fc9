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

// Reads YAML settings by tables of fields. Every error becomes a finding with its position.

namespace Trefoil {

// Collects the findings of one file while it is read.
class SettingsReader
{
public:
    SettingsReader(std::string file, std::vector<Finding> &findings)
        : file_(std::move(file))
        , findings_(findings)
    {}

    // Adds a finding at the mark, or for the whole file when the mark is null.
    void addFinding(const YAML::Mark &mark, const std::string &message)
    {
        const bool hasPosition = !mark.is_null();
        findings_.push_back({file_, hasPosition ? static_cast<std::size_t>(mark.line) + 1 : 0,
                             hasPosition ? static_cast<std::size_t>(mark.column) + 1 : 0, message});
    }

private:
    std::string file_;
    std::vector<Finding> &findings_;
};

// Reads the value of a field into a variable, or adds a finding.
using FieldReader = std::function<void(const YAML::Node &, SettingsReader &)>;

// A key of a mapping and the reader of its value.
struct SettingsField
{
    std::string_view key;
    FieldReader read;
    bool isRequired = false;
};

// Returns the text of a settings file, or adds a finding when it cannot be read.
std::optional<std::string> readSettingsFile(const std::string &path,
                                            std::vector<Finding> &findings);

// Reads a mapping. Unknown, repeated and missing keys are findings. `name` names the mapping in
// them.
void readMapping(const YAML::Node &node, std::span<const SettingsField> fields,
                 const std::string &name, SettingsReader &reader);

// The functions below return the readers for the tables of fields. A reader of a single value sets
// `target` only when the value is valid and in the range.

// Reads a mapping inside another one. `name` names it in findings.
FieldReader section(const std::string &name, std::vector<SettingsField> fields);

// Reads a text that is not empty.
FieldReader text(std::string &target);

// Reads an IP address and a port.
FieldReader address(std::string &target);

// Reads a list. `element` returns the reader of one element.
FieldReader listOf(std::vector<std::string> &target,
                   const std::function<FieldReader(std::string &)> &element);

// Reads a duration, such as 300ms, 3s, 2m or 1h.
FieldReader duration(Duration &target, Duration minimum, Duration maximum);

// Reads a number, which can have a fraction.
FieldReader number(double &target, double minimum, double maximum);

// Reads `true` or `false`.
FieldReader flag(bool &target);

// Reads a whole number.
template <class T>
FieldReader count(T &target, std::uint64_t minimum, std::uint64_t maximum)
{
    return [&target, minimum, maximum](const YAML::Node &node, SettingsReader &reader) {
        std::uint64_t value = 0;
        const std::string scalar = node.IsScalar() ? node.Scalar() : std::string();
        const char *end = scalar.data() + scalar.size();
        const auto parsed = std::from_chars(scalar.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            reader.addFinding(node.Mark(), "expected a whole number");
        else if (value < minimum || value > maximum)
            reader.addFinding(node.Mark(), "number out of range: " + std::to_string(minimum)
                                                   + " to " + std::to_string(maximum));
        else
            target = static_cast<T>(value);
    };
}

} // namespace Trefoil
