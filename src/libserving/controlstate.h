#pragma once

#include "libserving/commands.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>

// The replicated state machine: configuration, first answers of operators' commands and
// idempotency keys. Applying the same entries in the same order gives the same state everywhere.

namespace Trefoil {

struct RememberedReply
{
    std::uint64_t digest = 0;
    CommandReply reply;

    bool operator==(const RememberedReply &) const = default;
};

// First answers of one operator, oldest number dropped first.
struct OperatorReplies
{
    std::map<std::uint64_t, RememberedReply> byNumber;
    std::deque<std::uint64_t> order;

    bool operator==(const OperatorReplies &) const = default;
};

struct KeyRecord
{
    std::uint64_t digest = 0;
    std::uint64_t claimedAtMs = 0;
    KeyResult result;
    // Owners whose claims were refused. A late copy of such a claim must not be granted, since its
    // request has ended.
    std::deque<KeyOwner> refused;

    bool operator==(const KeyRecord &) const = default;
};

struct ControlLimits
{
    std::size_t repliesPerOperator = 1000;
    std::size_t operators = 1000;
    std::size_t keys = 200'000;
    std::uint64_t keyRetentionMs = 24ull * 3600 * 1000;
    std::size_t refusedOwners = 64;       // remembered for each key
    std::size_t keyBodyBytes = 16 * 1024; // longer answers are remembered without their body
};

struct ControlState
{
    ControlLimits limits;
    Configuration config;
    std::map<std::string, OperatorReplies> replies;
    std::deque<std::string> operatorOrder; // operators by first use
    std::map<std::string, KeyRecord> keys;
    std::deque<std::string> keyOrder;  // keys by claim time
    std::set<std::string> runningKeys; // keys whose outcome is open
    std::uint64_t wallTimeMs = 0;      // latest proposer time seen, never goes back
};

// Applies a committed command at log index `index`.
CommandReply applyProposal(ControlState &state, const Proposal &proposal, LogIndex index);

// Applies a committed seat change.
void applySeats(Configuration &config, const SeatSet &seats, LogIndex index);

// Applies a configuration command to a configuration only, as entries without a seat do. Commands
// that the control state refused leave the configuration as it is.
CommandReply applyToConfiguration(Configuration &config, const Command &command, LogIndex index);

} // namespace Trefoil
