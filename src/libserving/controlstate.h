#pragma once

#include "libserving/commands.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>

// The replicated state machine of the control plane: the configuration, the stored replies to
// operators' commands, the idempotency keys, the departures of endpoints
// and the groups of engines. It is deterministic: applying the same log entries
// in the same order gives the same state on every seat.

namespace Trefoil {

// The first reply to a command and the digest of the command text.
struct StoredReply
{
    std::uint64_t digest = 0;
    CommandReply reply;

    bool operator==(const StoredReply &) const = default;
};

// The stored replies of one operator. The oldest is dropped first.
struct OperatorReplies
{
    std::map<std::uint64_t, StoredReply> byNumber;
    std::deque<std::uint64_t> numbersByAge;

    bool operator==(const OperatorReplies &) const = default;
};

struct KeyRecord
{
    std::uint64_t digest = 0;
    std::uint64_t claimedAtMs = 0;
    KeyResult result;
    // The owners whose claims were refused. A late copy of such a claim must not be granted, since
    // its request has ended.
    std::deque<KeyOwner> refusedOwners;

    bool operator==(const KeyRecord &) const = default;
};

struct ControlLimits
{
    std::size_t repliesPerOperator = 1000;
    std::size_t operators = 1000;
    std::size_t keys = 200'000;
    std::uint64_t keyRetentionMs = 24ull * 3600 * 1000;
    // Reports of an endpoint that arrive later than this after its departure are not expected.
    std::uint64_t departureRetentionMs = 3600ull * 1000;
    std::size_t departures = 10'000;
    // The number of refused owners that are stored for each key.
    std::size_t maxRefusedOwners = 64;
    // Longer answers are recorded without their body.
    std::size_t keyBodyBytes = 16 * 1024;
};

struct ControlState
{
    ControlLimits limits;
    Configuration config;
    std::map<std::string, OperatorReplies> replies;
    std::deque<std::string> operatorsByFirstUse;
    std::map<std::string, KeyRecord> keys;
    std::deque<std::string> keysByClaimTime;
    // The keys whose call has no outcome yet.
    std::set<std::string> runningKeys;
    // The latest wall clock of a proposer. It never goes back.
    std::uint64_t wallTimeMs = 0;
    std::map<std::string, DepartedEndpoint> departures; // by endpoint, the latest incarnation
    GroupRecords groups;
};

// Applies the committed proposal at log index `index`.
CommandReply applyProposal(ControlState &state, const Proposal &proposal, LogIndex index);

// Applies the committed seat change at log index `index`.
void applySeats(Configuration &config, const SeatSet &seats, LogIndex index);

// Applies a command to a configuration without the rest of the control state, as entries without a
// seat do. A command that the control state refused leaves the configuration unchanged.
CommandReply applyToConfiguration(Configuration &config, const Command &command, LogIndex index);

} // namespace Trefoil
