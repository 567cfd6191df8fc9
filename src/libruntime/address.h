#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Trefoil {

// An IP address and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

// Parses "10.0.0.1:7100" or "[::1]:7100". Rejects host names, because the system connects by IP
// address only, and port 0.
std::optional<Address> parseAddress(const std::string &text);

// Formats an address so that parseAddress() reads it; an IPv6 address stands in brackets.
std::string toText(const Address &address);

} // namespace Trefoil
