#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace Trefoil {

// Thrown when no entry answered or an entry's address is invalid.
class ClientError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ClientOptions
{
    // Operator addresses of the entries, IP:port.
    std::vector<std::string> entryAddresses;
    std::string operatorName;
    // Maximum time to wait until a change is in force.
    std::uint64_t waitMs = 0;
    // Timeout of one request, without waitMs.
    std::uint64_t timeoutMs = 15'000;
};

struct StatementRequest
{
    std::string text;
    // Number of a change. A repeated change with the same number takes effect once.
    std::uint64_t commandNumber = 0;
    std::optional<std::uint64_t> expectedVersion;
};

// Sends a statement to the entries in order until one answers, and returns the JSON body of its
// reply. Every try has the same command number, so that a lost reply cannot make a change happen
// twice.
std::string sendStatement(const ClientOptions &options, const StatementRequest &request);

} // namespace Trefoil
