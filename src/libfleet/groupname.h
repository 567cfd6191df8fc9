#pragma once

#include "libfleet/groupmembership.h"

#include <string>

namespace Trefoil {

// Name of a group. Its model and its head can be read back from it, so that a later leader knows
// them from the report of any member.
std::string groupName(const std::string &model, std::uint64_t epoch, const EndpointId &head);
std::string modelOfGroup(const GroupMembership &membership);
EndpointId headOfGroup(const GroupMembership &membership);

} // namespace Trefoil
