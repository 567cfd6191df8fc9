#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/groupname.h"
#include "libfleet/serviceconfiguration.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

// Serving groups over engines that report themselves. The control leader alone runs this planner;
// a new leader rebuilds its groups from the engines' reports. Pure: no I/O, no clock.

namespace Trefoil {

enum class OrderKind : std::uint8_t { Join, Open, Close, Leave, Stage };

enum class CloseMode : std::uint8_t { FinishRequests, CutRequests };

struct GroupOrder
{
    std::uint64_t number = 0; // identifies the order towards noteOrderOutcome
    OrderKind kind = OrderKind::Join;
    EndpointId endpoint;
    std::string address;
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;         // of the leader
    std::uint64_t fencingToken = 0; // grows with each order, over all leaders
    std::string model;
    std::vector<EndpointId> members; // the first one is the head
    CloseMode closeMode = CloseMode::FinishRequests;
    std::string why;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    NotFitting, // the engine's state does not allow it now
    Outdated,   // a later epoch or fencing token was seen
    WrongEndpoint,
    Unanswered, // may still be carried out
};

enum class GroupStage : std::uint8_t { Forming, Opening, Open, Closing };

struct FleetGroup
{
    std::string name;
    std::uint64_t epoch = 0;
    std::string service;
    std::string model;
    std::string fabric;
    std::vector<EndpointId> members;
    GroupStage stage = GroupStage::Forming;
    TimePoint stageSince{};
    CloseMode closeMode = CloseMode::FinishRequests;
    std::string closeReason;
    TimePoint lastHeadOrder{}; // last order to the head after it joined
    OrderKind lastHeadKind = OrderKind::Join;
    bool isWarmUp = false;       // of one spare VM, which loads the model and never serves
    bool isAdopted = false;      // formed by an earlier leader
    bool isHeadKnown = true;     // the head reported that it is in the group
    std::set<EndpointId> fenced; // members of an adopted group that obeyed this leader
    bool isOpening = false;      // an open order was obeyed and its effect is not reported yet
    std::uint32_t unansweredOpens = 0; // open orders that may still be carried out
    std::set<EndpointId> left;         // members that have taken a leave order
};

struct SentGroupOrder
{
    std::uint64_t number = 0;
    OrderKind kind = OrderKind::Join;
    std::string group;
    TimePoint sentAt{};
    bool isLoad = false;     // starts a load from the weight store
    bool isAccepted = false; // obeyed; the next report shows it
};

struct Staging
{
    std::string model;
    TimePoint until{};
};

struct GroupPlannerOptions
{
    Duration lossTimeout = std::chrono::milliseconds(3000);    // silence after which a VM is lost
    Duration closeAnswerTime = std::chrono::milliseconds(300); // of a head, before others leave it
    Duration orderTimeout = std::chrono::milliseconds(1500);   // for an answer, and between repeats
    Duration formingTimeout = std::chrono::seconds(60);
    Duration closeTimeout = std::chrono::seconds(10); // for requests in progress at a planned close
    double balanceTolerance = 1.2; // relative excess of served share at which a model still grows
    Duration gatherTime = std::chrono::milliseconds(1800); // of a new leader, over a heartbeat
    Duration stalledLossTimeout = std::chrono::milliseconds(1650); // of a VM whose group stalls
    Duration stallMemory = std::chrono::milliseconds(1500); // a reported stall counts this long
    // Without progress at any entry for this long, a reported stall counts.
    Duration stallSilence = std::chrono::milliseconds(300);
    double loadAt = 0.35; // part of a model's slots in use from which weights are loaded for it
    bool formsAnyGroup = true; // also of a model that has more than its share, when it is in use
    bool coversDemand = true;  // models are balanced by their requests, not by their shares
    bool reassignsGroups = true;
    // Slots for each request below which a model takes VMs of another one.
    double reassignBelow = 1.5;
    double reassignMargin = 1.1; // by which the other one stays better covered
    Duration reassignPause = std::chrono::milliseconds(2000);
    bool warmsSpares = true;         // spare VMs load the model that they have staged
    bool stagesStandbyModels = true; // VMs stage a model other than the one that they hold
    // Part of the weight store's concurrent loads that may stage standby models.
    double standbyLoads = 0.2;
    Duration repairTime = std::chrono::milliseconds(1500); // a closing group counts as serving
    // Before the first request groups form once no VM was added for `settleTime`, or after
    // `settleLimit`.
    Duration settleTime = std::chrono::milliseconds(700);
    Duration settleLimit = std::chrono::milliseconds(6000);
};

struct GroupPlanner
{
    GroupPlannerOptions options;
    std::uint64_t term = 0;      // of the leader
    std::uint64_t nextEpoch = 1; // above all epochs of earlier leaders
    std::uint64_t nextOrder = 1;
    TimePoint gatherUntil{};  // until then VMs of unknown groups may not have reported yet
    TimePoint settleUntil{};  // the latest start of the first groups
    std::size_t knownVms = 0; // at the last step
    TimePoint lastArrival{};  // of a VM
    bool hasTraffic = true;
    // Requests that would be in progress if none were refused, by model, over all entries.
    std::map<std::string, double> demand;
    std::map<EndpointId, TimePoint> stalledHeads;    // heads without progress, as entries report
    std::map<EndpointId, TimePoint> progressedHeads; // last progress that any entry saw
    std::map<std::string, FleetGroup> groups;
    std::map<EndpointId, SentGroupOrder> orders;
    std::set<std::string> ended; // groups that are over although members still report them
    std::map<EndpointId, TimePoint> suspects; // VMs in doubt until they report again
    std::map<EndpointId, Staging> staging;    // VMs that load a model ahead of its use
    std::deque<TimePoint> loadStarts;
    TimePoint lastReassignment{};
};

// Starts the planner of a new leader.
GroupPlanner makeGroupPlanner(const GroupPlannerOptions &options, std::uint64_t term,
                              TimePoint now);

// Orders that are due. Call at least every 100 ms and after each changed report.
std::vector<GroupOrder> planGroups(GroupPlanner &planner, const EndpointTable &table,
                                   const ServiceConfiguration &config, TimePoint now);

// Notes that an entry saw no progress at a head that has its requests.
void noteStall(GroupPlanner &planner, const EndpointId &head, TimePoint now);

// Notes that an entry saw progress at a head. A group that lacks a VM makes none, so this refutes
// stalls that other entries report.
void noteProgress(GroupPlanner &planner, const EndpointId &head, TimePoint at);

void noteOrderOutcome(GroupPlanner &planner, const EndpointId &endpoint, std::uint64_t number,
                      OrderOutcome outcome);

const char *toString(OrderKind kind);

} // namespace Trefoil
