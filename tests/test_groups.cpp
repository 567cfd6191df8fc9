#define BOOST_TEST_MODULE groups
#include "libserving/handover.h"
#include "libserving/serving.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace Trefoil {

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr auto HandoverTime = std::chrono::seconds(3);

Vm makeEngine(const VmId &id, const std::string &fabric)
{
    Vm vm;
    vm.id = id;
    vm.address = "10.0.0.1:8000";
    vm.domain = "bole";
    vm.fabric = fabric;
    vm.accelerators = 4;
    vm.slots = 8;
    vm.incarnation = 1;
    return vm;
}

// Returns a state with two fabric domains of three engines each and a deployment with groups of two
// VMs.
ControlState makeControl()
{
    ControlState state;
    LogIndex index = 0;
    const auto apply = [&](Command command) {
        Proposal proposal;
        proposal.command = std::move(command);
        BOOST_REQUIRE(applyProposal(state, proposal, ++index).isAccepted());
    };
    for (const char *id : {"a1", "a2", "a3"})
        apply(AnnounceVm{makeEngine(id, "fabric-a")});
    for (const char *id : {"b1", "b2", "b3"})
        apply(AnnounceVm{makeEngine(id, "fabric-b")});
    SetDeployment deployment;
    deployment.deployment = "kitchen-llm";
    deployment.model = "m";
    deployment.version = "v1";
    deployment.vmsPerGroup = 2;
    deployment.groups = 2;
    apply(deployment);
    return state;
}

CommandReply apply(ControlState &state, Command command)
{
    Proposal proposal;
    proposal.command = std::move(command);
    static LogIndex index = 1000;
    return applyProposal(state, proposal, ++index);
}

std::map<VmId, VmPresence> makeAllPresent(const Configuration &config)
{
    std::map<VmId, VmPresence> presence;
    for (const auto &[id, vm] : config.vms) {
        presence[id].isPresent = true;
        presence[id].changedAt = Start;
    }
    return presence;
}

const std::vector<EntryPresence> Entries = {{"entry-a", "bole", true, Start},
                                            {"entry-b", "piassa", true, Start}};

std::vector<Command> planCommands(const ControlState &state, const std::map<VmId, VmPresence> &vms,
                                  TimePoint now, std::span<const EntryPresence> entries = Entries,
                                  std::set<GroupId> idle = {})
{
    const PlannerInput input{state.config, vms, entries, std::move(idle)};
    std::vector<Command> commands;
    for (PlannedCommand &planned : planChanges(input, PlannerOptions{}, now))
        commands.push_back(std::move(planned.command));
    return commands;
}

template <class T>
std::size_t countCommands(const std::vector<Command> &commands)
{
    return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(),
                          [](const Command &c) { return std::holds_alternative<T>(c); }));
}

VmReport makeReadyReport(const VmId &vm, GroupId group, TimePoint at)
{
    VmReport report;
    report.vm = vm;
    report.incarnation = 1;
    report.group = group;
    report.state = EngineState::Ready;
    report.receivedAt = at;
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(vmIsNeverInTwoGroups)
{
    ControlState state = makeControl();
    const FormGroup first{"kitchen-llm", {"a1", "a2"}, "entry-a"};
    BOOST_TEST(apply(state, first).isAccepted());
    const FormGroup second{"kitchen-llm", {"a2", "a3"}, "entry-a"};
    BOOST_TEST((apply(state, second).code == ReplyCode::Invalid));
    BOOST_TEST(state.config.groups.size() == 1u);
}

struct InvalidGroup
{
    std::vector<VmId> vms;
    const char *problem;
};

std::ostream &operator<<(std::ostream &out, const InvalidGroup &invalid)
{
    return out << invalid.problem;
}

const std::vector<InvalidGroup> InvalidGroups = {
        {{"a1"}, "too few VMs"},
        {{"a1", "a1"}, "the same VM twice"},
        {{"a1", "b1"}, "two fabric domains"},
        {{"a1", "zz"}, "an unknown VM"},
};

BOOST_DATA_TEST_CASE(invalidGroupIsNotFormed, boost::unit_test::data::make(InvalidGroups), invalid)
{
    ControlState state = makeControl();
    BOOST_TEST(!apply(state, FormGroup{"kitchen-llm", invalid.vms, "entry-a"}).isAccepted());
    BOOST_TEST(state.config.groups.empty());
}

BOOST_AUTO_TEST_CASE(lostVmJoinsNoGroup)
{
    ControlState state = makeControl();
    apply(state, SetVmStatus{"a1", 1, VmStatus::Lost});
    BOOST_TEST(!apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).isAccepted());
}

BOOST_AUTO_TEST_CASE(olderIncarnationDoesNotReplaceANewerOne)
{
    ControlState state = makeControl();
    Vm restarted = makeEngine("a1", "fabric-a");
    restarted.incarnation = 2;
    BOOST_TEST(apply(state, AnnounceVm{restarted}).isAccepted());
    BOOST_TEST(!apply(state, AnnounceVm{makeEngine("a1", "fabric-a")}).isAccepted());
    BOOST_TEST(state.config.vms.at("a1").incarnation == 2u);
}

enum class GateFault {
    None,
    OtherDispatcher,
    Stale,
    SilentVm,
    NoReport,
    OldIncarnation,
    VmLost,
    Loading,
    OtherGroup,
    DrainingGroup,
    DrainingVm,
    Handover,
};

struct GateCase
{
    GateFault fault;
    GateStatus expected;
};

std::ostream &operator<<(std::ostream &out, const GateCase &gate)
{
    return out << "fault " << static_cast<int>(gate.fault) << " gives " << toString(gate.expected);
}

const std::vector<GateCase> GateCases = {
        {GateFault::None, GateStatus::Open},
        {GateFault::OtherDispatcher, GateStatus::NotDispatcher},
        {GateFault::Stale, GateStatus::Stale},
        {GateFault::SilentVm, GateStatus::VmMissing},
        {GateFault::NoReport, GateStatus::VmMissing},
        {GateFault::OldIncarnation, GateStatus::VmMissing},
        {GateFault::VmLost, GateStatus::VmMissing},
        {GateFault::Loading, GateStatus::Loading},
        {GateFault::OtherGroup, GateStatus::Loading},
        {GateFault::DrainingGroup, GateStatus::Draining},
        {GateFault::DrainingVm, GateStatus::Draining},
        {GateFault::Handover, GateStatus::Handover},
};

// A dispatcher must send requests to a group only while all of its VMs are present, ready and not
// draining, and no earlier dispatcher may still use them.
BOOST_DATA_TEST_CASE(gateDoesNotOpenForAnIncompleteGroup, boost::unit_test::data::make(GateCases),
                     gate)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    const GateOptions options;
    VmReports reports{{"a1", makeReadyReport("a1", id, Start)},
                      {"a2", makeReadyReport("a2", id, Start)}};
    bool isFresh = true;
    TimePoint handover{};
    EntryId self = "entry-a";
    TimePoint now = Start + std::chrono::milliseconds(10);
    ServingGroup &group = state.config.groups.at(id);
    switch (gate.fault) {
    case GateFault::None:
        break;
    case GateFault::OtherDispatcher:
        self = "entry-b";
        break;
    case GateFault::Stale:
        isFresh = false;
        break;
    case GateFault::SilentVm:
        now = Start + options.heartbeatBound + std::chrono::milliseconds(1);
        break;
    case GateFault::NoReport:
        reports.erase("a2");
        break;
    case GateFault::OldIncarnation:
        state.config.vms.at("a2").incarnation = 2;
        break;
    case GateFault::VmLost:
        state.config.vms.at("a2").status = VmStatus::Lost;
        break;
    case GateFault::Loading:
        reports.at("a2").state = EngineState::Loading;
        break;
    case GateFault::OtherGroup:
        reports.at("a2").group = id - 1;
        break;
    case GateFault::DrainingGroup:
        group.status = GroupStatus::Draining;
        break;
    case GateFault::DrainingVm:
        state.config.vms.at("a1").status = VmStatus::Draining;
        break;
    case GateFault::Handover:
        handover = now + std::chrono::milliseconds(1);
        break;
    }
    const GateInput input{state.config, reports, self, isFresh, handover};
    BOOST_TEST((gateStatus(group, input, options, now) == gate.expected));
}

// The previous dispatcher may still send requests until it releases the group or the handover time
// ends.
BOOST_AUTO_TEST_CASE(newDispatcherDoesNotOverlapTheOldOne)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    const Configuration before = state.config;
    apply(state, SetDispatcher{id, "entry-b"});
    HandoverState handover;
    recordConfigurationChange(handover, before, state.config, "entry-b", false, HandoverTime,
                              Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + HandoverTime));
    recordGroupRelease(handover, id, Start + std::chrono::milliseconds(20));
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id))
                == Start + std::chrono::milliseconds(20)));
}

// A VM's ended group may still have requests of its dispatcher when the VM joins another group.
BOOST_AUTO_TEST_CASE(vmOfAnEndedGroupIsNotReusedAtOnce)
{
    ControlState state = makeControl();
    const GroupId old = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-b"}).formedGroup;
    HandoverState handover;
    Configuration before = state.config;
    apply(state, EndGroup{old, "test"});
    recordConfigurationChange(handover, before, state.config, "entry-a", false, HandoverTime,
                              Start);
    before = state.config;
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a2", "a3"}, "entry-a"}).formedGroup;
    recordConfigurationChange(handover, before, state.config, "entry-a", false, HandoverTime,
                              Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + HandoverTime));
}

// An entry that skipped configurations cannot know which dispatchers its VMs had in between.
BOOST_AUTO_TEST_CASE(skippedConfigurationsDoNotHideAnEarlierDispatcher)
{
    ControlState state = makeControl();
    const Configuration before = state.config;
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    HandoverState handover;
    recordConfigurationChange(handover, before, state.config, "entry-a", true, HandoverTime, Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + HandoverTime));
}

BOOST_AUTO_TEST_CASE(configuredGroupsAreNotLeftOut)
{
    ControlState state = makeControl();
    const auto commands = planCommands(state, makeAllPresent(state.config), Start);
    BOOST_TEST(countCommands<FormGroup>(commands) == 2u);
    for (const Command &command : commands)
        BOOST_TEST(apply(state, command).isAccepted());
}

BOOST_AUTO_TEST_CASE(missingVmDoesNotKeepItsGroupDown)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    auto vms = makeAllPresent(state.config);
    vms["a2"].isPresent = false;
    const PlannerOptions options;
    const auto early = planCommands(state, vms, Start + options.replaceAfter / 2);
    BOOST_TEST(countCommands<EndGroup>(early) == 0u);
    const auto due = planCommands(state, vms, Start + options.replaceAfter);
    BOOST_REQUIRE(countCommands<EndGroup>(due) == 1u);
    for (const Command &command : due)
        apply(state, command);
    BOOST_TEST(!state.config.groups.contains(id));
}

BOOST_AUTO_TEST_CASE(groupWithoutSpareVmsIsNotEnded)
{
    ControlState state = makeControl();
    for (const char *id : {"a3", "b1", "b2", "b3"})
        apply(state, SetVmStatus{id, 1, VmStatus::Lost});
    apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"});
    auto vms = makeAllPresent(state.config);
    vms["a2"].isPresent = false;
    const PlannerOptions options;
    const auto commands = planCommands(state, vms, Start + options.lossTimeout / 2);
    BOOST_TEST(countCommands<EndGroup>(commands) == 0u);
    const auto lost = planCommands(state, vms, Start + options.lossTimeout);
    BOOST_TEST(countCommands<SetVmStatus>(lost) == 1u);
}

BOOST_AUTO_TEST_CASE(secondLossDuringRecoveryDoesNotBlockTheNewGroup)
{
    ControlState state = makeControl();
    apply(state, SetVmStatus{"a1", 1, VmStatus::Lost});
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a2", "a3"}, "entry-a"}).formedGroup;
    auto vms = makeAllPresent(state.config);
    vms["a2"].group = id;
    vms["a2"].state = EngineState::Loading;
    vms["a3"].isPresent = false;
    const auto commands = planCommands(state, vms, Start + PlannerOptions{}.replaceAfter);
    BOOST_TEST(countCommands<EndGroup>(commands) == 1u);
    // The other fabric domain serves in the meantime.
    BOOST_TEST(countCommands<FormGroup>(commands) >= 1u);
}

BOOST_AUTO_TEST_CASE(unreachableDispatcherDoesNotKeepItsGroups)
{
    ControlState state = makeControl();
    apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"});
    std::vector<EntryPresence> entries = Entries;
    entries[0].isReachable = false;
    const auto vms = makeAllPresent(state.config);
    const PlannerOptions options;
    BOOST_TEST(countCommands<SetDispatcher>(planCommands(state, vms, Start, entries)) == 0u);
    const auto due = planCommands(state, vms, Start + options.dispatcherTimeout, entries);
    BOOST_TEST(countCommands<SetDispatcher>(due) == 1u);
}

BOOST_AUTO_TEST_CASE(rolloutDoesNotDrainTwoGroupsAtOnce)
{
    ControlState state = makeControl();
    for (const Command &command : planCommands(state, makeAllPresent(state.config), Start))
        apply(state, command);
    auto vms = makeAllPresent(state.config);
    for (const auto &[id, group] : state.config.groups) {
        for (const VmId &vm : group.vms) {
            vms[vm].group = id;
            vms[vm].state = EngineState::Ready;
        }
    }
    SetDeployment next;
    next.deployment = "kitchen-llm";
    next.version = "v2";
    apply(state, next);
    const auto drain = planCommands(state, vms, Start);
    BOOST_TEST(countCommands<DrainGroup>(drain) == 1u);
    for (const Command &command : drain)
        apply(state, command);
    // The second group drains only after the first one was replaced.
    BOOST_TEST(countCommands<DrainGroup>(planCommands(state, vms, Start)) == 0u);
    GroupId draining = 0;
    for (const auto &[id, group] : state.config.groups)
        draining = group.status == GroupStatus::Draining ? id : draining;
    const auto idle = planCommands(state, vms, Start, Entries, {draining});
    BOOST_TEST(countCommands<EndGroup>(idle) == 1u);
}

BOOST_DATA_TEST_CASE(noPolicyFormsInvalidGroups,
                     boost::unit_test::data::make(PlacementPolicies::names()), policy)
{
    ControlState state = makeControl();
    SetDeployment change;
    change.deployment = "kitchen-llm";
    change.placement = policy;
    apply(state, change);
    const auto commands = planCommands(state, makeAllPresent(state.config), Start);
    BOOST_TEST(countCommands<FormGroup>(commands) == 2u);
    for (const Command &command : commands)
        BOOST_TEST(apply(state, command).isAccepted());
}

} // namespace Trefoil
