#define BOOST_TEST_MODULE fulldisks
#include "support/fakefilesystem.h"

#include "libfleet/fleet.h"
#include "libgateway/controlseatkeeper.h"
#include "libnode/node.h"
#include "libruntime/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <random>

#include <sys/resource.h>
#include <unistd.h>

// Control VMs with real log stores on simulated disks that fail for some seconds, one after
// another, while changes are proposed. A seat with a disk error recovers from its disk like that of
// a control VM.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto StepDuration = milliseconds(10);
constexpr auto RecoveryDelay = milliseconds(700);
constexpr auto ChangeInterval = milliseconds(150);
constexpr auto SeatPlanInterval = milliseconds(400);

// Time within which a change that is sent again and again must be acknowledged, although one disk
// fails.
constexpr auto AcknowledgementTime = milliseconds(4000);

struct ControlVm
{
    std::string entry;
    SeatId id = NoSeat;
    SeatSet initialSeats;
    std::shared_ptr<FakeDisk> disk = std::make_shared<FakeDisk>();
    std::unique_ptr<LogStore> store;
    std::optional<ControlSeatState> seat;
    TimePoint recoversAt{};
};

struct Cluster
{
    std::vector<ControlVm> vms;
    std::vector<std::pair<TimePoint, RaftMessage>> messages;
    TimePoint now{std::chrono::hours(1)};
    TimePoint nextChangeAt{};
    TimePoint nextSeatPlanAt{};
    TimePoint lastAppliedAt{};
    Duration longestPause{}; // between two applied changes
    std::uint64_t changes = 0;
    std::uint64_t applied = 0;
    std::map<std::pair<SeatId, std::uint64_t>, std::uint64_t> proposedVersions; // by proposal
    std::uint64_t acknowledgedVersion = 0;
    std::mt19937_64 rng;
};

void recover(Cluster &cluster, ControlVm &vm)
{
    try {
        vm.store = std::make_unique<LogStore>(openFakeFolder(vm.disk));
        if (!vm.store->hasIdentity())
            vm.store->createIdentity(vm.id, vm.initialSeats);
        ControlSeatOptions options;
        options.entriesBetweenSnapshots = 24;
        vm.seat = makeControlSeat(vm.store->recover(), options, cluster.rng(), cluster.now);
    } catch (const DiskError &) {
        vm.seat.reset();
        vm.recoversAt = cluster.now + RecoveryDelay;
    }
}

void process(Cluster &cluster, ControlVm &vm, ControlSeatOutput out)
{
    const auto send = [&cluster](const std::vector<RaftMessage> &messages) {
        for (const RaftMessage &message : messages)
            cluster.messages.emplace_back(cluster.now + milliseconds(5), message);
    };
    for (const ProposalResult &result : out.results) {
        if (!result.isApplied)
            continue;
        ++cluster.applied;
        const auto proposed = cluster.proposedVersions.find({vm.id, result.proposalId});
        if (proposed != cluster.proposedVersions.end())
            cluster.acknowledgedVersion = std::max(cluster.acknowledgedVersion, proposed->second);
        if (cluster.lastAppliedAt != TimePoint{})
            cluster.longestPause =
                    std::max(cluster.longestPause, cluster.now - cluster.lastAppliedAt);
        cluster.lastAppliedAt = cluster.now;
    }
    send(out.send);
    for (const SeatDiskWork &work : out.disk) {
        if (!vm.seat)
            return;
        try {
            if (!work.write.isEmpty())
                vm.store->write(std::span(&work.write, 1));
        } catch (const DiskError &) {
            vm.seat.reset();
            vm.recoversAt = cluster.now + RecoveryDelay;
            return;
        }
        send(work.sendAfterSync);
        ControlSeatOutput next;
        handleSeatSynced(*vm.seat, work.lastIndex, work.lastTerm, cluster.now, next);
        process(cluster, vm, std::move(next));
    }
}

ControlVm *findLeader(Cluster &cluster)
{
    const auto found = std::find_if(cluster.vms.begin(), cluster.vms.end(), [&](ControlVm &vm) {
        return vm.seat && isActingLeader(*vm.seat, cluster.now);
    });
    return found == cluster.vms.end() ? nullptr : &*found;
}

void proposeChange(Cluster &cluster)
{
    ControlVm *leader = findLeader(cluster);
    if (!leader)
        return;
    Proposal proposal;
    proposal.command = PublishServices{++cluster.changes, std::string(3000, 'x')};
    ControlSeatOutput out;
    const auto id = proposeCommand(*leader->seat, proposal, cluster.now, out);
    if (id)
        cluster.proposedVersions[{leader->id, *id}] = cluster.changes;
    process(cluster, *leader, std::move(out));
}

void planSeatsOf(Cluster &cluster)
{
    ControlVm *leader = findLeader(cluster);
    if (!leader)
        return;
    std::vector<SeatCandidate> candidates;
    for (const ControlVm &vm : cluster.vms) {
        candidates.push_back({vm.seat ? vm.id : NoSeat, vm.entry, "domain-" + vm.entry});
    }
    std::vector<SeatContact> contacts;
    for (const auto &[id, progress] : leader->seat->raft.followers)
        contacts.push_back({id, progress.lastContact});
    auto next =
            planSeats(leader->seat->raft.seats, leader->id, contacts, candidates, {}, cluster.now);
    if (!next)
        return;
    ControlSeatOutput out;
    proposeSeats(*leader->seat, std::move(*next), cluster.now, out);
    process(cluster, *leader, std::move(out));
}

void run(Cluster &cluster, Duration duration)
{
    const TimePoint until = cluster.now + duration;
    while (cluster.now < until) {
        cluster.now += StepDuration;
        std::vector<RaftMessage> due;
        std::erase_if(cluster.messages, [&](const auto &item) {
            if (item.first <= cluster.now)
                due.push_back(item.second);
            return item.first <= cluster.now;
        });
        for (const RaftMessage &message : due) {
            for (ControlVm &vm : cluster.vms) {
                if (!vm.seat || vm.id != message.to)
                    continue;
                ControlSeatOutput out;
                receiveRaftMessage(*vm.seat, message, cluster.now, out);
                process(cluster, vm, std::move(out));
            }
        }
        for (ControlVm &vm : cluster.vms) {
            if (!vm.seat && cluster.now >= vm.recoversAt)
                recover(cluster, vm);
            if (!vm.seat)
                continue;
            ControlSeatOutput out;
            tickControlSeat(*vm.seat, cluster.now, out);
            process(cluster, vm, std::move(out));
        }
        if (cluster.now >= cluster.nextChangeAt) {
            cluster.nextChangeAt = cluster.now + ChangeInterval;
            proposeChange(cluster);
        }
        if (cluster.now >= cluster.nextSeatPlanAt) {
            cluster.nextSeatPlanAt = cluster.now + SeatPlanInterval;
            planSeatsOf(cluster);
        }
    }
}

Cluster makeCluster(std::size_t vms, std::uint64_t seed)
{
    Cluster cluster;
    cluster.rng.seed(seed);
    SeatSet seats;
    for (SeatId id = 1; id <= 3; ++id)
        seats.push_back({id, "vm-" + std::to_string(id), true});
    for (SeatId id = 1; id <= vms; ++id) {
        ControlVm vm;
        vm.entry = "vm-" + std::to_string(id);
        vm.id = id;
        if (id <= 3)
            vm.initialSeats = seats;
        cluster.vms.push_back(std::move(vm));
    }
    return cluster;
}

// Ends the leader again and again until each voter has led.
void checkThatAllVotersLead(Cluster &cluster, const std::string &context)
{
    std::set<SeatId> led;
    for (int i = 0; i < 60; ++i) {
        run(cluster, seconds(3));
        ControlVm *leader = findLeader(cluster);
        BOOST_REQUIRE_MESSAGE(leader, context << ": no leader");
        led.insert(leader->id);
        BOOST_REQUIRE_MESSAGE(leader->seat->control.config.services.version
                                      >= cluster.acknowledgedVersion,
                              context << ": an acknowledged change is lost");
        const SeatSet seats = leader->seat->raft.seats;
        const bool haveAllLed = std::all_of(seats.begin(), seats.end(), [&led](const Seat &seat) {
            return !seat.isVoter || led.contains(seat.id);
        });
        if (haveAllLed && seats.size() == 3)
            return;
        leader->seat.reset();
        leader->recoversAt = cluster.now + seconds(2);
    }
    BOOST_REQUIRE_MESSAGE(false, context << ": a voter never led");
}

struct DiskFault
{
    std::string operation; // empty for a disk without room
    std::size_t freeBytes = 0;
};

const std::vector<DiskFault> DiskFaults = {
        {"", 0},        {"", 100},    {"", 5000}, {"append"}, {"sync"},
        {"openAppend"}, {"truncate"}, {"rename"}, {"remove"}, {"syncFolder"},
};

void setFault(ControlVm &vm, const DiskFault *fault)
{
    const bool isFull = fault && fault->operation.empty();
    vm.disk->freeBytes = isFull ? fault->freeBytes : SIZE_MAX;
    vm.disk->failingOperation = fault ? fault->operation : "";
}

// Lets writes beyond this size of a file fail in this process, as on a full disk.
void limitFileSizes(rlim_t bytes)
{
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = std::min(bytes, limit.rlim_max);
    setrlimit(RLIMIT_FSIZE, &limit);
}

// The only seat of a control VM with real files.
struct KeeperFixture
{
    std::filesystem::path folder = std::filesystem::temp_directory_path()
                                   / ("trefoil-fulldisks-" + std::to_string(::getpid()));
    boost::asio::io_context context;
    GatewaySettings settings;
    std::unique_ptr<ControlSeatKeeper> keeper;
    std::uint64_t version = 0;

    KeeperFixture()
    {
        std::filesystem::remove_all(folder);
        settings.address = "127.0.0.1";
        settings.internalPort = 7000;
        settings.seeds = {"127.0.0.1:7001"};
        settings.isFirstStart = true;
        settings.dataFolder = folder.string();
        keeper = std::make_unique<ControlSeatKeeper>(
                context, settings,
                ControlSeatKeeper::Handlers{[](const RaftMessage &) {}, [] {},
                                            [](std::span<const DepartedEndpoint>, bool) {}});
    }

    ~KeeperFixture()
    {
        limitFileSizes(RLIM_INFINITY);
        keeper.reset();
        std::filesystem::remove_all(folder);
    }

    // Runs until the condition holds. Returns false when it does not within the time.
    bool runUntil(const std::function<bool()> &condition, Duration time)
    {
        const TimePoint end = RuntimeClock::now() + time;
        while (!condition() && RuntimeClock::now() < end) {
            keeper->tick();
            context.restart();
            context.run_for(milliseconds(10));
        }
        return condition();
    }

    // Returns whether a change is answered within the time, and how.
    std::optional<bool> change(Duration time)
    {
        std::optional<bool> outcome;
        const bool isProposed =
                keeper->propose(PublishServices{++version, std::string(2000, 'x')},
                                [&outcome](bool isApplied) { outcome = isApplied; });
        if (!isProposed)
            return false;
        runUntil([&outcome] { return outcome.has_value(); }, time);
        return outcome;
    }
};

} // namespace

// The disk of a control VM is full at its start, and again and again later. Each change is answered
// meanwhile, and changes are accepted once there is room.
BOOST_AUTO_TEST_CASE(control_vm_does_not_recover_from_a_full_disk)
{
    limitFileSizes(10);
    KeeperFixture fixture;
    const auto isLeading = [&fixture] { return fixture.keeper->isActingLeader(); };
    BOOST_CHECK(!fixture.runUntil(isLeading, seconds(1)));
    for (int turn = 0; turn < 4; ++turn) {
        limitFileSizes(RLIM_INFINITY);
        BOOST_REQUIRE(fixture.runUntil(isLeading, seconds(4)));
        for (int i = 0; i < 10 * turn; ++i)
            BOOST_REQUIRE(fixture.change(seconds(2)) == true);
        const std::uint64_t accepted = fixture.version;
        limitFileSizes(1000);
        BOOST_REQUIRE(fixture.change(seconds(2)) == false);
        BOOST_CHECK(fixture.keeper->services().version >= (turn > 0 ? accepted : 0));
        fixture.runUntil([] { return false; }, milliseconds(900));
    }
}

// Long after the last disk has room again, changes stay unanswered or a seat can not lead.
BOOST_AUTO_TEST_CASE(disks_that_were_full_one_after_another_stop_changes)
{
    Duration longestPause{};
    for (const std::size_t vms : {std::size_t{3}, std::size_t{5}}) {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            for (const DiskFault &fault : DiskFaults) {
                const std::string context = std::to_string(vms) + " VMs, seed "
                                            + std::to_string(seed) + ", " + fault.operation + " "
                                            + std::to_string(fault.freeBytes);
                Cluster cluster = makeCluster(vms, seed);
                run(cluster, seconds(4));
                for (int turn = 0; turn < 8; ++turn) {
                    // Even turns take the leader, the others any VM.
                    ControlVm *leader = findLeader(cluster);
                    ControlVm &vm = turn % 2 == 0 && leader
                                            ? *leader
                                            : cluster.vms[cluster.rng() % cluster.vms.size()];
                    setFault(vm, &fault);
                    run(cluster, milliseconds(1000 + cluster.rng() % 5000));
                    setFault(vm, nullptr);
                    // Every second disk fails again while its seat recovers.
                    if (turn % 4 >= 2) {
                        run(cluster, milliseconds(cluster.rng() % 900));
                        setFault(vm, &fault);
                        run(cluster, milliseconds(1000));
                        setFault(vm, nullptr);
                    }
                    run(cluster, milliseconds(cluster.rng() % 2500));
                }
                run(cluster, seconds(6));
                longestPause = std::max(longestPause, cluster.longestPause);
                BOOST_CHECK_MESSAGE(cluster.longestPause <= AcknowledgementTime,
                                    context << ": no change was applied for "
                                            << cluster.longestPause / milliseconds(1) << " ms");
                const std::uint64_t applied = cluster.applied;
                run(cluster, seconds(3));
                BOOST_REQUIRE_MESSAGE(cluster.applied > applied + 15,
                                      context << ": changes are not applied");
                checkThatAllVotersLead(cluster, context);
            }
        }
    }
    BOOST_TEST_MESSAGE("longest time without a change: " << longestPause / milliseconds(1)
                                                         << " ms");
}

} // namespace Trefoil
