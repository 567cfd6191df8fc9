#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/groupplanner.h"
#include "libfleet/promptparts.h"
#include "libfleet/serviceconfiguration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Names and formats that a surrounding platform uses for the system's messages. A dialect
// translates between them and the internal types and makes no decisions.

namespace Trefoil {

// Header names on the wire.
struct HeaderNames
{
    std::string requestId;      // identifies one attempt of a caller; endpoints echo it
    std::string timeLeft;       // milliseconds for which the caller still waits
    std::string expectEndpoint; // endpoints other than the named one answer 421
    std::string workspace;      // the entry sets it from the caller's key
    std::string answerDigest;   // is present in every successful answer of an endpoint
    std::string notExecuted;    // the endpoint did not run the request
    std::string model;
    std::string tokenCount;  // "prompt tokens,largest number of answer tokens"
    std::string promptParts; // decoded by Dialect::decodePromptParts
    std::string priority;    // 0 is the most urgent
    std::string lastEventId;
    std::string requestLimit; // in answers of endpoints, decoded by Dialect::decodeRequestLimit
    std::string leaving;      // in answers of endpoints, decoded by Dialect::decodeLeaving
    std::string holdOff;      // in answers 503 of endpoints, decoded by Dialect::decodeHoldOff
};

enum class CallKind : std::uint8_t {
    Unknown,
    EntryList,
    Readiness,
    Heartbeat,
    Departure,
    PublishConfiguration,
    ReadConfiguration,
};

// Call to one of the system's own interfaces.
struct SystemCall
{
    CallKind kind = CallKind::Unknown;
    EndpointId endpoint; // of a heartbeat or departure
    std::string host;    // for which an entry list is requested
    std::string region;  // of the caller
    std::string domain;  // failure domain of the caller
};

// Decoded configuration, or the findings that make it unusable.
struct DecodedConfiguration
{
    std::optional<ServiceConfiguration> config;
    std::vector<Finding> findings;
};

// Decoders and encoders of one platform.
struct Dialect
{
    std::string name;
    HeaderNames headers;
    std::string orderPath;

    SystemCall (*parseCall)(std::string_view method, std::string_view target) = nullptr;
    DecodedConfiguration (*decodeConfiguration)(std::string_view text) = nullptr;

    // Returns the report, or the reason why it is invalid.
    std::variant<EndpointReport, std::string> (*decodeHeartbeat)(std::string_view id,
                                                                 std::string_view body) = nullptr;

    // Returns the start of the incarnation that departs, 0 when the body does not name it, or the
    // reason why the body is invalid.
    std::variant<std::uint64_t, std::string> (*decodeDeparture)(std::string_view body) = nullptr;

    // Returns the parts of a prompt in order. An id that is no number of 64 bits counts by its
    // text, so that no part is left out, whatever it looks like.
    std::vector<PromptPart> (*decodePromptParts)(std::string_view text) = nullptr;

    // Returns the number of requests a second that an endpoint takes from all entries together, or
    // the reason why the figure cannot be used.
    std::variant<double, std::string> (*decodeRequestLimit)(std::string_view text) = nullptr;

    // Returns whether the endpoint that answers says that it leaves.
    bool (*decodeLeaving)(std::string_view text) = nullptr;

    // Returns the time for which an endpoint wants no request of the entry that it answers, or the
    // reason why the text cannot be used.
    std::variant<Duration, std::string> (*decodeHoldOff)(std::string_view text) = nullptr;

    std::string (*encodeOrder)(const GroupOrder &order) = nullptr;
    std::string (*encodeEntryList)(std::span<const std::string> addresses,
                                   Duration lifetime) = nullptr;
    // `reportAddress` receives later heartbeats; empty allows any address.
    std::string (*encodeHeartbeatReply)(std::string_view reportAddress) = nullptr;
    std::string (*encodeError)(std::string_view text) = nullptr;
};

// Registers a dialect under its name. Dialects call this when the program starts.
void registerDialect(const Dialect &dialect);

// Returns the dialect of that name, or null.
const Dialect *findDialect(std::string_view name);

} // namespace Trefoil
