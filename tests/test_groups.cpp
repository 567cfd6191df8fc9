#define BOOST_TEST_MODULE groups
#include "libserving/handover.h"
#include "libserving/serving.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace Trefoil {

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr auto Wait = std::chrono::seconds(3);

Vm engine(const VmId &id, const std::string &fabric)
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

// Two fabric domains with three engines each, and a deployment of groups of two VMs.
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
        apply(AnnounceVm{engine(id, "fabric-a")});
    for (const char *id : {"b1", "b2", "b3"})
        apply(AnnounceVm{engine(id, "fabric-b")});
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

std::map<VmId, VmPresence> allPresent(const Configuration &config)
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

std::vector<Command> planOf(const ControlState &state, const std::map<VmId, VmPresence> &vms,
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
std::size_t countOf(const std::vector<Command> &commands)
{
    return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(),
                          [](const Command &c) { return std::holds_alternative<T>(c); }));
}

VmReport readyReport(const VmId &vm, GroupId group, TimePoint at)
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

struct BadGroup
{
    std::vector<VmId> vms;
    const char *why;
};

std::ostream &operator<<(std::ostream &out, const BadGroup &bad)
{
    return out << bad.why;
}

const std::vector<BadGroup> BadGroups = {
        {{"a1"}, "too few VMs"},
        {{"a1", "a1"}, "the same VM twice"},
        {{"a1", "b1"}, "two fabric domains"},
        {{"a1", "zz"}, "an unknown VM"},
};

BOOST_DATA_TEST_CASE(impossibleGroupIsRefused, boost::unit_test::data::make(BadGroups), bad)
{
    ControlState state = makeControl();
    BOOST_TEST(!apply(state, FormGroup{"kitchen-llm", bad.vms, "entry-a"}).isAccepted());
    BOOST_TEST(state.config.groups.empty());
}

BOOST_AUTO_TEST_CASE(lostVmCannotBeGrouped)
{
    ControlState state = makeControl();
    apply(state, SetVmStatus{"a1", 1, VmStatus::Lost});
    BOOST_TEST(!apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).isAccepted());
}

BOOST_AUTO_TEST_CASE(olderIncarnationIsRefused)
{
    ControlState state = makeControl();
    Vm restarted = engine("a1", "fabric-a");
    restarted.incarnation = 2;
    BOOST_TEST(apply(state, AnnounceVm{restarted}).isAccepted());
    BOOST_TEST(!apply(state, AnnounceVm{engine("a1", "fabric-a")}).isAccepted());
    BOOST_TEST(state.config.vms.at("a1").incarnation == 2u);
}

// --- Gate

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

std::ostream &operator<<(std::ostream &out, const GateCase &c)
{
    return out << "fault " << static_cast<int>(c.fault) << " gives " << toString(c.expected);
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

BOOST_DATA_TEST_CASE(gateOpensOnlyForAWholeGroup, boost::unit_test::data::make(GateCases), gate)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    const GateOptions options;
    VmReports reports{{"a1", readyReport("a1", id, Start)}, {"a2", readyReport("a2", id, Start)}};
    bool fresh = true;
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
        fresh = false;
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
    const GateInput input{state.config, reports, self, fresh, handover};
    BOOST_TEST((gateStatus(group, input, options, now) == gate.expected));
}

// --- Handover between dispatchers

BOOST_AUTO_TEST_CASE(newDispatcherWaitsForTheOldOne)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    const Configuration before = state.config;
    apply(state, SetDispatcher{id, "entry-b"});
    HandoverState handover;
    recordConfigurationChange(handover, before, state.config, "entry-b", false, Wait, Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + Wait));
    recordGroupRelease(handover, id, Start + std::chrono::milliseconds(20));
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id))
                == Start + std::chrono::milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(vmOfAnEndedGroupStaysBusy)
{
    ControlState state = makeControl();
    const GroupId old = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-b"}).formedGroup;
    HandoverState handover;
    Configuration before = state.config;
    apply(state, EndGroup{old, "test"});
    recordConfigurationChange(handover, before, state.config, "entry-a", false, Wait, Start);
    before = state.config;
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a2", "a3"}, "entry-a"}).formedGroup;
    recordConfigurationChange(handover, before, state.config, "entry-a", false, Wait, Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + Wait));
}

BOOST_AUTO_TEST_CASE(skippedConfigurationsCostTheWait)
{
    ControlState state = makeControl();
    const Configuration before = state.config;
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    HandoverState handover;
    recordConfigurationChange(handover, before, state.config, "entry-a", true, Wait, Start);
    BOOST_TEST((handoverEnd(handover, state.config.groups.at(id)) == Start + Wait));
}

// --- Planner

BOOST_AUTO_TEST_CASE(formsTheWantedGroups)
{
    ControlState state = makeControl();
    const auto commands = planOf(state, allPresent(state.config), Start);
    BOOST_TEST(countOf<FormGroup>(commands) == 2u);
    for (const Command &command : commands)
        BOOST_TEST(apply(state, command).isAccepted());
}

BOOST_AUTO_TEST_CASE(replacesAMissingVmBySpares)
{
    ControlState state = makeControl();
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"}).formedGroup;
    auto vms = allPresent(state.config);
    vms["a2"].isPresent = false;
    const PlannerOptions options;
    const auto early = planOf(state, vms, Start + options.replaceAfter / 2);
    BOOST_TEST(countOf<EndGroup>(early) == 0u);
    const auto due = planOf(state, vms, Start + options.replaceAfter);
    BOOST_REQUIRE(countOf<EndGroup>(due) == 1u);
    for (const Command &command : due)
        apply(state, command);
    BOOST_TEST(!state.config.groups.contains(id));
}

BOOST_AUTO_TEST_CASE(waitsWhenNothingCanReplace)
{
    ControlState state = makeControl();
    for (const char *id : {"a3", "b1", "b2", "b3"})
        apply(state, SetVmStatus{id, 1, VmStatus::Lost});
    apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"});
    auto vms = allPresent(state.config);
    vms["a2"].isPresent = false;
    const PlannerOptions options;
    const auto commands = planOf(state, vms, Start + options.lossTimeout / 2);
    BOOST_TEST(countOf<EndGroup>(commands) == 0u);
    const auto lost = planOf(state, vms, Start + options.lossTimeout);
    BOOST_TEST(countOf<SetVmStatus>(lost) == 1u);
}

BOOST_AUTO_TEST_CASE(secondLossDuringRecoveryEndsTheNewGroupToo)
{
    ControlState state = makeControl();
    apply(state, SetVmStatus{"a1", 1, VmStatus::Lost});
    const GroupId id = apply(state, FormGroup{"kitchen-llm", {"a2", "a3"}, "entry-a"}).formedGroup;
    auto vms = allPresent(state.config);
    vms["a2"].group = id;
    vms["a2"].state = EngineState::Loading;
    vms["a3"].isPresent = false;
    const auto commands = planOf(state, vms, Start + PlannerOptions{}.replaceAfter);
    BOOST_TEST(countOf<EndGroup>(commands) == 1u);
    // The other fabric domain serves meanwhile.
    BOOST_TEST(countOf<FormGroup>(commands) >= 1u);
}

BOOST_AUTO_TEST_CASE(movesGroupsOfAnUnreachableDispatcher)
{
    ControlState state = makeControl();
    apply(state, FormGroup{"kitchen-llm", {"a1", "a2"}, "entry-a"});
    std::vector<EntryPresence> entries = Entries;
    entries[0].isReachable = false;
    const auto vms = allPresent(state.config);
    const PlannerOptions options;
    BOOST_TEST(countOf<SetDispatcher>(planOf(state, vms, Start, entries)) == 0u);
    const auto due = planOf(state, vms, Start + options.dispatcherTimeout, entries);
    BOOST_TEST(countOf<SetDispatcher>(due) == 1u);
}

BOOST_AUTO_TEST_CASE(rollsAVersionOutGroupByGroup)
{
    ControlState state = makeControl();
    for (const Command &command : planOf(state, allPresent(state.config), Start))
        apply(state, command);
    auto vms = allPresent(state.config);
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
    const auto drain = planOf(state, vms, Start);
    BOOST_TEST(countOf<DrainGroup>(drain) == 1u);
    for (const Command &command : drain)
        apply(state, command);
    // The second one waits for the replacement of the first.
    BOOST_TEST(countOf<DrainGroup>(planOf(state, vms, Start)) == 0u);
    GroupId draining = 0;
    for (const auto &[id, group] : state.config.groups)
        draining = group.status == GroupStatus::Draining ? id : draining;
    const auto idle = planOf(state, vms, Start, Entries, {draining});
    BOOST_TEST(countOf<EndGroup>(idle) == 1u);
}

BOOST_DATA_TEST_CASE(everyPolicyFormsValidGroups,
                     boost::unit_test::data::make(PlacementPolicies::names()), policy)
{
    ControlState state = makeControl();
    SetDeployment change;
    change.deployment = "kitchen-llm";
    change.placement = policy;
    apply(state, change);
    const auto commands = planOf(state, allPresent(state.config), Start);
    BOOST_TEST(countOf<FormGroup>(commands) == 2u);
    for (const Command &command : commands)
        BOOST_TEST(apply(state, command).isAccepted());
}

} // namespace Trefoil
