#pragma once

#include "libfleet/fleet.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// A fleet of stand-in engines in virtual time that obeys group orders as the engines' published
// protocol says, with lost answers, late orders, silent links and crashes. It keeps a list of the
// promises that were broken.

namespace Trefoil {

struct StandInEngine
{
    EndpointReport report;
    bool isRunning = true;
    bool isCut = false;                     // from control; its group goes on serving
    TimePoint changesAt = TimePoint::max(); // next step of its membership
    MembershipPhase nextPhase = MembershipPhase::Joining;
    std::vector<EndpointId> members; // of its group
    std::string lastModel;           // of its last group since the start
    std::string staging;             // model that is loaded onto the host
    TimePoint stagedAt{};
    std::uint64_t highestEpoch = 0;
    std::uint64_t highestFence = 0;
    TimePoint nextReport{};
    TimePoint stillSince = TimePoint::max(); // of a head whose group has lost a VM
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
};

struct EngineFleet
{
    ServiceConfiguration config;
    std::map<EndpointId, StandInEngine> engines;
    EndpointTable table; // of the leader
    GroupPlanner planner;
    std::vector<DelayedOrder> orders;
    // Members that have been ready, by group and epoch.
    std::map<std::pair<std::string, std::uint64_t>, std::set<EndpointId>> wasReady;
    std::vector<TimePoint> loads;
    std::vector<std::string> broken; // promises
    TimePoint now{};
    std::mt19937_64 rng;
    std::vector<DelayedAnswer> answers;
    std::vector<DelayedReport> reports;
    double slowShare = 0;                         // of the answers and reports that come late
    std::chrono::milliseconds longestDelay{2000}; // of these
    double lateShare = 0; // of the orders that get no answer and are carried out late
    std::uint64_t nextLife = 1;
    Duration stall = std::chrono::seconds(6);
};

// A service with models of 4 and 2 VMs over engines in fabric domains.
EngineFleet makeEngineFleet(std::size_t fabrics, std::uint64_t seed, std::size_t vmsPerFabric = 8);

// Carries out an order at its engine, which must exist.
OrderOutcome obeyOrder(EngineFleet &fleet, const GroupOrder &order);

// Brings all engines to the present; their reports are queued.
void advanceEngines(EngineFleet &fleet);

// Runs the fleet and the planner for a while in steps of 10 ms.
void runFleet(EngineFleet &fleet, Duration duration);

void crashEngine(EngineFleet &fleet, const EndpointId &id);

// Starts the engine again as another life with another id, which is returned.
EndpointId restartEngine(EngineFleet &fleet, const EndpointId &id);

// Adds an engine whose host holds no model. Returns its id.
EndpointId addEngine(EngineFleet &fleet, const std::string &fabric);

void setCut(EngineFleet &fleet, const EndpointId &id, bool isCut);
void setDraining(EngineFleet &fleet, const EndpointId &id);

// Another leader takes over with the table that the control VMs share.
void changeLeader(EngineFleet &fleet);

// Heads that serve.
std::size_t openGroups(const EngineFleet &fleet, const std::string &model);

} // namespace Trefoil
