#include "libfleet/groupname.h"

namespace Trefoil {

namespace {

// Stands between the model and the head in the name of a group.
std::string epochMark(std::uint64_t epoch)
{
    return "." + std::to_string(epoch) + ".";
}

} // namespace

std::string groupName(const std::string &model, std::uint64_t epoch, const EndpointId &head)
{
    return model + epochMark(epoch) + head;
}

std::string modelOfGroup(const GroupMembership &membership)
{
    return membership.group.substr(0, membership.group.find(epochMark(membership.epoch)));
}

EndpointId headOfGroup(const GroupMembership &membership)
{
    const std::string mark = epochMark(membership.epoch);
    const std::size_t place = membership.group.find(mark);
    return place == std::string::npos ? EndpointId{} : membership.group.substr(place + mark.size());
}

} // namespace Trefoil
