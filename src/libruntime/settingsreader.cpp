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

// Reads a mapping. Unknown, repeated and missing keys are findings.
void readMapping(const YAML::Node &node, std::span<const SettingsField> fields,
                 const std::string &where, SettingsReader &reader)
{
    if (!node.IsMap()) {
        reader.add(node.Mark(), where + " must be a mapping");
        return;
    }
    std::vector<std::string_view> known;
    for (const SettingsField &field : fields)
        known.push_back(field.key);
    std::set<std::string> seen;
    for (const auto &item : node) {
        const auto key = item.first.as<std::string>("");
        if (!seen.insert(key).second) {
            reader.add(item.first.Mark(), "key '" + key + "' stands twice in " + where);
            continue;
        }
        const auto field = std::find_if(fields.begin(), fields.end(),
                                        [&key](const SettingsField &f) { return f.key == key; });
        if (field != fields.end()) {
            field->read(item.second, reader);
            continue;
        }
        const std::string nearest = nearestName(key, known);
        reader.add(item.first.Mark(),
                   "unknown key '" + key + "' in " + where
                           + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    for (const SettingsField &field : fields) {
        if (field.isRequired && !seen.contains(std::string(field.key)))
            reader.add(node.Mark(), "missing key '" + std::string(field.key) + "' in " + where);
    }
}

FieldReader text(std::string &into)
{
    return [&into](const YAML::Node &node, SettingsReader &reader) {
        if (!node.IsScalar() || node.Scalar().empty())
            reader.add(node.Mark(), "expected a text");
        else
            into = node.Scalar();
    };
}

FieldReader address(std::string &into)
{
    return [&into](const YAML::Node &node, SettingsReader &reader) {
        if (!node.IsScalar() || !parseAddress(node.Scalar()))
            reader.add(node.Mark(), "expected an IP number and a port, like 10.0.0.1:7100");
        else
            into = node.Scalar();
    };
}

FieldReader listOf(std::vector<std::string> &into,
                   const std::function<FieldReader(std::string &)> &element)
{
    return [&into, element](const YAML::Node &node, SettingsReader &reader) {
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

namespace {

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

FieldReader duration(Duration &into, Duration lowest, Duration highest)
{
    return [&into, lowest, highest](const YAML::Node &node, SettingsReader &reader) {
        const auto value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
        if (!value)
            reader.add(node.Mark(), "expected a duration, like 300ms, 3s or 2m");
        else if (*value < lowest || *value > highest)
            reader.add(node.Mark(), "duration out of range");
        else
            into = *value;
    };
}

FieldReader flag(bool &into)
{
    return [&into](const YAML::Node &node, SettingsReader &reader) {
        if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
            into = node.Scalar() == "true";
        else
            reader.add(node.Mark(), "expected true or false");
    };
}

FieldReader number(double &into, double lowest, double highest)
{
    return [&into, lowest, highest](const YAML::Node &node, SettingsReader &reader) {
        double value = 0;
        const std::string scalar = node.IsScalar() ? node.Scalar() : std::string();
        const char *end = scalar.data() + scalar.size();
        const auto parsed = std::from_chars(scalar.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            reader.add(node.Mark(), "expected a number");
        else if (value < lowest || value > highest)
            reader.add(node.Mark(), "number out of range");
        else
            into = value;
    };
}

FieldReader section(const std::string &name, std::vector<SettingsField> fields)
{
    return [name, fields = std::move(fields)](const YAML::Node &node, SettingsReader &reader) {
        readMapping(node, fields, name, reader);
    };
}

} // namespace Trefoil
