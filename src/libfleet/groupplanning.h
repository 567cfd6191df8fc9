#pragma once

#include "libfleet/groupplanner.h"

#include <optional>
#include <string>
#include <vector>

// Functions that the source files of the group planner share. Internal to libfleet.

namespace Trefoil {

// Inputs and output of one call of planGroups.
struct PlanningStep
{
    GroupPlanner &planner;
    const EndpointTable &table;
    const ServiceConfiguration &config;
    TimePoint now;
    std::vector<GroupOrder> orders;

    // Returns the endpoint when it takes new work, else null.
    const Endpoint *findUsable(const EndpointId &id) const;

    // Returns the endpoint when it was heard within the loss timeout, else null. It may be about to
    // leave.
    const Endpoint *findLive(const EndpointId &id) const;
};

// Member that its group has lost or will lose.
struct MissingMember
{
    EndpointId id;
    const char *reason = "";
};

// Returns true when the endpoint's last report places it in the group.
bool isMember(const Endpoint &endpoint, const FleetGroup &group);

// Returns true when the endpoint's host has a staged copy of the model.
bool hasStaged(const Endpoint &endpoint, const std::string &model);

// Returns true when the VM served the model in its last group, so that it joins another group of
// the model at once.
bool hasLoaded(const Endpoint &endpoint, const std::string &model);

// Returns true when a join for the model needs no load from the weight store.
bool holdsModel(const Endpoint &endpoint, const std::string &model);

// Returns true when the endpoint has started anew since its group was formed.
bool hasRestarted(const Endpoint &endpoint, const FleetGroup &group);

void setState(FleetGroup &group, GroupState state, TimePoint now);

// Adds the record of a new or changed group to the changes of the log.
void recordGroup(GroupPlanner &planner, const FleetGroup &group);

// Removes the record of a group from the log. Its VMs are not free for that.
void removeRecord(GroupPlanner &planner, const FleetGroup &group);

// Returns true when a group of the planner contains the endpoint.
bool isInPlannedGroup(const GroupPlanner &planner, const EndpointId &id);

// Adds the groups of the log to the planner of a new leader.
void inheritGroups(GroupPlanner &planner, const GroupRecords &records, TimePoint now);

// Adds an order to the output of the step unless the endpoint has a pending one, or the order is to
// join or open a group that is not recorded yet. Returns true when the order was added.
bool queueOrder(PlanningStep &step, const Endpoint &endpoint, const FleetGroup &group,
                OrderKind kind, std::string reason, bool startsLoad = false);

// Orders the head at once, and again after each order timeout. Callers stop when the head's report
// shows the effect.
void queueHeadOrder(PlanningStep &step, FleetGroup &group, const Endpoint &head, OrderKind kind,
                    std::string reason);

// Drops pending orders whose effect was reported or that timed out.
void dropFinishedOrders(PlanningStep &step);

// Returns true while entries report a stall at the head and none sees progress. A VM of a stalled
// group counts as lost after a shorter silence.
bool isStalled(const PlanningStep &step, const FleetGroup &group);

// Returns a member that is lost or about to leave, if any.
std::optional<MissingMember> findMissingMember(const PlanningStep &step, const FleetGroup &group);

// Excludes a VM from new groups until it reports again.
void suspectVm(GroupPlanner &planner, const EndpointId &id, TimePoint now);

// Starts to close the group. Does not check its members.
void closeGroup(FleetGroup &group, std::string reason, CloseMode mode, TimePoint now);

// Starts to close a group that lacks a member. Requests in progress may finish only when the member
// leaves as planned.
void startClosing(PlanningStep &step, FleetGroup &group, const MissingMember &missing);

// Sends the orders that close the group and releases members that have left it.
void advanceClosing(PlanningStep &step, FleetGroup &group);

// Returns true when the record of a group is of no more use: all its members were replaced, or were
// not heard for a long time. One that returns has to leave the group before it is used again.
bool isAbandoned(const PlanningStep &step, const FleetGroup &group);

// Orders VMs to leave groups that the log does not contain and of whose end this leader does not
// know. Until then they are not used.
void detachUnknownMembers(PlanningStep &step);

// Continues with a group of an earlier leader once all its members report it. Returns false when
// some do not.
bool continueReportedGroup(PlanningStep &step, FleetGroup &group);

// Orders each member of an adopted group to join again, so that the members refuse late orders of
// earlier leaders before the group opens. Returns true once all have accepted.
bool fenceMembers(PlanningStep &step, const FleetGroup &group);

// Takes over the groups that leaders of earlier versions did not record, and closes those that
// cannot continue. A group that its members report only in part is closed instead of ignored, since
// the earlier leader may have opened it.
void adoptGroups(PlanningStep &step);

// Returns true when no member of an inherited group has been heard for a while.
bool isUnheard(const PlanningStep &step, const FleetGroup &group);

// Decides whether an inherited group continues. Orders its members to join if they do not report
// the group, so that what an earlier leader has recorded is completed.
void advanceInherited(PlanningStep &step, FleetGroup &group, const EngineProfile &engine);

// Forgets ended groups that no endpoint reports any more.
void forgetEndedGroups(PlanningStep &step);

// Orders the members of a forming group to join. Returns true once all are ready.
bool joinMembers(PlanningStep &step, FleetGroup &group, const EngineProfile &engine);

// Forms groups of the free VMs of a service and stages models on the VMs that are left over.
void formGroups(PlanningStep &step, const Service &service);

// Returns true when one more load may start at the weight store.
bool canStartLoad(PlanningStep &step, const EngineProfile &engine);

} // namespace Trefoil
