#pragma once

#include "libfleet/groupplanner.h"

#include <optional>
#include <string>
#include <vector>

// Parts of a planning step that the files of the group planner share. Internal to libfleet.

namespace Trefoil {

// View of one planning step.
struct Planning
{
    GroupPlanner &planner;
    const EndpointTable &table;
    const ServiceConfiguration &config;
    TimePoint now;
    std::vector<GroupOrder> orders;

    const Endpoint *usable(const EndpointId &id) const;

    // The endpoint still runs, although it may be about to leave.
    const Endpoint *heard(const EndpointId &id) const;
};

struct MissingMember
{
    EndpointId id;
    const char *reason = "";
};

bool isMember(const Endpoint &endpoint, const FleetGroup &group);
bool hasStaged(const Endpoint &endpoint, const std::string &model);

// The model was the one of the VM's last group, so the VM joins for it at once.
bool hasLoaded(const Endpoint &endpoint, const std::string &model);

// A join for the model needs no load from the weight store.
bool holdsModel(const Endpoint &endpoint, const std::string &model);

void setStage(FleetGroup &group, GroupStage stage, TimePoint now);

// ---- Orders

// Sends an order unless the endpoint has one outstanding.
bool order(Planning &planning, const Endpoint &endpoint, const FleetGroup &group, OrderKind kind,
           std::string why, bool isLoad = false);

// Repeats an order to the head until its report shows the effect.
void orderHead(Planning &planning, FleetGroup &group, const Endpoint &head, OrderKind kind,
               std::string why);

void dropOverdueOrders(Planning &planning);

// ---- Losses

// A member that is lost for good or about to leave.
std::optional<MissingMember> missingMember(const Planning &planning, const FleetGroup &group);

// Keeps a VM out of new groups until it reports again.
void suspect(GroupPlanner &planner, const EndpointId &id, TimePoint now);

// Ends the group for this reason.
void closeGroup(FleetGroup &group, std::string reason, CloseMode mode, TimePoint now);

void startClosing(Planning &planning, FleetGroup &group, const MissingMember &missing);

// Frees the members once the head cannot serve any more. Returns true when the group is over.
bool finishClosing(Planning &planning, FleetGroup &group);

// ---- Groups of earlier leaders

// Repeats the join to each member of an adopted group, so that late orders of earlier leaders are
// refused before the group opens. Returns true once all have obeyed.
bool fenceMembers(Planning &planning, const FleetGroup &group);

// Takes over the groups of an earlier leader. Groups that cannot go on are closed, also those of
// which only old reports are known, since the earlier leader may have opened them.
void adoptGroups(Planning &planning);

// Forgets ended groups that nobody reports any more.
void forgetEnded(Planning &planning);

// ---- Forming

// Joins the members of a forming group. Returns true once all are ready.
bool joinMembers(Planning &planning, FleetGroup &group, const EngineProfile &engine);

// Forms groups of free VMs.
void formGroups(Planning &planning, const Service &service);

// ---- Weights

// True when the weight store may start one more load.
bool mayStartLoad(Planning &planning, const EngineProfile &engine);

// Loads models onto free VMs that hold none, so that a group can form of them.
void stageSpares(Planning &planning, const Service &service, const std::string &fabric,
                 const std::vector<const Endpoint *> &spares);

// Stages on each VM a model other than the one that it holds, so that the VMs that a loss leaves
// over fit every group.
void stageStandbyModels(Planning &planning, const Service &service,
                        const std::vector<const Endpoint *> &spares);

} // namespace Trefoil
