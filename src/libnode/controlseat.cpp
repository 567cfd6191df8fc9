#include "libnode/controlseat.h"

#include <xxhash.h>

#include <algorithm>

namespace Trefoil {

namespace {

void takeDisk(ControlSeatState &seat, RaftOutput &raftOut, ControlSeatOutput &out)
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

void answerPending(ControlSeatState &seat, const LogEntry &entry, const CommandReply &reply,
                   ControlSeatOutput &out)
{
    const auto found = seat.pending.find(entry.index);
    if (found == seat.pending.end())
        return;
    ProposalResult result;
    result.ticket = found->second.ticket;
    result.isApplied = found->second.term == entry.term;
    result.reply = reply;
    out.results.push_back(std::move(result));
    seat.pending.erase(found);
}

CommandReply applySeatsEntry(ControlSeatState &seat, const LogEntry &entry, ControlSeatOutput &out)
{
    applySeats(seat.control.config, entry.seats, entry.index);
    out.feed.push_back({entry.index, entry.seats});
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
        out.feed.push_back({entry.index, proposal.command});
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
    answerPending(seat, entry, reply, out);
}

void restore(ControlSeatState &seat, const RaftSnapshot &snapshot, ControlSeatOutput &out)
{
    const ControlLimits limits = seat.control.limits;
    seat.control = decodeControlState(*snapshot.data);
    seat.control.limits = limits;
    seat.appliedIndex = snapshot.index;
    out.feed.clear();
    out.restored = seat.control.config;
}

void failPending(ControlSeatState &seat, ControlSeatOutput &out)
{
    for (const auto &[index, pending] : seat.pending) {
        ProposalResult result;
        result.ticket = pending.ticket;
        out.results.push_back(std::move(result));
    }
    seat.pending.clear();
}

void compact(ControlSeatState &seat, RaftOutput &raftOut)
{
    if (seat.appliedIndex < seat.raft.snapshot->index + seat.options.compactEvery)
        return;
    raftCompact(seat.raft, seat.appliedIndex, encodeControlState(seat.control), raftOut);
}

void finish(ControlSeatState &seat, RaftOutput &raftOut, ControlSeatOutput &out)
{
    if (raftOut.restore)
        restore(seat, *raftOut.restore, out);
    for (const LogEntry &entry : raftOut.committed)
        applyEntry(seat, entry, out);
    if (seat.raft.role != RaftRole::Leader)
        failPending(seat, out);
    compact(seat, raftOut);
    std::move(raftOut.send.begin(), raftOut.send.end(), std::back_inserter(out.send));
    takeDisk(seat, raftOut, out);
}

std::optional<std::uint64_t> addPending(ControlSeatState &seat, std::optional<LogIndex> index,
                                        RaftOutput &raftOut, ControlSeatOutput &out)
{
    if (!index)
        return std::nullopt;
    const std::uint64_t ticket = seat.nextTicket++;
    seat.pending[*index] = {seat.raft.hardState.term, ticket};
    finish(seat, raftOut, out);
    return ticket;
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

void seatTick(ControlSeatState &seat, TimePoint now, ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftTick(seat.raft, now, raftOut);
    finish(seat, raftOut, out);
}

void seatReceive(ControlSeatState &seat, const RaftMessage &message, TimePoint now,
                 ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftReceive(seat.raft, message, now, raftOut);
    finish(seat, raftOut, out);
}

void seatSynced(ControlSeatState &seat, LogIndex index, Term term, TimePoint now,
                ControlSeatOutput &out)
{
    RaftOutput raftOut;
    raftConfirmSync(seat.raft, index, term, now, raftOut);
    finish(seat, raftOut, out);
}

std::optional<std::uint64_t> seatPropose(ControlSeatState &seat, const Proposal &proposal,
                                         TimePoint now, ControlSeatOutput &out)
{
    if (!isLeaderReady(seat.raft))
        return std::nullopt;
    RaftOutput raftOut;
    const auto index = raftPropose(seat.raft, encodeProposal(proposal), now, raftOut);
    return addPending(seat, index, raftOut, out);
}

std::optional<std::uint64_t> seatProposeSeats(ControlSeatState &seat, SeatSet seats, TimePoint now,
                                              ControlSeatOutput &out)
{
    RaftOutput raftOut;
    const auto index = raftProposeSeats(seat.raft, std::move(seats), now, raftOut);
    return addPending(seat, index, raftOut, out);
}

bool isActingLeader(const ControlSeatState &seat, TimePoint now)
{
    return isLeaderReady(seat.raft) && hasLeaderLease(seat.raft, now);
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
        const bool configuration =
                entry->kind == EntryKind::Seats
                || (entry->kind == EntryKind::Command && isConfigurationProposal(entry->payload));
        if (configuration)
            return index;
    }
    return seat.control.config.version;
}

} // namespace Trefoil
