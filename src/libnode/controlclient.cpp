#include "libnode/controlclient.h"

namespace Trefoil {

namespace {

EntryId pickNextSeatEntry(ControlClientState &client, const SeatSet &seats)
{
    if (seats.empty())
        return {};
    return seats[client.nextSeatIndex++ % seats.size()].entry;
}

void sendCall(ControlClientState &client, ControlCall &call, const SeatSet &seats, TimePoint now,
              ControlClientOutput &out)
{
    call.nextSend = now + client.options.resendInterval;
    call.sentTo = client.leader.empty() ? pickNextSeatEntry(client, seats) : client.leader;
    if (!call.sentTo.empty())
        out.send.emplace_back(call.sentTo, call.message);
}

} // namespace

std::uint64_t startCall(ControlClientState &client, ControlCall call, const SeatSet &seats,
                        TimePoint now, ControlClientOutput &out)
{
    const std::uint64_t id = client.nextCallId++;
    call.message.call = id;
    ControlCall &stored = client.calls.emplace(id, std::move(call)).first->second;
    sendCall(client, stored, seats, now, out);
    return id;
}

std::optional<ControlCall> handleProposeReply(ControlClientState &client, const EntryId &from,
                                              const ProposeReply &reply, const SeatSet &seats,
                                              TimePoint now, ControlClientOutput &out)
{
    const auto found = client.calls.find(reply.call);
    if (found == client.calls.end())
        return std::nullopt;
    if (reply.isLeader) {
        client.leader = from;
        ControlCall call = std::move(found->second);
        client.calls.erase(found);
        return call;
    }
    const bool hasLeaderHint = !reply.leaderHint.empty() && reply.leaderHint != from;
    client.leader = hasLeaderHint ? reply.leaderHint : EntryId{};
    if (hasLeaderHint && found->second.sentTo == from)
        sendCall(client, found->second, seats, now, out);
    return std::nullopt;
}

void tickControlClient(ControlClientState &client, const SeatSet &seats, TimePoint now,
                       ControlClientOutput &out)
{
    std::vector<std::uint64_t> expired;
    for (auto &[id, call] : client.calls) {
        if (now >= call.deadline) {
            expired.push_back(id);
            continue;
        }
        if (now < call.nextSend)
            continue;
        // The last receiver did not reply. Another seat may know the leader.
        if (call.sentTo == client.leader)
            client.leader.clear();
        sendCall(client, call, seats, now, out);
    }
    for (std::uint64_t id : expired) {
        out.expired.push_back(std::move(client.calls.at(id)));
        client.calls.erase(id);
    }
}

} // namespace Trefoil
