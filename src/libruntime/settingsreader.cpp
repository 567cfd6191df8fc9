#include "libruntime/settingsreader.h"

#include "libruntime/address.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace Trefoil {

std::optional<std::string> readSettingsFile(const std::string &path, std::vector<Finding> &findings)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (in)
        return text.str();
    findings.push_back({path, 0, 0, "cannot read the file"});
    return std::nullopt;
}

void readMapping(const YAML::Node &node, std::span<const SettingsField> fields,
                 const std::string &name, SettingsReader &reader)
{
    if (!node.IsMap()) {
        reader.addFinding(node.Mark(), name + " must be a mapping");
        return;
    }
    std::vector<std::string_view> knownKeys;
    for (const SettingsField &field : fields)
        knownKeys.push_back(field.key);
    std::set<std::string> seenKeys;
    for (const auto &item : node) {
        const auto key = item.first.as<std::string>("");
        if (!seenKeys.insert(key).second) {
            reader.addFinding(item.first.Mark(), "duplicate key '" + key + "' in " + name);
            continue;
        }
        const auto field = std::find_if(fields.begin(), fields.end(),
                                        [&key](const SettingsField &f) { return f.key == key; });
        if (field != fields.end()) {
            field->read(item.second, reader);
            continue;
        }
        const std::string nearest = nearestName(key, knownKeys);
        reader.addFinding(item.first.Mark(),
                          "unknown key '" + key + "' in " + name
                                  + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    for (const SettingsField &field : fields) {
        if (field.isRequired && !seenKeys.contains(std::string(field.key)))
            reader.addFinding(node.Mark(),
                              "missing key '" + std::string(field.key) + "' in " + name);
    }
}

FieldReader text(std::string &target)
{
    return [&target](const YAML::Node &node, SettingsReader &reader) {
        if (!node.IsScalar() || node.Scalar().empty())
            reader.addFinding(node.Mark(), "expected a non-empty text");
        else
            target = node.Scalar();
    };
}

FieldReader address(std::string &target)
{
    return [&target](const YAML::Node &node, SettingsReader &reader) {
        if (!node.IsScalar() || !parseAddress(node.Scalar()))
            reader.addFinding(node.Mark(), "expected an IP address and a port, like 10.0.0.1:7100");
        else
            target = node.Scalar();
    };
}

FieldReader listOf(std::vector<std::string> &target,
                   const std::function<FieldReader(std::string &)> &element)
{
    return [&target, element](const YAML::Node &node, SettingsReader &reader) {
        if (!node.IsSequence()) {
            reader.addFinding(node.Mark(), "expected a list");
            return;
        }
        for (const YAML::Node &item : node) {
            std::string value;
            element(value)(item, reader);
            target.push_back(value);
        }
    };
}

namespace {

// Parses a whole number and its unit.
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

} // namespace

FieldReader duration(Duration &target, Duration minimum, Duration maximum)
{
    return [&target, minimum, maximum](const YAML::Node &node, SettingsReader &reader) {
        const auto value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
        if (!value)
            reader.addFinding(node.Mark(), "expected a duration, like 300ms, 3s or 2m");
        else if (*value < minimum || *value > maximum)
            reader.addFinding(node.Mark(), "duration out of range");
        else
            target = *value;
    };
}

FieldReader flag(bool &target)
{
    return [&target](const YAML::Node &node, SettingsReader &reader) {
        if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
            target = node.Scalar() == "true";
        else
            reader.addFinding(node.Mark(), "expected true or false");
    };
}

FieldReader number(double &target, double minimum, double maximum)
{
    return [&target, minimum, maximum](const YAML::Node &node, SettingsReader &reader) {
        double value = 0;
        const std::string scalar = node.IsScalar() ? node.Scalar() : std::string();
        const char *end = scalar.data() + scalar.size();
        const auto parsed = std::from_chars(scalar.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            reader.addFinding(node.Mark(), "expected a number");
        else if (value < minimum || value > maximum)
            reader.addFinding(node.Mark(), "number out of range");
        else
            target = value;
    };
}

FieldReader section(const std::string &name, std::vector<SettingsField> fields)
{
    return [name, fields = std::move(fields)](const YAML::Node &node, SettingsReader &reader) {
        readMapping(node, fields, name, reader);
    };
}

} // namespace Trefoil
