#include "libfleet/grouprecord.h"

#include <algorithm>
#include <set>

namespace Trefoil {

bool applyRecordChanges(GroupRecords &records, const GroupRecordChanges &changes)
{
    GroupRecords next = records;
    for (const std::string &name : changes.ended)
        next.byName.erase(name);
    for (const GroupRecord &record : changes.recorded) {
        next.byName[record.name] = record;
        if (next.firstEpoch == 0)
            next.firstEpoch = record.epoch;
    }
    std::set<EndpointId> assigned;
    for (const auto &[name, record] : next.byName) {
        for (const auto &[id, startedAtMs] : record.members) {
            if (!assigned.insert(id).second)
                return false;
        }
    }
    records = std::move(next);
    return true;
}

} // namespace Trefoil
