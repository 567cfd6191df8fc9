#pragma once

#include "libgateway/entryprocess.h"

// Connects the quarantine of prompt parts to the sessions, the log and the links of an entry.

namespace Trefoil {

// Merges evidence that a control VM passed on.
void applyEvidence(EntryState &state, const PartEvidence &evidence);

// Adds evidence of this entry and schedules that it is evaluated and sent.
void addEvidence(EntryState &state, PartEvidence &&evidence);

// Evaluates all evidence that is known and adds new verdicts to the evidence to send.
void evaluateEvidence(EntryState &state);

// Logs verdicts that came into force or ended. New ones wake up the sessions, so that they withdraw
// their requests.
void logVerdictChanges(EntryState &state);

// Returns the verdict that refuses a request with these shared parts, or nothing when none does or
// when the request is the next trial of the parts.
std::optional<QuarantinedSet> findRefusal(EntryState &state, std::span<const PromptPartId> parts,
                                          bool &isTrial);

} // namespace Trefoil
