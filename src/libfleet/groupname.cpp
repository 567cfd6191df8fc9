#include "libfleet/groupname.h"

namespace Trefoil {

namespace {

// Returns the part between the model and the head in the name of a group.
std::string epochSeparator(std::uint64_t epoch)
{
    return "." + std::to_string(epoch) + ".";
}

} // namespace

std::string groupName(const std::string &model, std::uint64_t epoch, const EndpointId &head)
{
    return model + epochSeparator(epoch) + head;
}

std::string modelOfGroup(const GroupMembership &membership)
{
    return membership.group.substr(0, membership.group.find(epochSeparator(membership.epoch)));
}

EndpointId headOfGroup(const GroupMembership &membership)
{
    const std::string separator = epochSeparator(membership.epoch);
    const std::size_t position = membership.group.find(separator);
    return position == std::string::npos ? EndpointId{}
                                         : membership.group.substr(position + separator.size());
}

} // namespace Trefoil
