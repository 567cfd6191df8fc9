#include "trefoilctl/output.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <vector>

namespace Trefoil {

namespace json = boost::json;

namespace {

std::string formatCell(const json::value &cell)
{
    if (cell.is_string())
        return std::string(cell.as_string());
    if (cell.is_int64())
        return std::to_string(cell.as_int64());
    char buffer[64];
    if (cell.is_double()) {
        std::snprintf(buffer, sizeof(buffer), "%.6g", cell.as_double());
        return buffer;
    }
    if (!cell.is_object())
        return json::serialize(cell);
    const auto quantile = [&cell](const char *name) {
        return cell.as_object().at(name).to_number<double>();
    };
    std::snprintf(buffer, sizeof(buffer), "p50 %.3g ms, p99 %.3g ms", quantile("p50_ms"),
                  quantile("p99_ms"));
    return buffer;
}

std::string formatTable(const json::object &reply)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const json::value &column : reply.at("columns").as_array())
        lines[0].push_back(std::string(column.as_string()));
    for (const json::value &row : reply.at("rows").as_array()) {
        std::vector<std::string> line;
        for (const std::string &column : lines[0])
            line.push_back(formatCell(row.as_object().at(column)));
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(lines[0].size());
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            text += line[i];
            if (i + 1 < line.size())
                text.append(widths[i] - line[i].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

std::string joinStrings(const json::value &strings)
{
    std::string text;
    for (const json::value &item : strings.as_array())
        text += (text.empty() ? "" : ", ") + std::string(item.as_string());
    return text;
}

std::string stringField(const json::object &reply, const char *name)
{
    const json::value *value = reply.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::string formatError(const json::object &reply, const std::string &statement)
{
    std::string text;
    if (const json::value *column = reply.if_contains("column")) {
        const auto columnNumber = column->to_number<std::size_t>();
        text += statement + "\n" + std::string(columnNumber - 1, ' ') + "^\n";
    }
    return text + "error (" + stringField(reply, "code") + "): " + stringField(reply, "message")
           + "\n";
}

} // namespace

FormattedReply formatReply(const std::string &body, const std::string &statement)
{
    const json::value value = json::parse(body);
    const json::object &reply = value.as_object();
    FormattedReply formatted;
    formatted.isOk = reply.at("ok").as_bool();
    if (!formatted.isOk) {
        formatted.text = formatError(reply, statement);
        return formatted;
    }
    formatted.text = stringField(reply, "text");
    if (reply.contains("columns"))
        formatted.text += formatTable(reply);
    const bool isChange = reply.contains("code");
    if (isChange)
        formatted.text += "accepted at version "
                          + std::to_string(reply.at("version").to_number<std::uint64_t>()) + "\n";
    if (const json::value *inForce = reply.if_contains("in_force")) {
        formatted.isInForce = inForce->as_bool();
        formatted.text += formatted.isInForce ? "in force on every entry\n"
                                              : "not yet in force on every entry\n";
    }
    if (const json::value *missing = reply.if_contains("missing"))
        formatted.text += "no answer from: " + joinStrings(*missing) + "\n";
    return formatted;
}

} // namespace Trefoil
