#pragma once

#include "libgateway/entryprocess.h"

// Connects the limits that endpoints name to the sessions and the log of an entry.

namespace Trefoil {

// Records what the head of an endpoint's answer says about its limit.
void recordLimit(EntryState &state, const Placement &placement, const HttpHead &answer,
                 TimePoint sentAt);

// Adds to a digest what the other entries should know of limits, and tokens for those that need
// them.
void addLimits(EntryState &state, LoadDigest &digest, TimePoint now);

// Returns the heads of groups that name a limit, for the leader.
std::vector<LinkHello::LimitedHead> findLimitedHeads(const EntryState &state, TimePoint now);

// Applies what the digest of another entry says about limits.
void applyLimits(EntryState &state, const LoadDigest &digest, TimePoint now);

} // namespace Trefoil
