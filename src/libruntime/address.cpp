#include "libruntime/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace Trefoil {

std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return Address{host, port};
}

std::string toText(const Address &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

} // namespace Trefoil
