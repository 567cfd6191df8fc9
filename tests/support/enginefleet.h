#pragma once

#include "libfleet/fleet.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// A fleet of simulated engines in virtual time that execute group orders according to the published
// engine protocol, and the control VMs that receive their reports. Replies and orders may be lost
// or late, links may be partitioned, engines may crash and leaders may go on acting after another
// one was elected. Violated invariants are collected in a list.

namespace Trefoil {

struct SimulatedEngine
{
    EndpointReport report;
    bool isRunning = true;
    bool isPartitioned = false; // from all control VMs; its group continues to serve
    std::size_t reportsTo = 0;  // control VM that receives its reports
    TimePoint phaseChangesAt = TimePoint::max(); // time of the change to nextPhase
    MembershipPhase nextPhase = MembershipPhase::Joining;
    std::vector<EndpointId> members; // of its group, by rank
    std::string lastModel;           // model of the last group since the engine started
    std::string stagingModel;        // model that is being loaded onto the host
    TimePoint stagingEndsAt{};
    std::uint64_t highestEpoch = 0;
    std::uint64_t highestFencingToken = 0;
    TimePoint nextReport{};
    TimePoint stalledSince = TimePoint::max(); // set on a head whose group has lost a VM
    bool isMute = false;                       // executes orders and does not answer them
};

struct DelayedOrder
{
    TimePoint at{};
    GroupOrder order;
    bool isAnswered = true;
};

struct DelayedAnswer
{
    TimePoint at{};
    std::uint64_t term = 0;
    EndpointId endpoint;
    std::uint64_t number = 0;
    OrderOutcome outcome = OrderOutcome::Unanswered;
};

struct DelayedReport
{
    TimePoint at{};
    TimePoint madeAt{};
    EndpointReport report;
    std::size_t controlVm = 0;
    bool isForwarded = false; // by another control VM
};

// Changes of the group records that a leader has proposed.
struct ProposedChanges
{
    TimePoint at{}; // time of the commit, unless the leader is cut off or deposed before
    std::size_t controlVm = 0;
    std::uint64_t term = 0;
    GroupRecordChanges changes;
    bool hasReachedOthers = false; // so that the next leader commits them
};

// What one control VM knows. It shares nothing with the others but the committed log.
struct SimulatedControlVm
{
    EndpointTable table;
    GroupPlanner planner;
    bool isLeading = false;
    bool isCutOff = false; // from the other control VMs
    TimePoint leadsUntil = TimePoint::max();
};

struct EngineFleet
{
    ServiceConfiguration config; // what the engines are
    // What the control VMs know of it; all of it without a value.
    std::optional<ServiceConfiguration> published;
    std::map<EndpointId, SimulatedEngine> engines;
    std::vector<SimulatedControlVm> controlVms;
    std::size_t leader = 0; // control VM that was elected last
    GroupRecords log;       // as far as it is committed
    std::vector<ProposedChanges> proposals;
    std::vector<DelayedOrder> orders;
    // Members that have ever been ready, by group and epoch.
    std::map<std::pair<std::string, std::uint64_t>, std::set<EndpointId>> readyMembers;
    std::vector<TimePoint> loads;        // start times of loads from the weight store
    std::vector<std::string> violations; // of invariants
    TimePoint now{};
    std::mt19937_64 rng;
    std::vector<DelayedAnswer> answers;
    std::vector<DelayedReport> reports;
    double delayedReplyFraction = 0; // fraction of answers and reports that are late
    std::chrono::milliseconds maxReplyDelay{2000};
    double lateOrderFraction = 0; // fraction of orders that are executed late and get no answer
    std::chrono::milliseconds maxOrderDelay{0}; // drawn for each order, 0 for a fixed delay
    std::deque<EndpointReport> sentReports;     // the latest ones
    std::uint64_t nextEngineNumber = 1;
    Duration stallTimeout = std::chrono::seconds(6);
    TimePoint nextProgress{}; // of the open groups, as the entries tell all control VMs
};

// Creates a service with two models, whose groups have 4 and 2 VMs, on engines in several fabric
// domains.
EngineFleet makeEngineFleet(std::size_t fabrics, std::uint64_t seed, std::size_t vmsPerFabric = 8);

// Executes an order on its engine, which must exist.
OrderOutcome executeOrder(EngineFleet &fleet, const GroupOrder &order);

// Advances all engines to the current time of the fleet and queues their reports.
void advanceEngines(EngineFleet &fleet);

// Runs the fleet and the planner for the duration in steps of 10 ms.
void runFleet(EngineFleet &fleet, Duration duration);

void crashEngine(EngineFleet &fleet, const EndpointId &id);

// Restarts an engine as a new instance and returns its new id. Models that were staged on the host
// are kept.
EndpointId restartEngine(EngineFleet &fleet, const EndpointId &id);

// Restarts an engine under the id that it had. It knows nothing of before.
void restartSameEngine(EngineFleet &fleet, const EndpointId &id);

// Adds an engine whose host has no staged model. Returns its id.
EndpointId addEngine(EngineFleet &fleet, const std::string &fabric);

void setPartitioned(EngineFleet &fleet, const EndpointId &id, bool isPartitioned);
void setDraining(EngineFleet &fleet, const EndpointId &id);

// Publishes a configuration without the service, without one of its models, or the whole one.
void publishWithoutService(EngineFleet &fleet);
void publishWithoutModel(EngineFleet &fleet, const std::string &model);
void publishAll(EngineFleet &fleet);

// Lets a control VM receive a report again that an engine has sent some time ago, perhaps in an
// earlier life.
void repeatReport(EngineFleet &fleet, std::size_t which, Duration delay);

// Lets a control VM receive a report in the name of a running engine that another program has
// written. Without its group, the report says that the engine is in none.
void sendReportWithoutGroup(EngineFleet &fleet, const EndpointId &id, bool lacksEngineState);

// Returns the control VM that was elected last.
SimulatedControlVm &leaderOf(EngineFleet &fleet);
const SimulatedControlVm &leaderOf(const EngineFleet &fleet);

// Cuts the leader off from the other control VMs, or joins all of them again. A leader that is cut
// off commits nothing, but still receives reports and sends orders.
void setLeaderCutOff(EngineFleet &fleet, bool isCutOff);

// Lets another control VM take over. It knows the committed log and what has arrived there. The
// earlier leader goes on acting for `overlap`, but commits nothing more.
void changeLeader(EngineFleet &fleet, Duration overlap = Duration::zero());

// Returns the number of groups of the model whose head is open.
std::size_t countOpenGroups(const EngineFleet &fleet, const std::string &model);

} // namespace Trefoil
