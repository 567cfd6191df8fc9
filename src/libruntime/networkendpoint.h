#pragma once

#include "libruntime/address.h"

#include <boost/asio/ip/address.hpp>

#include <stdexcept>
#include <string>

namespace Trefoil {

// Converts an address like "10.0.0.1:7100" to the endpoint type of TCP or UDP. Throws
// std::invalid_argument for any other text.
template <class Protocol>
typename Protocol::endpoint toEndpoint(const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address)
        throw std::invalid_argument("'" + text + "' is not an IP address and a port");
    return {boost::asio::ip::make_address(address->host), address->port};
}

} // namespace Trefoil
