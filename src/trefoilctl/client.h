#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace Trefoil {

// No entry could be reached or answered.
class ClientError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ClientOptions
{
    std::vector<std::string> entries; // operator addresses, IP:port
    std::string operatorName;
    std::uint64_t waitMs = 0;         // wait until a change is in force
    std::uint64_t timeoutMs = 15'000; // of one exchange
};

struct StatementRequest
{
    std::string text;
    std::uint64_t number = 0;
    std::optional<std::uint64_t> expectedVersion;
};

// Sends a statement to the first entry that answers. A change is sent again under the same number,
// so that a lost answer cannot make it happen twice. Returns the answer's JSON body.
std::string sendStatement(const ClientOptions &options, const StatementRequest &request);

} // namespace Trefoil
