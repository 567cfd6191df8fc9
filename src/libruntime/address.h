#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Trefoil {

// An IP number and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

// Reads "10.0.0.1:7100" or "[::1]:7100". Names are refused: the system talks by IP numbers.
std::optional<Address> parseAddress(const std::string &text);

std::string toText(const Address &address);

} // namespace Trefoil
