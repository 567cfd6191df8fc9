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

// Size of a filter, and the number of parts at which it is replaced.
constexpr std::size_t FilterWords = 4096;
constexpr std::size_t MaxFilteredParts = 24'000;
constexpr std::size_t FilterProbes = 4;

constexpr std::size_t PartBytes = sizeof(PromptPartId);

bool containsAll(std::span<const PromptPartId> parts, const PartSet &set)
{
    if (set.size() > parts.size())
        return false;
    std::span<const PromptPartId> rest = parts;
    return std::all_of(set.begin(), set.end(), [&rest](PromptPartId part) {
        const auto found = std::lower_bound(rest.begin(), rest.end(), part);
        rest = rest.subspan(static_cast<std::size_t>(found - rest.begin()));
        return !rest.empty() && rest.front() == part;
    });
}

// Calls the function with the word and the bit of each probe until it returns false. Returns
// whether all returned true.
template <class Function>
bool probeFilter(PromptPartId part, Function function)
{
    constexpr std::size_t wordBits = 64;
    const std::uint64_t hash = XXH64(&part, sizeof part, 0);
    for (std::size_t i = 0; i < FilterProbes; ++i) {
        const std::size_t bit = (hash >> (16 * i) & 0xffff) * 4 + i;
        if (!function(bit / wordBits % FilterWords, std::uint64_t(1) << (bit % wordBits)))
            return false;
    }
    return true;
}

bool containsPart(const PartFilter &filter, PromptPartId part)
{
    return !filter.words.empty()
           && probeFilter(part, [&filter](std::size_t word, std::uint64_t bit) {
                  return (filter.words[word] & bit) != 0;
              });
}

// Adds a part that was answered once. Forgets the older filter when the other one is full.
void addPart(AnsweredParts &answered, PromptPartId part, TimePoint at)
{
    if (answered.recentOnce.count >= MaxFilteredParts)
        answered.olderOnce = std::exchange(answered.recentOnce, {});
    PartFilter &filter = answered.recentOnce;
    if (filter.words.empty()) {
        filter.words.resize(FilterWords);
        filter.startedAt = at;
    }
    ++filter.count;
    filter.startedAt = std::min(filter.startedAt, at);
    probeFilter(part, [&filter](std::size_t word, std::uint64_t bit) {
        filter.words[word] |= bit;
        return true;
    });
}

// Returns the time of the latest answer, or an earlier one if only a filter knows the part.
std::optional<TimePoint> findAnswer(const AnsweredParts &answered, PromptPartId part)
{
    for (const auto *times : {&answered.recent, &answered.older, &answered.once}) {
        const auto found = times->find(part);
        if (found != times->end())
            return found->second;
    }
    for (const PartFilter *filter : {&answered.recentOnce, &answered.olderOnce}) {
        if (containsPart(*filter, part))
            return filter->startedAt;
    }
    return std::nullopt;
}

void rememberAnswer(PartQuarantine &quarantine, PromptPartId part, TimePoint at)
{
    AnsweredParts &answered = quarantine.answered;
    const std::size_t maxParts = quarantine.options.maxAnsweredParts;
    if (!findAnswer(answered, part)) {
        answered.once[part] = at;
        if (answered.once.size() < maxParts)
            return;
        for (const auto &[oncePart, answeredAt] : std::exchange(answered.once, {}))
            addPart(answered, oncePart, answeredAt);
        return;
    }
    answered.once.erase(part);
    answered.recent[part] = at;
    if (answered.recent.size() >= maxParts)
        answered.older = std::exchange(answered.recent, {});
}

bool isSuspect(const PartQuarantine &quarantine, PromptPartId part)
{
    return quarantine.suspectParts.contains(part);
}

// Returns whether an engine ended with the part since its latest known answer.
bool hasUnansweredEnd(const PartQuarantine &quarantine, PromptPartId part)
{
    const auto answer = quarantine.suspectAnswers.find(part);
    const TimePoint answeredAt =
            answer == quarantine.suspectAnswers.end() ? TimePoint::min() : answer->second;
    const auto suspect = quarantine.suspectParts.find(part);
    return suspect != quarantine.suspectParts.end() && suspect->second.lastEndAt > answeredAt;
}

void removeEnd(PartQuarantine &quarantine, IncarnationKey engine)
{
    const auto end = quarantine.ends.find(engine);
    quarantine.endBytes -= end->second.bytes;
    for (const auto &[request, parts] : end->second.suspects) {
        for (const PromptPartId part : parts) {
            const auto suspect = quarantine.suspectParts.find(part);
            if (--suspect->second.count == 0)
                quarantine.suspectParts.erase(suspect);
        }
    }
    quarantine.ends.erase(end);
}

IncarnationKey oldestEnd(const PartQuarantine &quarantine)
{
    return std::min_element(quarantine.ends.begin(), quarantine.ends.end(),
                            [](const auto &a, const auto &b) { return a.second.at < b.second.at; })
            ->first;
}

// Forgets the oldest ends that are beyond the bounds.
void limitEnds(PartQuarantine &quarantine)
{
    const PartQuarantineOptions &options = quarantine.options;
    while (quarantine.ends.size() > options.maxEnds
           || (quarantine.endBytes > options.maxEvidenceBytes
               && quarantine.ends.size() > options.minKeptEnds))
        removeEnd(quarantine, oldestEnd(quarantine));
}

// Adds a suspect, or parts of a known one. Returns whether it told something new.
bool addSuspect(PartQuarantine &quarantine, IncarnationKey engine, const SuspectRequest &request,
                TimePoint at)
{
    if (request.parts.empty())
        return false;
    const PartQuarantineOptions &options = quarantine.options;
    EngineEnd &end = quarantine.ends.try_emplace(engine, EngineEnd{at, {}, 0}).first->second;
    end.at = std::min(end.at, at);
    const bool isKnown = end.suspects.contains(request.request);
    if (!isKnown && end.suspects.size() >= options.maxSuspectsPerEnd)
        return false;
    PartSet &known = end.suspects[request.request];
    PartSet added;
    std::set_difference(request.parts.begin(), request.parts.end(), known.begin(), known.end(),
                        std::back_inserter(added));
    const std::size_t addedBytes = added.size() * PartBytes;
    if (added.empty() || end.bytes + addedBytes > options.maxEvidenceBytes / options.minKeptEnds) {
        if (known.empty())
            end.suspects.erase(request.request);
        return false;
    }
    end.bytes += addedBytes;
    quarantine.endBytes += addedBytes;
    for (const PromptPartId part : added) {
        SuspectPart &suspect = quarantine.suspectParts[part];
        ++suspect.count;
        suspect.lastEndAt = std::max(suspect.lastEndAt, end.at);
    }
    const auto middle = known.insert(known.end(), added.begin(), added.end());
    std::inplace_merge(known.begin(), middle, known.end());
    limitEnds(quarantine);
    return quarantine.ends.contains(engine);
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

// Ends that count against some parts. Parts that stand in the same requests are one group, since
// nothing tells them apart.
struct PartStatistics
{
    PartSet parts;
    std::vector<std::uint32_t> suspects; // sorted numbers of the requests at ended engines
    std::vector<IncarnationKey> ends;    // sorted
    std::size_t requestCount = 0;
    std::uint32_t endCount = 0; // concurrent ends count once
    TimePoint lastEndAt = TimePoint::min();
    bool hasKnownAnswer = false;
};

std::uint32_t countSeparateEnds(const PartQuarantine &quarantine,
                                std::span<const IncarnationKey> engines)
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
                                              [&item](const auto &suspect) {
                                                  return containsAll(suspect.second, item.first);
                                              });
                       });
}

// A request at an ended engine.
struct NumberedSuspect
{
    IncarnationKey engine = 0;
    std::uint64_t request = 0;
    TimePoint endedAt{};
    const PartSet *parts = nullptr;
};

// Returns the suspects of the ends that no verdict explains.
std::vector<NumberedSuspect> unexplainedSuspects(const PartQuarantine &quarantine)
{
    std::vector<NumberedSuspect> suspects;
    for (const auto &[engine, end] : quarantine.ends) {
        if (isExplained(quarantine, end))
            continue;
        for (const auto &[request, parts] : end.suspects)
            suspects.push_back({engine, request, end.at, &parts});
    }
    return suspects;
}

PartStatistics makeStatistics(const PartQuarantine &quarantine,
                              std::span<const NumberedSuspect> suspects,
                              std::span<const std::uint32_t> numbers)
{
    PartStatistics statistics;
    statistics.suspects.assign(numbers.begin(), numbers.end());
    std::set<std::uint64_t> requests;
    for (const std::uint32_t number : numbers) {
        const NumberedSuspect &suspect = suspects[number];
        if (statistics.ends.empty() || statistics.ends.back() != suspect.engine)
            statistics.ends.push_back(suspect.engine);
        requests.insert(suspect.request);
        statistics.lastEndAt = std::max(statistics.lastEndAt, suspect.endedAt);
    }
    statistics.requestCount = requests.size();
    statistics.endCount = countSeparateEnds(quarantine, statistics.ends);
    return statistics;
}

// Returns the groups of parts whose engines ended since their last answer. Leaves out the ends
// that verdicts explain, and parts with too few ends to matter for any verdict.
std::vector<PartStatistics> collectStatistics(const PartQuarantine &quarantine)
{
    const PartQuarantineOptions &options = quarantine.options;
    const std::size_t minEnds = std::max<std::uint32_t>(
            std::min(options.endsWithoutAnswer, options.endsAfterAnswer - 1), 1);
    const std::vector<NumberedSuspect> suspects = unexplainedSuspects(quarantine);
    std::unordered_map<PromptPartId, std::vector<std::uint32_t>> numbersByPart;
    for (std::uint32_t number = 0; number < suspects.size(); ++number) {
        for (const PromptPartId part : *suspects[number].parts) {
            const auto answer = quarantine.suspectAnswers.find(part);
            const bool isAnswered = answer != quarantine.suspectAnswers.end()
                                    && answer->second >= suspects[number].endedAt;
            const bool isRare = quarantine.suspectParts.at(part).count < minEnds;
            if (!isAnswered && !isRare)
                numbersByPart[part].push_back(number);
        }
    }
    std::map<std::pair<std::vector<std::uint32_t>, bool>, PartSet> groups;
    for (auto &[part, numbers] : numbersByPart) {
        const bool hasKnownAnswer = quarantine.suspectAnswers.contains(part)
                                    || findAnswer(quarantine.answered, part).has_value();
        groups[{std::move(numbers), hasKnownAnswer}].push_back(part);
    }
    std::vector<PartStatistics> result;
    for (auto &[key, parts] : groups) {
        PartStatistics statistics = makeStatistics(quarantine, suspects, key.first);
        if (statistics.ends.size() < minEnds)
            continue;
        statistics.hasKnownAnswer = key.second;
        std::sort(parts.begin(), parts.end());
        statistics.parts = std::move(parts);
        result.push_back(std::move(statistics));
    }
    std::sort(result.begin(), result.end(),
              [](const auto &a, const auto &b) { return a.parts.front() < b.parts.front(); });
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
           && statistics.requestCount >= options.requestsAfterAnswer;
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
    const bool isLikely =
            hasEnoughEvidence(other, options, now) || other.requestCount > candidate.requestCount;
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
            inseparable.insert(inseparable.end(), other.parts.begin(), other.parts.end());
    }
    std::sort(inseparable.begin(), inseparable.end());
    return inseparable;
}

// Removes released verdicts first, and the oldest of them.
void limitVerdicts(PartQuarantine &quarantine)
{
    const PartQuarantineOptions &options = quarantine.options;
    std::size_t bytes = 0;
    for (const auto &[set, verdict] : quarantine.verdicts)
        bytes += set.size() * PartBytes;
    while (quarantine.verdicts.size() > options.maxVerdicts
           || (bytes > options.maxEvidenceBytes && quarantine.verdicts.size() > 1)) {
        const auto oldest =
                std::min_element(quarantine.verdicts.begin(), quarantine.verdicts.end(),
                                 [](const auto &a, const auto &b) {
                                     return std::pair(isInForce(a.second), a.second.lastEndAt)
                                            < std::pair(isInForce(b.second), b.second.lastEndAt);
                                 });
        bytes -= oldest->first.size() * PartBytes;
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
        for (const SuspectRequest &suspect : end.suspects) {
            for (std::size_t i = 0; i < suspect.parts.size(); i += MaxPartsPerRow)
                keys.emplace_back(SuspectKey{end.engine, suspect.request, suspect.parts[i]});
        }
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
        const auto request = end->second.suspects.find(suspect->request);
        if (request == end->second.suspects.end())
            return evidence;
        const PartSet &parts = request->second;
        const auto first = std::lower_bound(parts.begin(), parts.end(), suspect->firstPart);
        const auto count = std::min<std::ptrdiff_t>(parts.end() - first, MaxPartsPerRow);
        if (count > 0)
            evidence.ends.push_back({suspect->engine,
                                     toMs(now - end->second.at),
                                     {{suspect->request, PartSet(first, first + count)}}});
    } else if (const auto *part = std::get_if<PromptPartId>(&key)) {
        const auto answer = quarantine.suspectAnswers.find(*part);
        if (answer != quarantine.suspectAnswers.end())
            evidence.answers.push_back({*part, toMs(now - answer->second)});
    } else {
        const auto &set = std::get<PartSet>(key);
        const auto verdict = quarantine.verdicts.find(set);
        if (verdict != quarantine.verdicts.end() && set.size() <= MaxPartsPerRow)
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
        verdict.requests = static_cast<std::uint32_t>(candidate->requestCount);
        verdict.hadAnswer = candidate->hasKnownAnswer;
        verdict.nextTrialAt = verdict.lastEndAt + trialDelay(quarantine.options, verdict.trials);
        evidence.verdicts.push_back(toEvidence(set, verdict, now));
        limitVerdicts(quarantine);
    }
    return evidence;
}

void removeExpiredEvidence(PartQuarantine &quarantine, TimePoint now)
{
    const PartQuarantineOptions &options = quarantine.options;
    while (!quarantine.ends.empty()) {
        const IncarnationKey engine = oldestEnd(quarantine);
        if (now - quarantine.ends.at(engine).at <= options.endRetention)
            break;
        removeEnd(quarantine, engine);
    }
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
