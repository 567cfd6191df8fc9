#include "libnode/controlseat.h"

#include <xxhash.h>

#include <algorithm>

namespace Trefoil {

namespace {

// Passes the disk write, and the messages that must wait for it, to the caller.
void collectDiskWork(ControlSeatState &seat, RaftOutput &raftOut, ControlSeatOutput &out)
{
    if (raftOut.disk.isEmpty() && raftOut.sendAfterSync.empty())
        return;
    SeatDiskWork work;
    work.write = std::move(raftOut.disk);
    work.sendAfterSync = std::move(raftOut.sendAfterSync);
    work.lastIndex = lastLogIndex(seat.raft);
    work.lastTerm = termAt(seat.raft, work.lastIndex);
    out.disk.push_back(std::move(work));
}

// Reports the result of the proposal that waits for this log entry. If the entry is from another
// term, the proposal was overwritten and was not applied.
void completeProposal(ControlSeatState &seat, const LogEntry &entry, const CommandReply &reply,
                      ControlSeatOutput &out)
{
    const auto found = seat.pendingProposals.find(entry.index);
    if (found == seat.pendingProposals.end())
        return;
    ProposalResult result;
    result.proposalId = found->second.proposalId;
    result.isApplied = found->second.term == entry.term;
    result.reply = reply;
    out.results.push_back(std::move(result));
    seat.pendingProposals.erase(found);
}

CommandReply applySeatsEntry(ControlSeatState &seat, const LogEntry &entry, ControlSeatOutput &out)
{
    applySeats(seat.control.config, entry.seats, entry.index);
    out.configChanges.push_back({entry.index, entry.seats});
    CommandReply reply;
    reply.version = entry.index;
    return reply;
}

CommandReply applyCommandEntry(ControlSeatState &seat, const LogEntry &entry,
                               ControlSeatOutput &out)
{
    const Proposal proposal = decodeProposal(entry.payload);
    CommandReply reply = applyProposal(seat.control, proposal, entry.index);
    if (seat.control.config.version == entry.index)
        out.configChanges.push_back({entry.index, proposal.command});
    if (const auto *command = std::get_if<RecordDepartures>(&proposal.command))
        out.departures.insert(out.departures.end(), command->departures.begin(),
                              command->departures.end());
    return reply;
}

void applyEntry(ControlSeatState &seat, const LogEntry &entry, ControlSeatOutput &out)
{
    CommandReply reply;
    switch (entry.kind) {
    case EntryKind::Noop:
        break;
    case EntryKind::Seats:
        reply = applySeatsEntry(seat, entry, out);
        break;
    case EntryKind::Command:
        reply = applyCommandEntry(seat, entry, out);
        break;
    }
    seat.appliedIndex = entry.index;
    completeProposal(seat, entry, reply, out);
}

// Replaces the control state by a snapshot and keeps the local limits.
void restoreSnapshot(ControlSeatState &seat, const RaftSnapshot &snapshot, ControlSeatOutput &out)
{
    const ControlLimits limits = seat.control.limits;
    seat.control = decodeControlState(*snapshot.data);
    seat.control.limits = limits;
    seat.appliedIndex = snapshot.index;
    out.configChanges.clear();
    out.restoredConfig = seat.control.config;
    for (const auto &[endpoint, departure] : seat.control.departures)
        out.departures.push_back(departure);
}

// Reports all pending proposals as not applied.
void failPendingProposals(ControlSeatState &seat, ControlSeatOutput &out)
{
    for (const auto &[index, pending] : seat.pendingProposals) {
        ProposalResult result;
        result.proposalId = pending.proposalId;
        out.results.push_back(std::move(result));
    }
    seat.pendingProposals.clear();
}

// Replaces the applied part of the log by a snapshot once it is long enough.
void compactLog(ControlSeatState &seat, RaftOutput &raftOut)
{
    if (seat.appliedIndex < seat.raft.snapshot->index + seat.options.entriesBetweenSnapshots)
        return;
    raftCompact(seat.raft, seat.appliedIndex, encodeControlState(seat.control), raftOut);
}

// Applies the committed entries and passes messages, disk writes and results to the caller.
void processRaftOutput(ControlSeatState &seat, RaftOutput &raftOut, ControlSeatOutput &out)
{
    if (raftOut.restore)
        restoreSnapshot(seat, *raftOut.restore, out);
    for (const LogEntry &entry : raftOut.committed)
        applyEntry(seat, entry, out);
    if (seat.raft.role != RaftRole::Leader)
        failPendingProposals(seat, out);
    compactLog(seat, raftOut);
    std::move(raftOut.send.begin(), raftOut.send.end(), std::back_inserter(out.send));
    collectDiskWork(seat, raftOut, out);
}

// Tracks a proposal that Raft appended at `index`. Returns nothing if Raft refused it.
std::optional<std::uint64_t> registerProposal(ControlSeatState &seat, std::optional<LogIndex> index,
                                              RaftOutput &raftOut, ControlSeatOutput &out)
{
    if (!index)
        return std::nullopt;
    const std::uint64_t proposalId = seat.nextProposalId++;
    seat.pendingProposals[*index] = {seat.raft.hardState.term, proposalId};
    processRaftOutput(seat, raftOut, out);
    return proposalId;
}

} // namespace

ControlSeatState makeControlSeat(const RecoveredLog &recovered, const ControlSeatOptions &options,
                                 std::uint64_t seed, TimePoint now)
{
    ControlSeatState seat;
    seat.options = options;
    seat.raft = makeRaft(recovered.seat, options.raft, recovered.hardState, recovered.snapshot,
                         recovered.entries, recovered.initialSeats, seed, now);
    if (!seat.raft.snapshot->data->empty())
        seat.control = decodeControlState(*seat.raft.snapshot->data);
    else
        seat.control.config.seats = seat.raft.snapshot->seats;
    seat.appliedIndex = seat.raft.snapshot->index;
    return seat;
}

void tickControlSeat(ControlSeatState &seat, TimePoint now, ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftTick(seat.raft, now, raftOut);
    processRaftOutput(seat, raftOut, out);
}

void receiveRaftMessage(ControlSeatState &seat, const RaftMessage &message, TimePoint now,
                        ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftReceive(seat.raft, message, now, raftOut);
    processRaftOutput(seat, raftOut, out);
}

void handleSeatSynced(ControlSeatState &seat, LogIndex index, Term term, TimePoint now,
                      ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftConfirmSync(seat.raft, index, term, now, raftOut);
    processRaftOutput(seat, raftOut, out);
}

std::optional<std::uint64_t> proposeCommand(ControlSeatState &seat, const Proposal &proposal,
                                            TimePoint now, ControlSeatOutput &out)
{
    if (!isLeaderReady(seat.raft))
        return std::nullopt;
    RaftOutput raftOut;
    const auto index = raftPropose(seat.raft, encodeProposal(proposal), now, raftOut);
    return registerProposal(seat, index, raftOut, out);
}

std::optional<std::uint64_t> proposeSeats(ControlSeatState &seat, SeatSet seats, TimePoint now,
                                          ControlSeatOutput &out)
{
    RaftOutput raftOut;
    const auto index = raftProposeSeats(seat.raft, std::move(seats), now, raftOut);
    return registerProposal(seat, index, raftOut, out);
}

bool isActingLeader(const ControlSeatState &seat, TimePoint now)
{
    return isLeaderReady(seat.raft) && hasLeaderLease(seat.raft, now);
}

std::vector<DepartedEndpoint> departuresInEntries(std::span<const LogEntry> entries)
{
    std::vector<DepartedEndpoint> departures;
    for (const LogEntry &entry : entries) {
        if (entry.kind != EntryKind::Command || !isDepartureProposal(entry.payload))
            continue;
        const Proposal proposal = decodeProposal(entry.payload);
        const auto &command = std::get<RecordDepartures>(proposal.command);
        departures.insert(departures.end(), command.departures.begin(), command.departures.end());
    }
    return departures;
}

SeatId initialSeatId(const EntryId &entry)
{
    const std::string name = "initial seat of " + entry;
    return XXH3_64bits(name.data(), name.size());
}

SeatSet initialSeats(std::span<const EntryId> entries)
{
    SeatSet seats;
    for (const EntryId &entry : entries)
        seats.push_back({initialSeatId(entry), entry, true});
    return seats;
}

ConfigVersion newestVersionInLog(const ControlSeatState &seat)
{
    for (LogIndex index = lastLogIndex(seat.raft); index > seat.appliedIndex; --index) {
        const LogEntry *entry = entryAt(seat.raft, index);
        const bool changesConfig =
                entry->kind == EntryKind::Seats
                || (entry->kind == EntryKind::Command && isConfigurationProposal(entry->payload));
        if (changesConfig)
            return index;
    }
    return seat.control.config.version;
}

} // namespace Trefoil
