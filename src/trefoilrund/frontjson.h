#pragma once

#include "trefoilrund/messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Trefoil {

// JSON bodies of the interfaces for callers, endpoints and operators (docs/interfaces.md).

// An invalid request: the body field, header or path, and what is wrong with it.
struct RequestError
{
    std::string field;
    std::string message;
};

// The parts of a chat-completions request that routing needs.
struct ChatRequestInfo
{
    std::string model;
    bool isStreaming = false;
    // Estimated from the length of the messages.
    double promptTokens = 1;
    // Hash of the first message.
    std::uint64_t prefixHash = 0;
};

std::variant<ChatRequestInfo, RequestError> parseChatRequest(const std::string &body);
std::variant<Vm, RequestError> parseAnnouncement(const std::string &body);
std::variant<VmReport, RequestError> parseHeartbeat(const std::string &body);
std::variant<VmLeaveRequest, RequestError> parseLeave(const std::string &body);

std::string entryListJson(std::span<const Member> members, const std::string &ownDomain,
                          Duration lifetime);
std::string outcomeErrorJson(Outcome outcome, Reason reason, Duration retryAfter,
                             std::span<const Member> members);
std::string invalidRequestJson(const RequestError &error);
std::string endpointReplyJson(const EndpointReply &reply);
std::string orderJson(const EngineOrder &order);
std::string operatorReplyJson(const OperatorReply &reply);

// Describes the reason of an outcome to users.
std::string describeReason(Reason reason);

// Token counts from the `usage` object of an engine's response.
struct TokenUsage
{
    std::uint64_t generatedTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
};

// Returns nothing if the text is not a JSON object with a `usage` object.
std::optional<TokenUsage> parseUsage(std::string_view text);

} // namespace Trefoil
