#include "trefoilrund/frontjson.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <cmath>

namespace Trefoil {

namespace json = boost::json;

namespace {

// Typical length of a prompt token.
constexpr double BytesPerToken = 4;
constexpr std::size_t MaxNameBytes = 200;

// Reads typed fields of a JSON object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const std::string &body)
    {
        boost::system::error_code error;
        value_ = json::parse(body, error);
        if (error)
            setError("", "the body is not JSON: " + error.message());
        else if (!value_.is_object())
            setError("", "the body must be an object");
    }

    bool hasError() const { return error_.has_value(); }
    RequestError error() const { return *error_; }

    void setError(const std::string &field, const std::string &message)
    {
        if (!error_)
            error_ = RequestError{field, message};
    }

    const json::value *findField(const std::string &field) const
    {
        return value_.is_object() ? value_.as_object().if_contains(field) : nullptr;
    }

    std::string readString(const std::string &field, bool isRequired)
    {
        const json::value *value = findField(field);
        if (!value && !isRequired)
            return {};
        if (!value || !value->is_string() || value->as_string().empty()
            || value->as_string().size() > MaxNameBytes) {
            setError(field, "must be a text of 1 to 200 bytes");
            return {};
        }
        return std::string(value->as_string());
    }

    std::uint64_t readInteger(const std::string &field, std::uint64_t minimum,
                              std::uint64_t maximum, std::uint64_t fallback)
    {
        const json::value *value = findField(field);
        if (!value)
            return fallback;
        boost::system::error_code error;
        const auto number = value->to_number<std::uint64_t>(error);
        if (error || number < minimum || number > maximum) {
            setError(field, "must be a whole number from " + std::to_string(minimum) + " to "
                                    + std::to_string(maximum));
            return fallback;
        }
        return number;
    }

    bool readFlag(const std::string &field)
    {
        const json::value *value = findField(field);
        if (value && !value->is_bool())
            setError(field, "must be true or false");
        return value && value->is_bool() && value->as_bool();
    }

private:
    json::value value_;
    std::optional<RequestError> error_;
};

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Returns the text of a message's content, or its JSON when it is not a plain string.
std::string contentText(const json::value &content)
{
    if (content.is_string())
        return std::string(content.as_string());
    return json::serialize(content);
}

void readMessages(FieldReader &reader, ChatRequestInfo &chat)
{
    const json::value *messages = reader.findField("messages");
    if (!messages || !messages->is_array() || messages->as_array().empty()) {
        reader.setError("messages", "must be a list with at least one message");
        return;
    }
    std::size_t bytes = 0;
    for (const json::value &message : messages->as_array()) {
        const json::value *content =
                message.is_object() ? message.as_object().if_contains("content") : nullptr;
        if (!content) {
            reader.setError("messages", "each message must be an object with a content");
            return;
        }
        const std::string text = contentText(*content);
        if (chat.prefixHash == 0)
            chat.prefixHash = hashText(text);
        bytes += text.size();
    }
    chat.promptTokens = std::max(1.0, std::ceil(static_cast<double>(bytes) / BytesPerToken));
}

template <class T>
std::variant<T, RequestError> resultOrError(const FieldReader &reader, T value)
{
    if (reader.hasError())
        return reader.error();
    return value;
}

json::array addressArray(std::span<const Member> members)
{
    json::array addresses;
    for (const Member &member : members)
        addresses.emplace_back(member.callerAddress);
    return addresses;
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

json::value cellValue(const Cell &cell)
{
    if (const auto *integer = std::get_if<std::int64_t>(&cell))
        return *integer;
    if (const auto *real = std::get_if<double>(&cell))
        return *real;
    if (const auto *text = std::get_if<std::string>(&cell))
        return json::value(*text);
    const auto &histogram = std::get<DurationHistogram>(cell);
    return json::object{{"p50_ms", quantileMs(histogram, 0.5)},
                        {"p95_ms", quantileMs(histogram, 0.95)},
                        {"p99_ms", quantileMs(histogram, 0.99)}};
}

json::array rowArray(const OperatorReply &reply)
{
    json::array rows;
    const TableSpec *table = findTable(reply.table);
    for (const Row &row : reply.rows) {
        json::object object;
        for (std::size_t i = 0; table && i < table->columns.size(); ++i) {
            const auto name = table->columns[i].name;
            object[json::string_view(name.data(), name.size())] = cellValue(row[i]);
        }
        rows.emplace_back(std::move(object));
    }
    return rows;
}

} // namespace

std::variant<ChatRequestInfo, RequestError> parseChatRequest(const std::string &body)
{
    FieldReader reader(body);
    ChatRequestInfo chat;
    chat.model = reader.readString("model", true);
    chat.isStreaming = reader.readFlag("stream");
    readMessages(reader, chat);
    return resultOrError(reader, chat);
}

std::variant<Vm, RequestError> parseAnnouncement(const std::string &body)
{
    FieldReader reader(body);
    Vm vm;
    vm.id = reader.readString("vm", true);
    vm.address = reader.readString("address", true);
    if (!reader.hasError() && !parseAddress(vm.address))
        reader.setError("address", "must be an IP number and a port, like 10.0.0.1:8000");
    vm.domain = reader.readString("domain", true);
    vm.service = reader.readString("service", false);
    vm.role = vm.service.empty() ? VmRole::Engine : VmRole::Service;
    vm.fabric = reader.readString("fabric", vm.role == VmRole::Engine);
    vm.accelerators = static_cast<std::uint32_t>(reader.readInteger("accelerators", 0, 1024, 0));
    vm.slots = static_cast<std::uint32_t>(reader.readInteger("slots", 1, 1'000'000, 1));
    vm.incarnation = reader.readInteger("incarnation", 1, UINT64_MAX, 0);
    if (vm.incarnation == 0)
        reader.setError("incarnation", "must be a number that grows with each start of the VM");
    vm.enforcesFencing = reader.readFlag("enforces_fencing");
    return resultOrError(reader, vm);
}

std::variant<VmReport, RequestError> parseHeartbeat(const std::string &body)
{
    FieldReader reader(body);
    VmReport report;
    report.vm = reader.readString("vm", true);
    report.incarnation = reader.readInteger("incarnation", 1, UINT64_MAX, 0);
    report.group = reader.readInteger("group", 0, UINT64_MAX, 0);
    report.inFlight = static_cast<std::uint32_t>(reader.readInteger("in_flight", 0, UINT32_MAX, 0));
    const std::string state = reader.readString("state", false);
    if (state == "ready")
        report.state = EngineState::Ready;
    else if (state == "loading")
        report.state = EngineState::Loading;
    else if (!state.empty() && state != "idle")
        reader.setError("state", "must be idle, loading or ready");
    const json::value *weights = reader.findField("weights");
    if (weights && !weights->is_array())
        reader.setError("weights", "must be a list of model@version");
    if (weights && weights->is_array()) {
        for (const json::value &name : weights->as_array()) {
            if (name.is_string())
                report.heldWeights.insert(std::string(name.as_string()));
            else
                reader.setError("weights", "must be a list of model@version");
        }
    }
    return resultOrError(reader, report);
}

std::variant<VmLeaveRequest, RequestError> parseLeave(const std::string &body)
{
    FieldReader reader(body);
    VmLeaveRequest leave;
    leave.vm = reader.readString("vm", true);
    leave.incarnation = reader.readInteger("incarnation", 1, UINT64_MAX, 0);
    if (leave.incarnation == 0)
        reader.setError("incarnation", "must be the incarnation that was announced");
    return resultOrError(reader, leave);
}

std::string entryListJson(std::span<const Member> members, const std::string &ownDomain,
                          Duration lifetime)
{
    json::array entries;
    for (const Member &member : members) {
        entries.emplace_back(json::object{{"address", member.callerAddress},
                                          {"domain", member.domain},
                                          {"weight", member.domain == ownDomain ? 100 : 10}});
    }
    return json::serialize(json::object{{"entries", std::move(entries)},
                                        {"lifetime_ms", toMilliseconds(lifetime)}});
}

std::string describeReason(Reason reason)
{
    switch (reason) {
    case Reason::UnknownTarget:
        return "there is no such deployment or service";
    case Reason::UnknownWorkspace:
        return "there is no such workspace";
    case Reason::Stale:
        return "this entry cannot confirm its configuration; ask another one";
    case Reason::Draining:
        return "this entry is stopping; ask another one";
    case Reason::Overloaded:
        return "the workspace's queue cannot be served before the deadline";
    case Reason::NoCapacity:
        return "nothing can take the request now";
    case Reason::DeadlinePassed:
        return "the deadline passed";
    case Reason::KeyMismatch:
        return "the idempotency key was used for another request";
    case Reason::KeyRunning:
        return "a call with this idempotency key is running";
    case Reason::KeyUnavailable:
        return "the idempotency key could not be recorded";
    case Reason::ConnectFailed:
        return "the endpoint could not be reached";
    case Reason::EndpointRefused:
        return "the endpoint refused the request without running it";
    case Reason::EndpointFailed:
        return "the endpoint reported an error";
    case Reason::ConnectionLost:
        return "the connection to the endpoint was lost";
    case Reason::Silent:
        return "the endpoint made no progress";
    case Reason::CallerGone:
        return "the caller closed the connection";
    case Reason::EntryLost:
        return "the entry that ran the request is gone";
    case Reason::None:
        break;
    }
    return {};
}

std::string outcomeErrorJson(Outcome outcome, Reason reason, Duration retryAfter,
                             std::span<const Member> members)
{
    json::object error{{"outcome", toString(outcome)},
                       {"type", toString(reason)},
                       {"message", describeReason(reason)}};
    if (retryAfter > Duration{})
        error["retry_after_ms"] = toMilliseconds(retryAfter);
    error["entries"] = addressArray(members);
    return json::serialize(json::object{{"error", std::move(error)}});
}

std::string invalidRequestJson(const RequestError &error)
{
    return json::serialize(json::object{{"error", json::object{{"outcome", "not-run"},
                                                               {"type", "invalid-request"},
                                                               {"field", error.field},
                                                               {"message", error.message}}}});
}

std::string endpointReplyJson(const EndpointReply &reply)
{
    json::object object{{"accepted", reply.isAccepted},
                        {"must_announce", reply.mustAnnounce},
                        {"report_to", reply.reportTo},
                        {"heartbeat_ms", reply.heartbeatIntervalMs}};
    if (!reply.error.empty())
        object["error"] = reply.error;
    return json::serialize(object);
}

std::string orderJson(const EngineOrder &order)
{
    json::array members;
    for (const std::string &member : order.members)
        members.emplace_back(member);
    return json::serialize(json::object{{"order", "serve"},
                                        {"vm", order.vm},
                                        {"group", order.group},
                                        {"fence", order.group},
                                        {"rank", order.rank},
                                        {"members", std::move(members)},
                                        {"model", order.model},
                                        {"version", order.version}});
}

std::string operatorReplyJson(const OperatorReply &reply)
{
    json::object object{{"ok", reply.isOk}, {"version", reply.version}};
    if (!reply.code.empty())
        object["code"] = reply.code;
    if (!reply.message.empty())
        object["message"] = reply.message;
    if (reply.column > 0)
        object["column"] = reply.column;
    if (reply.inForce)
        object["in_force"] = *reply.inForce;
    if (!reply.text.empty())
        object["text"] = reply.text;
    json::array missing;
    for (const EntryId &entry : reply.missing)
        missing.emplace_back(entry);
    if (!missing.empty())
        object["missing"] = std::move(missing);
    if (const TableSpec *table = findTable(reply.table)) {
        json::array columns;
        for (const ColumnSpec &column : table->columns)
            columns.emplace_back(json::string_view(column.name.data(), column.name.size()));
        object["table"] = reply.table;
        object["columns"] = std::move(columns);
        object["rows"] = rowArray(reply);
    }
    return json::serialize(object);
}

std::optional<TokenUsage> parseUsage(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return std::nullopt;
    const json::value *usage = value.as_object().if_contains("usage");
    if (!usage || !usage->is_object())
        return std::nullopt;
    TokenUsage tokens;
    if (const json::value *generated = usage->as_object().if_contains("completion_tokens"))
        tokens.generatedTokens = generated->to_number<std::uint64_t>(error);
    const json::value *details = usage->as_object().if_contains("prompt_tokens_details");
    if (details && details->is_object()) {
        if (const json::value *cached = details->as_object().if_contains("cached_tokens"))
            tokens.cachedPromptTokens = cached->to_number<std::uint64_t>(error);
    }
    return tokens;
}

} // namespace Trefoil
