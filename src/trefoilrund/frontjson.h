#pragma once

#include "trefoilrund/messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Trefoil {

// JSON bodies of the callers' and endpoints' interfaces (docs/interfaces.md).

// A fault in a request body: the field and what is wrong with it.
struct BodyError
{
    std::string field;
    std::string message;
};

// What routing needs of a chat-completions body.
struct ChatFacts
{
    std::string model;
    bool stream = false;
    double promptTokens = 1;      // estimated from the length of the messages
    std::uint64_t prefixHash = 0; // of the first message
};

std::variant<ChatFacts, BodyError> parseChat(const std::string &body);
std::variant<Vm, BodyError> parseAnnouncement(const std::string &body);
std::variant<VmReport, BodyError> parseHeartbeat(const std::string &body);
std::variant<VmLeaveRequest, BodyError> parseLeave(const std::string &body);

std::string entryListJson(std::span<const Member> members, const std::string &ownDomain,
                          Duration lifetime);
std::string refusalJson(Outcome outcome, Reason reason, Duration retryAfter,
                        std::span<const Member> members);
std::string bodyErrorJson(const BodyError &error);
std::string endpointReplyJson(const EndpointReply &reply);
std::string orderJson(const EngineOrder &order);
std::string operatorReplyJson(const OperatorReply &reply);

// Text for people of an outcome's reason.
std::string reasonText(Reason reason);

// Tokens that the usage part of an engine's answer reports.
struct UsageFacts
{
    std::uint64_t generated = 0;
    std::uint64_t cachedPrompt = 0;
};

std::optional<UsageFacts> parseUsage(std::string_view json);

} // namespace Trefoil
