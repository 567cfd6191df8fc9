#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/groupplanner.h"
#include "libfleet/serviceconfiguration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The words that a surrounding platform uses for the product's messages. A dialect translates names
// and formats; it decides nothing.

namespace Trefoil {

// Header names, as they stand on the wire.
struct HeaderNames
{
    std::string requestId;      // identifies one attempt of a caller; endpoints echo it
    std::string timeLeft;       // milliseconds that the caller still waits
    std::string expectEndpoint; // any other endpoint answers 421
    std::string workspace;      // set by the entry from the caller's key
    std::string answerDigest;   // every answer of an endpoint that succeeded has it
    std::string notExecuted;    // the endpoint did not run the request
    std::string model;
    std::string tokenCount; // "prompt tokens,largest number of answer tokens"
    std::string priority;   // 0 is the most urgent
    std::string lastEventId;
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

// A call to the system's own interfaces.
struct SystemCall
{
    CallKind kind = CallKind::Unknown;
    EndpointId endpoint; // of a heartbeat or departure
    std::string host;    // that an entry list is for
    std::string region;  // of the caller
    std::string domain;  // failure domain of the caller
};

struct DecodedConfiguration
{
    std::optional<ServiceConfiguration> config;
    std::vector<Finding> findings;
};

struct Dialect
{
    std::string name;
    HeaderNames headers;
    std::string orderPath;

    SystemCall (*parseCall)(std::string_view method, std::string_view target) = nullptr;
    DecodedConfiguration (*decodeConfiguration)(std::string_view text) = nullptr;

    // Returns the report, or why it cannot be used.
    std::variant<EndpointReport, std::string> (*decodeHeartbeat)(std::string_view id,
                                                                 std::string_view body) = nullptr;

    // Start of the life that a departure speaks of, 0 when it does not say.
    std::uint64_t (*decodeDeparture)(std::string_view body) = nullptr;

    std::string (*encodeOrder)(const GroupOrder &order) = nullptr;
    std::string (*encodeEntryList)(std::span<const std::string> addresses,
                                   Duration lifetime) = nullptr;
    // `reportAddress` is where later heartbeats go, empty for anywhere.
    std::string (*encodeHeartbeatReply)(std::string_view reportAddress) = nullptr;
    std::string (*encodeError)(std::string_view text) = nullptr;
};

// Dialects register themselves under their name when the program starts.
void registerDialect(const Dialect &dialect);

// The dialect of that name, or null.
const Dialect *findDialect(std::string_view name);

} // namespace Trefoil
