#pragma once

#include "libfleet/groupmembership.h"

#include <string>

namespace Trefoil {

// Returns the name of a group. It contains the model, the epoch and the head, so that a later
// leader can read the model and the head from the report of any member.
std::string groupName(const std::string &model, std::uint64_t epoch, const EndpointId &head);

// Returns the model in the name of the member's group.
std::string modelOfGroup(const GroupMembership &membership);

// Returns the head in the name of the member's group, empty when the name has none.
EndpointId headOfGroup(const GroupMembership &membership);

} // namespace Trefoil
