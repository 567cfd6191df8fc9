#include "libfleet/partquarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace Trefoil {

namespace {

std::uint32_t toMs(Duration duration)
{
    constexpr std::int64_t maxMs = std::numeric_limits<std::uint32_t>::max();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, maxMs));
}

bool containsAll(std::span<const PromptPartId> parts, const PartSet &set)
{
    return std::includes(parts.begin(), parts.end(), set.begin(), set.end());
}

std::optional<TimePoint> findAnswer(const AnsweredParts &answered, PromptPartId part)
{
    for (const auto *generation : {&answered.recent, &answered.older}) {
        const auto found = generation->find(part);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

void rememberAnswer(PartQuarantine &quarantine, PromptPartId part, TimePoint at)
{
    AnsweredParts &answered = quarantine.answered;
    answered.recent[part] = at;
    if (answered.recent.size() >= quarantine.options.maxAnsweredParts)
        answered.older = std::exchange(answered.recent, {});
}

bool isSuspect(const PartQuarantine &quarantine, PromptPartId part)
{
    return std::any_of(quarantine.ends.begin(), quarantine.ends.end(), [part](const auto &end) {
        return std::any_of(end.second.suspects.begin(), end.second.suspects.end(),
                           [part](const SuspectRequest &request) {
                               return std::binary_search(request.parts.begin(), request.parts.end(),
                                                         part);
                           });
    });
}

// Returns whether an engine ended with the part since its latest known answer.
bool hasUnansweredEnd(const PartQuarantine &quarantine, PromptPartId part)
{
    const auto answer = quarantine.suspectAnswers.find(part);
    const TimePoint answeredAt =
            answer == quarantine.suspectAnswers.end() ? TimePoint::min() : answer->second;
    return std::any_of(quarantine.ends.begin(), quarantine.ends.end(), [&](const auto &end) {
        return end.second.at > answeredAt
               && std::any_of(end.second.suspects.begin(), end.second.suspects.end(),
                              [part](const SuspectRequest &request) {
                                  return std::binary_search(request.parts.begin(),
                                                            request.parts.end(), part);
                              });
    });
}

void removeOldestEnd(PartQuarantine &quarantine)
{
    const auto oldest = std::min_element(
            quarantine.ends.begin(), quarantine.ends.end(),
            [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
    quarantine.ends.erase(oldest);
}

// Adds a suspect. Returns whether it was new.
bool addSuspect(PartQuarantine &quarantine, IncarnationKey engine, const SuspectRequest &request,
                TimePoint at)
{
    if (request.parts.empty())
        return false;
    auto found = quarantine.ends.find(engine);
    if (found == quarantine.ends.end()) {
        found = quarantine.ends.emplace(engine, EngineEnd{at, {}}).first;
        if (quarantine.ends.size() > quarantine.options.maxEnds)
            removeOldestEnd(quarantine);
        found = quarantine.ends.find(engine);
        if (found == quarantine.ends.end())
            return false;
    }
    EngineEnd &end = found->second;
    end.at = std::min(end.at, at);
    if (end.suspects.size() >= quarantine.options.maxSuspectsPerEnd)
        return false;
    return end.suspects.insert(request).second;
}

Duration trialDelay(const PartQuarantineOptions &options, std::uint32_t trials)
{
    constexpr std::uint32_t maxDoublings = 16;
    const auto factor = Duration::rep(1) << std::min(trials, maxDoublings);
    return std::min(options.maxTrialDelay, options.firstTrialDelay * factor);
}

PartEvidence::Verdict toEvidence(const PartSet &parts, const PartVerdict &verdict, TimePoint now)
{
    PartEvidence::Verdict evidence;
    evidence.parts = parts;
    evidence.lastEndAgeMs = toMs(now - verdict.lastEndAt);
    evidence.isReleased = !isInForce(verdict);
    if (evidence.isReleased)
        evidence.releaseAgeMs = toMs(now - *verdict.releasedAt);
    evidence.trialInMs = toMs(verdict.nextTrialAt - now);
    evidence.ends = verdict.ends;
    evidence.requests = verdict.requests;
    evidence.trials = verdict.trials;
    evidence.hadAnswer = verdict.hadAnswer;
    return evidence;
}

// Postpones the next trial after an engine ended with the quarantined parts once more.
PartEvidence recordEndInQuarantine(PartQuarantine &quarantine, const PartSet &parts, TimePoint now)
{
    PartEvidence evidence;
    for (auto &[set, verdict] : quarantine.verdicts) {
        if (!isInForce(verdict) || !containsAll(parts, set))
            continue;
        if (now - verdict.lastEndAt < quarantine.options.concurrentEndWindow)
            continue;
        verdict.lastEndAt = now;
        verdict.nextTrialAt =
                std::max(verdict.nextTrialAt, now + trialDelay(quarantine.options, verdict.trials));
        ++verdict.ends;
        evidence.verdicts.push_back(toEvidence(set, verdict, now));
    }
    return evidence;
}

// Ends that count against one part.
struct PartStatistics
{
    PromptPartId part = 0;
    std::set<IncarnationKey> ends;
    std::set<std::uint64_t> requests;
    std::set<std::pair<IncarnationKey, SuspectRequest>> suspects;
    std::uint32_t endCount = 0; // concurrent ends count once
    TimePoint lastEndAt = TimePoint::min();
    bool hasKnownAnswer = false;
};

std::uint32_t countSeparateEnds(const PartQuarantine &quarantine,
                                const std::set<IncarnationKey> &engines)
{
    std::vector<TimePoint> times;
    for (const IncarnationKey engine : engines)
        times.push_back(quarantine.ends.at(engine).at);
    std::sort(times.begin(), times.end());
    std::uint32_t count = 0;
    TimePoint last = TimePoint::min();
    for (const TimePoint at : times) {
        if (count > 0 && at - last < quarantine.options.concurrentEndWindow)
            continue;
        ++count;
        last = at;
    }
    return count;
}

// Returns whether a verdict that was in force at the end explains it.
bool isExplained(const PartQuarantine &quarantine, const EngineEnd &end)
{
    return std::any_of(quarantine.verdicts.begin(), quarantine.verdicts.end(),
                       [&end](const auto &item) {
                           const PartVerdict &verdict = item.second;
                           if (!isInForce(verdict) && end.at > *verdict.releasedAt)
                               return false;
                           return std::any_of(end.suspects.begin(), end.suspects.end(),
                                              [&item](const SuspectRequest &request) {
                                                  return containsAll(request.parts, item.first);
                                              });
                       });
}

// Returns the parts of all parts whose engines ended since their last answer. Leaves out the ends
// that verdicts explain.
std::vector<PartStatistics> collectStatistics(const PartQuarantine &quarantine)
{
    std::map<PromptPartId, PartStatistics> parts;
    for (const auto &[engine, end] : quarantine.ends) {
        if (isExplained(quarantine, end))
            continue;
        for (const SuspectRequest &request : end.suspects) {
            for (const PromptPartId part : request.parts) {
                const auto answer = quarantine.suspectAnswers.find(part);
                if (answer != quarantine.suspectAnswers.end() && answer->second >= end.at)
                    continue;
                PartStatistics &statistics = parts[part];
                statistics.part = part;
                statistics.ends.insert(engine);
                statistics.lastEndAt = std::max(statistics.lastEndAt, end.at);
                statistics.requests.insert(request.request);
                statistics.suspects.emplace(engine, request);
                statistics.hasKnownAnswer = answer != quarantine.suspectAnswers.end()
                                            || findAnswer(quarantine.answered, part).has_value();
            }
        }
    }
    std::vector<PartStatistics> result;
    for (auto &[part, statistics] : parts) {
        statistics.endCount = countSeparateEnds(quarantine, statistics.ends);
        result.push_back(std::move(statistics));
    }
    return result;
}

bool hasEnoughEvidence(const PartStatistics &statistics, const PartQuarantineOptions &options,
                       TimePoint now)
{
    if (now - statistics.lastEndAt < options.settlingTime)
        return false;
    if (!statistics.hasKnownAnswer)
        return statistics.endCount >= options.endsWithoutAnswer;
    return statistics.endCount >= options.endsAfterAnswer
           && statistics.requests.size() >= options.requestsAfterAnswer;
}

// Returns whether `other` may have ended the engines instead of the candidate. A part that
// stands in all requests with the candidate only accompanies it.
bool isAlternativeCause(const PartStatistics &candidate, const PartStatistics &other,
                        const PartQuarantineOptions &options, TimePoint now)
{
    const bool accompanies = std::includes(other.suspects.begin(), other.suspects.end(),
                                           candidate.suspects.begin(), candidate.suspects.end());
    if (accompanies)
        return false;
    std::vector<IncarnationKey> common;
    std::set_intersection(candidate.ends.begin(), candidate.ends.end(), other.ends.begin(),
                          other.ends.end(), std::back_inserter(common));
    // Of a part that has been answered and one that never was, the latter is more likely the cause.
    if (candidate.hasKnownAnswer && !other.hasKnownAnswer)
        return common.size() + 1 >= candidate.ends.size();
    const bool isLikely = hasEnoughEvidence(other, options, now)
                          || other.requests.size() > candidate.requests.size();
    return isLikely && common.size() == candidate.ends.size();
}

// Returns the most likely cause that has no alternative, or null. It has the most ends,
// and among equals it is the most specific one, with the fewest requests.
const PartStatistics *findCause(std::span<const PartStatistics> parts,
                                const PartQuarantineOptions &options, TimePoint now)
{
    const PartStatistics *best = nullptr;
    for (const PartStatistics &candidate : parts) {
        if (!hasEnoughEvidence(candidate, options, now))
            continue;
        const bool isBetter = !best || candidate.endCount > best->endCount
                              || (candidate.endCount == best->endCount
                                  && candidate.suspects.size() < best->suspects.size());
        const bool hasAlternative =
                std::any_of(parts.begin(), parts.end(), [&](const PartStatistics &other) {
                    return isAlternativeCause(candidate, other, options, now);
                });
        if (isBetter && !hasAlternative)
            best = &candidate;
    }
    return best;
}

// Returns the parts that all suspect requests have in common with the candidate, and that no
// other request has.
PartSet inseparableParts(std::span<const PartStatistics> parts, const PartStatistics &candidate)
{
    PartSet inseparable;
    for (const PartStatistics &other : parts) {
        if (other.suspects == candidate.suspects)
            inseparable.push_back(other.part);
    }
    return inseparable;
}

// Removes released verdicts first, and the oldest of them.
void limitVerdicts(PartQuarantine &quarantine)
{
    while (quarantine.verdicts.size() > quarantine.options.maxVerdicts) {
        const auto oldest =
                std::min_element(quarantine.verdicts.begin(), quarantine.verdicts.end(),
                                 [](const auto &a, const auto &b) {
                                     return std::pair(isInForce(a.second), a.second.lastEndAt)
                                            < std::pair(isInForce(b.second), b.second.lastEndAt);
                                 });
        quarantine.verdicts.erase(oldest);
    }
}

// Returns whether the reported verdict changed what is known.
bool mergeVerdict(PartQuarantine &quarantine, const PartEvidence::Verdict &reported, TimePoint now)
{
    // Ages are rounded and grow by the time of a message, so smaller differences mean nothing.
    constexpr auto tolerance = std::chrono::milliseconds(50);
    const TimePoint lastEndAt = now - std::chrono::milliseconds(reported.lastEndAgeMs);
    const auto [entry, isNew] = quarantine.verdicts.try_emplace(reported.parts);
    PartVerdict &verdict = entry->second;
    bool isChanged = isNew;
    if (isNew || lastEndAt > verdict.lastEndAt + tolerance) {
        verdict.lastEndAt = lastEndAt;
        isChanged = true;
    }
    const TimePoint nextTrialAt = now + std::chrono::milliseconds(reported.trialInMs);
    if (isNew || nextTrialAt > verdict.nextTrialAt + tolerance) {
        verdict.nextTrialAt = nextTrialAt;
        isChanged = true;
    }
    if (reported.isReleased) {
        const TimePoint releasedAt = now - std::chrono::milliseconds(reported.releaseAgeMs);
        if (!verdict.releasedAt || releasedAt > *verdict.releasedAt + tolerance) {
            verdict.releasedAt = releasedAt;
            isChanged = true;
        }
    }
    verdict.hadAnswer = verdict.hadAnswer || reported.hadAnswer;
    isChanged = isChanged || reported.trials > verdict.trials || reported.ends > verdict.ends;
    verdict.trials = std::max(verdict.trials, reported.trials);
    verdict.ends = std::max(verdict.ends, reported.ends);
    verdict.requests = std::max(verdict.requests, reported.requests);
    limitVerdicts(quarantine);
    return isChanged;
}

} // namespace

bool isInForce(const PartVerdict &verdict)
{
    return !verdict.releasedAt || verdict.lastEndAt > *verdict.releasedAt;
}

IncarnationKey incarnationKey(std::string_view endpoint, std::uint64_t startedAtMs)
{
    return XXH64(endpoint.data(), endpoint.size(), startedAtMs);
}

std::uint64_t requestKey(std::span<const PromptPart> parts)
{
    std::vector<PromptPartId> ids;
    for (const PromptPart &part : parts)
        ids.push_back(part.id);
    return XXH64(ids.data(), ids.size() * sizeof(PromptPartId), 0);
}

void appendEvidence(PartEvidence &evidence, PartEvidence &&added)
{
    const auto append = [](auto &list, auto &&values) {
        list.insert(list.end(), std::make_move_iterator(values.begin()),
                    std::make_move_iterator(values.end()));
    };
    for (PartEvidence::End &end : added.ends) {
        if (!evidence.ends.empty() && evidence.ends.back().engine == end.engine)
            append(evidence.ends.back().suspects, std::move(end.suspects));
        else
            evidence.ends.push_back(std::move(end));
    }
    append(evidence.answers, std::move(added.answers));
    append(evidence.verdicts, std::move(added.verdicts));
}

std::vector<EvidenceKey> evidenceKeys(const PartEvidence &evidence)
{
    std::vector<EvidenceKey> keys;
    for (const PartEvidence::End &end : evidence.ends) {
        for (const SuspectRequest &suspect : end.suspects)
            keys.emplace_back(SuspectKey{end.engine, suspect.request});
    }
    for (const PartEvidence::Answer &answer : evidence.answers)
        keys.emplace_back(answer.part);
    for (const PartEvidence::Verdict &verdict : evidence.verdicts)
        keys.emplace_back(verdict.parts);
    return keys;
}

PartEvidence evidenceOf(const PartQuarantine &quarantine, const EvidenceKey &key, TimePoint now)
{
    PartEvidence evidence;
    if (const auto *suspect = std::get_if<SuspectKey>(&key)) {
        const auto end = quarantine.ends.find(suspect->engine);
        if (end == quarantine.ends.end())
            return evidence;
        const auto &suspects = end->second.suspects;
        const auto request = suspects.lower_bound({suspect->request, {}});
        if (request != suspects.end() && request->request == suspect->request)
            evidence.ends.push_back({suspect->engine, toMs(now - end->second.at), {*request}});
    } else if (const auto *part = std::get_if<PromptPartId>(&key)) {
        const auto answer = quarantine.suspectAnswers.find(*part);
        if (answer != quarantine.suspectAnswers.end())
            evidence.answers.push_back({*part, toMs(now - answer->second)});
    } else {
        const auto verdict = quarantine.verdicts.find(std::get<PartSet>(key));
        if (verdict != quarantine.verdicts.end())
            evidence.verdicts.push_back(toEvidence(verdict->first, verdict->second, now));
    }
    return evidence;
}

bool hasEvidence(const PartQuarantine &quarantine, const EvidenceKey &key)
{
    return !evidenceOf(quarantine, key, TimePoint{}).isEmpty();
}

PartEvidence recordEngineEnd(PartQuarantine &quarantine, IncarnationKey engine,
                             const SuspectRequest &request, TimePoint now)
{
    if (!addSuspect(quarantine, engine, request, now))
        return {};
    PartEvidence evidence = recordEndInQuarantine(quarantine, request.parts, now);
    const TimePoint at = quarantine.ends.at(engine).at;
    evidence.ends.push_back({engine, toMs(now - at), {request}});
    return evidence;
}

bool tryTakeRepeatAfterEnd(PartQuarantine &quarantine, std::span<const PromptPartId> parts,
                           TimePoint now)
{
    std::vector<PromptPartId> unanswered;
    for (const PromptPartId part : parts) {
        const bool hasAnswer = quarantine.suspectAnswers.contains(part)
                               || findAnswer(quarantine.answered, part).has_value();
        if (!hasAnswer)
            unanswered.push_back(part);
    }
    for (const PromptPartId part : unanswered) {
        const auto repeat = quarantine.suspectRepeats.find(part);
        if (repeat != quarantine.suspectRepeats.end()
            && now - repeat->second < quarantine.options.suspectRepeatInterval)
            return false;
    }
    for (const PromptPartId part : unanswered)
        quarantine.suspectRepeats[part] = now;
    return true;
}

PartEvidence recordBegunAnswer(PartQuarantine &quarantine, std::span<const PromptPartId> parts,
                               TimePoint now)
{
    PartEvidence evidence;
    for (const PromptPartId part : parts) {
        rememberAnswer(quarantine, part, now);
        if (!isSuspect(quarantine, part))
            continue;
        if (hasUnansweredEnd(quarantine, part))
            evidence.answers.push_back({part, 0});
        quarantine.suspectAnswers[part] = now;
    }
    for (auto &[set, verdict] : quarantine.verdicts) {
        if (!isInForce(verdict) || !containsAll(parts, set))
            continue;
        verdict.releasedAt = now;
        evidence.verdicts.push_back(toEvidence(set, verdict, now));
    }
    return evidence;
}

PartEvidence mergeEvidence(PartQuarantine &quarantine, const PartEvidence &evidence, TimePoint now)
{
    PartEvidence news;
    for (const PartEvidence::End &end : evidence.ends) {
        PartEvidence::End newEnd{end.engine, end.ageMs, {}};
        const TimePoint at = now - std::chrono::milliseconds(end.ageMs);
        for (const SuspectRequest &request : end.suspects) {
            if (now - at < quarantine.options.endRetention
                && addSuspect(quarantine, end.engine, request, at))
                newEnd.suspects.push_back(request);
        }
        if (!newEnd.suspects.empty())
            news.ends.push_back(std::move(newEnd));
    }
    for (const PartEvidence::Answer &answer : evidence.answers) {
        if (!isSuspect(quarantine, answer.part))
            continue;
        const TimePoint at = now - std::chrono::milliseconds(answer.ageMs);
        const auto [known, isNew] = quarantine.suspectAnswers.try_emplace(answer.part, at);
        if (!isNew && known->second >= at)
            continue;
        const bool isNews = isNew || hasUnansweredEnd(quarantine, answer.part);
        known->second = at;
        if (isNews)
            news.answers.push_back(answer);
    }
    for (const PartEvidence::Verdict &verdict : evidence.verdicts) {
        if (!verdict.parts.empty() && mergeVerdict(quarantine, verdict, now))
            news.verdicts.push_back(verdict);
    }
    return news;
}

PartEvidence reportAnswerHistory(PartQuarantine &quarantine,
                                 std::span<const PartEvidence::End> ends, TimePoint now)
{
    PartEvidence evidence;
    for (const PartEvidence::End &end : ends) {
        for (const SuspectRequest &request : end.suspects) {
            for (const PromptPartId part : request.parts) {
                const auto own = findAnswer(quarantine.answered, part);
                if (!own)
                    continue;
                const auto [known, isNew] = quarantine.suspectAnswers.try_emplace(part, *own);
                const bool isRecent =
                        known->second + quarantine.options.historyReportInterval > *own;
                if (!isNew && isRecent)
                    continue;
                known->second = std::max(known->second, *own);
                evidence.answers.push_back({part, toMs(now - *own)});
            }
        }
    }
    return evidence;
}

bool hasUnsettledEnd(const PartQuarantine &quarantine, TimePoint now)
{
    return std::any_of(quarantine.ends.begin(), quarantine.ends.end(), [&](const auto &item) {
        return now - item.second.at < 2 * quarantine.options.settlingTime;
    });
}

PartEvidence evaluateParts(PartQuarantine &quarantine, TimePoint now)
{
    PartEvidence evidence;
    for (std::size_t i = 0; i < quarantine.options.maxVerdicts; ++i) {
        const std::vector<PartStatistics> parts = collectStatistics(quarantine);
        const PartStatistics *candidate = findCause(parts, quarantine.options, now);
        if (!candidate)
            break;
        const PartSet set = inseparableParts(parts, *candidate);
        PartVerdict &verdict = quarantine.verdicts[set];
        verdict.lastEndAt = candidate->lastEndAt;
        verdict.releasedAt.reset();
        verdict.ends = static_cast<std::uint32_t>(candidate->ends.size());
        verdict.requests = static_cast<std::uint32_t>(candidate->requests.size());
        verdict.hadAnswer = candidate->hasKnownAnswer;
        verdict.nextTrialAt = verdict.lastEndAt + trialDelay(quarantine.options, verdict.trials);
        evidence.verdicts.push_back(toEvidence(set, verdict, now));
        limitVerdicts(quarantine);
    }
    return evidence;
}

PartEvidence allEvidence(const PartQuarantine &quarantine, TimePoint now)
{
    PartEvidence evidence;
    for (const auto &[engine, end] : quarantine.ends)
        evidence.ends.push_back(
                {engine, toMs(now - end.at), {end.suspects.begin(), end.suspects.end()}});
    for (const auto &[part, at] : quarantine.suspectAnswers)
        evidence.answers.push_back({part, toMs(now - at)});
    for (const auto &[parts, verdict] : quarantine.verdicts)
        evidence.verdicts.push_back(toEvidence(parts, verdict, now));
    return evidence;
}

void removeExpiredEvidence(PartQuarantine &quarantine, TimePoint now)
{
    const PartQuarantineOptions &options = quarantine.options;
    std::erase_if(quarantine.ends,
                  [&](const auto &item) { return now - item.second.at > options.endRetention; });
    std::erase_if(quarantine.suspectAnswers,
                  [&](const auto &item) { return !isSuspect(quarantine, item.first); });
    std::erase_if(quarantine.suspectRepeats, [&](const auto &item) {
        return now - item.second > options.suspectRepeatInterval;
    });
    std::erase_if(quarantine.verdicts, [&](const auto &item) {
        const PartVerdict &verdict = item.second;
        const TimePoint since = isInForce(verdict) ? verdict.nextTrialAt : *verdict.releasedAt;
        return now - since > options.verdictRetention;
    });
}

std::optional<QuarantinedSet> findVerdict(const PartQuarantine &quarantine,
                                          std::span<const PromptPartId> parts)
{
    std::optional<QuarantinedSet> latest;
    for (const auto &[set, verdict] : quarantine.verdicts) {
        const bool applies = isInForce(verdict) && containsAll(parts, set);
        if (applies && (!latest || verdict.nextTrialAt > latest->verdict.nextTrialAt))
            latest = QuarantinedSet{set, verdict};
    }
    return latest;
}

std::size_t activeVerdictCount(const PartQuarantine &quarantine)
{
    return static_cast<std::size_t>(
            std::count_if(quarantine.verdicts.begin(), quarantine.verdicts.end(),
                          [](const auto &item) { return isInForce(item.second); }));
}

std::optional<PartEvidence> tryBeginTrial(PartQuarantine &quarantine,
                                          std::span<const PromptPartId> parts, TimePoint now)
{
    const auto latest = findVerdict(quarantine, parts);
    if (!latest || now < latest->verdict.nextTrialAt)
        return std::nullopt;
    PartEvidence evidence;
    for (auto &[set, verdict] : quarantine.verdicts) {
        if (!isInForce(verdict) || !containsAll(parts, set))
            continue;
        ++verdict.trials;
        verdict.nextTrialAt = now + trialDelay(quarantine.options, verdict.trials);
        evidence.verdicts.push_back(toEvidence(set, verdict, now));
    }
    return evidence;
}

} // namespace Trefoil
