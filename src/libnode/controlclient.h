#pragma once

#include "libserving/serving.h"

#include <map>
#include <string>
#include <vector>

// Calls to the control leader: finds it, resends until an answer or the deadline. Commands carry an
// identity or are idempotent, so a resent one has no second effect.

namespace Trefoil {

// What a call is for; tells the node where its answer goes.
enum class CallPurpose : std::uint8_t { Operator, Key, Announce, Leave, Background };

struct ControlCall
{
    ProposeCall message;
    CallPurpose purpose = CallPurpose::Background;
    std::uint64_t subject = 0; // operator call, request number or endpoint call
    EntryId sentTo;
    TimePoint nextSend{};
    TimePoint deadline{};
};

struct ControlClientOptions
{
    Duration resendInterval = std::chrono::milliseconds(400);
};

struct ControlClientState
{
    ControlClientOptions options;
    std::map<std::uint64_t, ControlCall> calls;
    std::uint64_t nextCall = 1;
    EntryId leader; // last known, may be empty
    std::size_t nextSeat = 0;
};

struct ControlClientOutput
{
    std::vector<std::pair<EntryId, ProposeCall>> send;
    std::vector<ControlCall> expired; // deadline passed without an answer
};

std::uint64_t startCall(ControlClientState &client, ControlCall call, const SeatSet &seats,
                        TimePoint now, ControlClientOutput &out);

// Returns the finished call, or nothing when the reply only names another leader or is late.
std::optional<ControlCall> handleProposeReply(ControlClientState &client, const EntryId &from,
                                              const ProposeReply &reply, const SeatSet &seats,
                                              TimePoint now, ControlClientOutput &out);

void controlClientTick(ControlClientState &client, const SeatSet &seats, TimePoint now,
                       ControlClientOutput &out);

} // namespace Trefoil
