#pragma once

#include "libserving/serving.h"

#include <map>
#include <string>
#include <vector>

// Client of the control leader. Finds the leader and resends each call until it is answered or its
// deadline passes. A resent command has no second effect, because commands carry an identity or are
// idempotent.

namespace Trefoil {

// Purpose of a call. The node uses it to route the answer.
enum class CallPurpose : std::uint8_t { Operator, Key, Announce, Leave, Background };

// A call to the control leader that is not answered yet.
struct ControlCall
{
    ProposeCall message;
    CallPurpose purpose = CallPurpose::Background;
    // Operator session, request number or endpoint session, depending on the purpose.
    std::uint64_t correlationId = 0;
    EntryId sentTo; // empty when no seat is known
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
    std::uint64_t nextCallId = 1;
    EntryId leader;                // last known leader; empty when unknown
    std::size_t nextSeatIndex = 0; // round-robin over the seats while no leader is known
};

struct ControlClientOutput
{
    std::vector<std::pair<EntryId, ProposeCall>> send;
    std::vector<ControlCall> expired; // calls whose deadline passed without an answer
};

// Sends the call and tracks it until it is answered or expires. Returns the id of the call.
std::uint64_t startCall(ControlClientState &client, ControlCall call, const SeatSet &seats,
                        TimePoint now, ControlClientOutput &out);

// Returns the answered call. Returns nothing if the reply came from a seat that does not lead, or
// if the call is no longer tracked.
std::optional<ControlCall> handleProposeReply(ControlClientState &client, const EntryId &from,
                                              const ProposeReply &reply, const SeatSet &seats,
                                              TimePoint now, ControlClientOutput &out);

// Resends the calls that are due and expires those whose deadline has passed.
void tickControlClient(ControlClientState &client, const SeatSet &seats, TimePoint now,
                       ControlClientOutput &out);

} // namespace Trefoil
