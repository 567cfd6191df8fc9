#pragma once

#include "libgateway/endpointreports.h"

#include <vector>

namespace Trefoil {

// Receives the parts that a link with this reader carries.
inline void receiveParts(EndpointReports &reports, StateReader &reader,
                         std::vector<EndpointUpdate> &parts)
{
    constexpr std::size_t lengthBytes = 4;
    while (const auto frame = reports.nextFrame(reader))
        parts.push_back(std::get<EndpointUpdate>(
                decodeLinkMessage(std::string_view(*frame).substr(lengthBytes))));
}

} // namespace Trefoil
