#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/groupname.h"
#include "libfleet/grouprecord.h"
#include "libfleet/serviceconfiguration.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

// Plans serving groups over engines that report themselves. Only the control leader runs the
// planner. A group is committed in the replicated log before any of its members is ordered to join
// it, and stays there until its head can no longer serve, so that a new leader knows of each VM
// that an earlier one may have ordered into a group. The planner performs no I/O and reads no
// clock.

namespace Trefoil {

// Stage orders an engine to copy a model's weights to its host without loading them.
enum class OrderKind : std::uint8_t { Join, Open, Close, Leave, Stage };

// Says what happens to the requests in progress when a group closes.
enum class CloseMode : std::uint8_t { FinishRequests, AbortRequests };

// Order of the leader to one engine.
struct GroupOrder
{
    std::uint64_t number = 0; // is passed to recordOrderOutcome
    OrderKind kind = OrderKind::Join;
    EndpointId endpoint;
    std::string address;
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;         // of the leader
    std::uint64_t fencingToken = 0; // grows with each order, across all leaders
    std::string model;
    std::vector<EndpointId> members; // the first one is the head
    CloseMode closeMode = CloseMode::FinishRequests;
    std::string reason;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    WrongState,    // the engine's state does not allow the order now
    Outdated,      // the engine has seen a later epoch or fencing token
    WrongEndpoint, // another endpoint answered
    Unanswered,    // the engine may still carry out the order
};

// Inherited groups were recorded by an earlier leader, and not all their members have reported yet.
enum class GroupState : std::uint8_t { Inherited, Forming, Opening, Open, Closing };

// Group of VMs that serve one model together.
struct FleetGroup
{
    std::string name;
    std::uint64_t epoch = 0;
    std::string service;
    std::string model;
    std::string fabric;
    std::vector<EndpointId> members; // the first one is the head
    GroupState state = GroupState::Forming;
    TimePoint stateSince{};
    CloseMode closeMode = CloseMode::FinishRequests;
    std::string closeReason;
    TimePoint lastHeadOrderAt{}; // last order to the head after it joined
    OrderKind lastHeadOrderKind = OrderKind::Join;
    bool isWarmUp = false;   // a single spare VM that loads the model and never serves
    bool isAdopted = false;  // formed by an earlier leader
    bool isProposed = false; // the log contains the group, or may soon
    bool isRecorded = false; // the group is committed in the log
    std::map<EndpointId, std::uint64_t> startedAtMs; // of the members when the group was formed
    // Members of an adopted group that have accepted a join order of this leader.
    std::set<EndpointId> fencedMembers;
    bool hasOpenOrder = false; // this leader has ordered the head to open
};

// Last order to an endpoint, until its effect is reported or it times out.
struct PendingGroupOrder
{
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::Join;
    std::string group;
    TimePoint sentAt{};
    std::uint64_t startedAtMs = 0; // of the endpoint's incarnation that was known then
    bool startsLoad = false;       // the engine loads from the weight store
    bool isAccepted = false;       // the next report shows the effect
};

// Answer of a VM to a leave order of this leader. The VM is out of the group and refuses orders
// that were sent before.
struct LeaveAnswer
{
    std::string group;
    std::uint64_t startedAtMs = 0; // of the VM's incarnation that was known when it was ordered
};

// Load of a model onto a VM's host ahead of its use.
struct Staging
{
    std::string model;
    TimePoint expiresAt{};
};

struct GroupPlannerOptions
{
    Duration lossTimeout = std::chrono::milliseconds(3000); // silence after which a VM is lost
    // Time that a head has to answer a close order before the other members are ordered to leave
    // the group.
    Duration closeAnswerTimeout = std::chrono::milliseconds(300);
    // Time to wait for an answer, and between repeats of an order.
    Duration orderTimeout = std::chrono::milliseconds(1500);
    Duration formingTimeout = std::chrono::seconds(60);
    // Time that requests in progress have to finish at a planned close.
    Duration closeTimeout = std::chrono::seconds(10);
    // A model may get another group while its coverage is at most this many times the lowest
    // coverage of all models.
    double balanceTolerance = 1.2;
    // Time in which a new leader gathers reports; longer than a heartbeat interval.
    Duration reportGatheringTime = std::chrono::milliseconds(1800);
    // Silence after which a VM is lost while its group is stalled or still forming.
    Duration stalledLossTimeout = std::chrono::milliseconds(1650);
    // Time for which a reported stall counts.
    Duration stallReportLifetime = std::chrono::milliseconds(1500);
    // Progress that any entry saw within this time refutes a reported stall.
    Duration stallRefutationTime = std::chrono::milliseconds(300);
    // Fraction of a model's slots that must be in use before weights are loaded for more of its
    // groups.
    double minUtilizationForLoads = 0.35;
    // Lets a model that is in use exceed `balanceTolerance` with groups that need no loads.
    bool allowsUnbalancedGroups = true;
    // Balances models by their requests; otherwise by their configured shares.
    bool balancesByDemand = true;
    bool reassignsGroups = true; // closes groups of one model in favor of another
    // A model with fewer slots for each request than this may take VMs from another model.
    double reassignmentCoverageLimit = 1.5;
    // After a reassignment the donor's coverage is at least this many times the receiver's.
    double reassignmentMargin = 1.1;
    Duration minReassignmentInterval = std::chrono::milliseconds(2000);
    bool warmsUpSpares = true;       // spare VMs load the model that is staged on their host
    bool stagesStandbyModels = true; // VMs stage a model other than the one that they hold
    // Fraction of the weight store's concurrent loads that may stage standby models.
    double standbyLoadShare = 0.2;
    // Time for which a closing group counts as serving, since its VMs soon form another one.
    Duration expectedRepairTime = std::chrono::milliseconds(1500);
    // Before the first request, groups form once no VM was added for `vmArrivalQuietTime`, or at
    // the latest after `vmArrivalTimeout`.
    Duration vmArrivalQuietTime = std::chrono::milliseconds(700);
    Duration vmArrivalTimeout = std::chrono::milliseconds(6000);
    // Time for which an inherited group is kept when its head never reports.
    Duration unknownHeadRetention = std::chrono::minutes(5);
};

// State of the planner of one leader.
struct GroupPlanner
{
    GroupPlannerOptions options;
    std::uint64_t term = 0;      // of the leader
    std::uint64_t nextEpoch = 1; // above all epochs of earlier leaders
    std::uint64_t nextOrderNumber = 1;
    TimePoint leadsSince{};
    // Until this time, members of groups of an earlier leader may not have reported yet.
    TimePoint gatherReportsUntil{};
    // Groups of this epoch and later ones were recorded before they formed. When the log does not
    // contain such a group, it has ended.
    std::uint64_t recordedSinceEpoch = 0;
    GroupRecordChanges unproposedChanges; // of the log, returned by takeRecordChanges
    TimePoint vmArrivalDeadline{};        // latest time at which the first groups start to form
    std::size_t lastVmCount = 0;          // in the previous step
    TimePoint lastVmArrivalAt{};
    bool hasTraffic = true; // false until the first request
    // Estimated number of requests at all entries that would be in progress if none were refused,
    // by model.
    std::map<std::string, double> demandByModel;
    // Requests that heads can have in progress at the limits that they name.
    std::map<EndpointId, double> limitedSlotsByHead;
    std::map<EndpointId, TimePoint> lastStallByHead;    // last stall that an entry reported
    std::map<EndpointId, TimePoint> lastProgressByHead; // last progress that any entry saw
    std::map<std::string, FleetGroup> groups;
    std::map<EndpointId, PendingGroupOrder> pendingOrders;
    std::map<EndpointId, LeaveAnswer> leaveAnswers;
    std::set<std::string> endedGroups; // ended groups that members still report
    // VMs that may be lost, with the time of the suspicion. They are excluded from new groups until
    // they report again.
    std::map<EndpointId, TimePoint> suspectedVms;
    std::map<EndpointId, Staging> stagingByVm;
    std::deque<TimePoint> recentLoadStarts;
    TimePoint lastReassignmentAt{};
};

// Creates the planner of a new leader from the records of its log.
GroupPlanner makeGroupPlanner(const GroupPlannerOptions &options, std::uint64_t term,
                              const GroupRecords &records, TimePoint now);

// Advances all groups and returns the orders that are due. Must be called at least every 100 ms
// and after each changed report. Afterwards the changes of takeRecordChanges must be proposed.
std::vector<GroupOrder> planGroups(GroupPlanner &planner, const EndpointTable &table,
                                   const ServiceConfiguration &config, TimePoint now);

// Returns the changes of the records since the last call. Each must be passed to
// confirmRecordChanges or dropRecordChanges.
GroupRecordChanges takeRecordChanges(GroupPlanner &planner);

// Records that changes are committed, so that their groups may form.
void confirmRecordChanges(GroupPlanner &planner, const GroupRecordChanges &changes);

// Forgets the groups of changes that were not committed. No order was sent for them.
void dropRecordChanges(GroupPlanner &planner, const GroupRecordChanges &changes);

// Records that an entry saw no progress at a head that has requests of it.
void recordStall(GroupPlanner &planner, const EndpointId &head, TimePoint now);

// Records that an entry saw progress at a head. A group that lacks a VM makes none, so progress
// refutes the stalls that other entries report.
void recordProgress(GroupPlanner &planner, const EndpointId &head, TimePoint at);

// Records the answer to an order, or that none came in time.
void recordOrderOutcome(GroupPlanner &planner, const EndpointId &endpoint, std::uint64_t number,
                        OrderOutcome outcome);

const char *toString(OrderKind kind);

} // namespace Trefoil
