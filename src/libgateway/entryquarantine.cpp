#include "libgateway/entryquarantine.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <algorithm>

namespace Trefoil {

namespace {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void logVerdict(const PartSet &parts, const PartVerdict &verdict, TimePoint now)
{
    logEvent(Event::PartsQuarantined,
             {{"parts", toText(parts)},
              {"ends", std::to_string(verdict.ends)},
              {"requests", std::to_string(verdict.requests)},
              {"answered_before", verdict.hadAnswer ? "yes" : "no"},
              {"last_end_ms", millisecondsText(now - verdict.lastEndAt)},
              {"trials", std::to_string(verdict.trials)},
              {"next_trial_ms", millisecondsText(verdict.nextTrialAt - now)}});
}

} // namespace

void applyEvidence(EntryState &state, const PartEvidence &evidence)
{
    if (evidence.isEmpty())
        return;
    const TimePoint now = RuntimeClock::now();
    const PartEvidence news = mergeEvidence(state.quarantine, evidence, now);
    if (news.isEmpty())
        return;
    recordEvidenceChange(state.feed, news, true);
    recordEvidenceChange(state.feed, reportAnswerHistory(state.quarantine, news.ends, now), false);
    logVerdictChanges(state);
    state.scheduleEvidence();
}

void addEvidence(EntryState &state, PartEvidence &&evidence)
{
    if (evidence.isEmpty())
        return;
    const bool hasVerdicts = !evidence.verdicts.empty();
    recordEvidenceChange(state.feed, evidence, false);
    if (hasVerdicts)
        logVerdictChanges(state);
    state.scheduleEvidence();
}

void evaluateEvidence(EntryState &state)
{
    PartEvidence verdicts = evaluateParts(state.quarantine, RuntimeClock::now());
    if (verdicts.isEmpty())
        return;
    recordEvidenceChange(state.feed, verdicts, false);
    logVerdictChanges(state);
}

void logVerdictChanges(EntryState &state)
{
    const TimePoint now = RuntimeClock::now();
    bool hasNew = false;
    for (const auto &[parts, verdict] : state.quarantine.verdicts) {
        if (!isInForce(verdict) || !state.loggedVerdicts.insert(parts).second)
            continue;
        hasNew = true;
        logVerdict(parts, verdict, now);
    }
    std::erase_if(state.loggedVerdicts, [&](const PartSet &parts) {
        const auto found = state.quarantine.verdicts.find(parts);
        const bool isKnown = found != state.quarantine.verdicts.end();
        if (isKnown && isInForce(found->second))
            return false;
        logEvent(Event::PartsReleased,
                 {{"parts", toText(parts)}, {"why", isKnown ? "an answer began" : "expired"}});
        return true;
    });
    if (!hasNew)
        return;
    for (AsyncCondition *signal : state.sessionSignals)
        signal->notify();
}

std::optional<QuarantinedSet> findRefusal(EntryState &state, std::span<const PromptPartId> parts,
                                          bool &isTrial)
{
    auto verdict = findVerdict(state.quarantine, parts);
    if (!verdict)
        return std::nullopt;
    const TimePoint now = RuntimeClock::now();
    // An entry that cannot announce its trial would not be the only one that tries.
    auto trial =
            state.isLinkedToControl ? tryBeginTrial(state.quarantine, parts, now) : std::nullopt;
    if (!trial)
        return verdict;
    isTrial = true;
    logEvent(Event::PartsTried,
             {{"parts", toText(verdict->parts)},
              {"last_end_ms", millisecondsText(now - verdict->verdict.lastEndAt)},
              {"trials", std::to_string(verdict->verdict.trials + 1)}});
    addEvidence(state, std::move(*trial));
    return std::nullopt;
}

} // namespace Trefoil
