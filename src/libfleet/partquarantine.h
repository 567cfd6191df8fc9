#pragma once

#include "libcoord/time.h"
#include "libfleet/promptparts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

// Decides which parts of prompts end the engines that begin to answer them, and refuses requests
// with these parts. An engine that ends while a request waits for its answer is evidence against
// the shared parts of the request; an answer that begins is evidence for them. Entries exchange
// their evidence. Performs no I/O and reads no clock.

namespace Trefoil {

struct PartQuarantineOptions
{
    // Ends of engines that a part needs to be quarantined: without a known answer, and with one.
    // Parts with a known answer also need this many different requests.
    std::uint32_t endsWithoutAnswer = 2;
    std::uint32_t endsAfterAnswer = 3;
    std::uint32_t requestsAfterAnswer = 2;
    // Engines that end within this time count once, since a common cause ends several at a time.
    Duration concurrentEndWindow = std::chrono::milliseconds(50);
    // A part is evaluated this long after its last end, so that the other entries can report
    // answers and suspects.
    Duration settlingTime = std::chrono::milliseconds(60);
    Duration endRetention = std::chrono::minutes(2);
    // Time from the last end until a request tries the quarantined parts again. Each trial that
    // ends an engine doubles it.
    Duration firstTrialDelay = std::chrono::seconds(30);
    Duration maxTrialDelay = std::chrono::minutes(10);
    // Time after a due trial or a release until a verdict is forgotten.
    Duration verdictRetention = std::chrono::minutes(10);
    // A suspect part without a known answer is repeated by each entry once within this time.
    Duration suspectRepeatInterval = std::chrono::seconds(2);
    // Interval at which an entry repeats that a part was answered before its suspicion.
    Duration historyReportInterval = std::chrono::seconds(30);
    std::size_t maxEnds = 32;
    std::size_t maxSuspectsPerEnd = 64;
    std::size_t maxVerdicts = 64;
    // Bound of the parts in `ends` and in `verdicts`, each. The oldest end gives way, but the
    // newest minKeptEnds always stay, with a like share each.
    std::size_t maxEvidenceBytes = 2 * 1024 * 1024;
    std::size_t minKeptEnds = 3;
    std::size_t maxAnsweredParts = 4096; // in each map
};

// Sorted ids of parts, without repetitions.
using PartSet = std::vector<PromptPartId>;

// Identifies the incarnation of an engine.
using IncarnationKey = std::uint64_t;
IncarnationKey incarnationKey(std::string_view endpoint, std::uint64_t startedAtMs);

// Returns an id for requests with these parts in this order, equal for the repeats of a request.
std::uint64_t requestKey(std::span<const PromptPart> parts);

// A request without a begun answer at an engine that ended.
struct SuspectRequest
{
    std::uint64_t request = 0;
    PartSet parts; // shared ones, or some of them

    auto operator<=>(const SuspectRequest &) const = default;
};

struct EngineEnd
{
    TimePoint at{};
    std::map<std::uint64_t, PartSet> suspects; // parts by request
    std::size_t bytes = 0;                     // of the parts
};

// Requests with all parts of a set are refused. Usually the set has one part; it has several when
// the requests at the ended engines all had the same ones.
struct PartVerdict
{
    TimePoint lastEndAt{};
    std::optional<TimePoint> releasedAt;
    TimePoint nextTrialAt{};
    std::uint32_t ends = 0;
    std::uint32_t requests = 0;
    std::uint32_t trials = 0;
    // Whether an answer with these parts had begun before the verdict.
    bool hadAnswer = false;
};

// Returns false once an answer began after the last end.
bool isInForce(const PartVerdict &verdict);

// A set that holds no ids but bits, and may contain a few parts too many.
struct PartFilter
{
    std::vector<std::uint64_t> words;
    std::size_t count = 0;
    TimePoint startedAt{};
};

// Times of the latest answers by part. Most parts of long prompts are answered once and never come
// again, so parts that were answered again have maps of their own, whose oldest half is forgotten
// when the limit is reached. Of the others, a filter remains.
struct AnsweredParts
{
    std::unordered_map<PromptPartId, TimePoint> recent;
    std::unordered_map<PromptPartId, TimePoint> older;
    std::unordered_map<PromptPartId, TimePoint> once;
    PartFilter recentOnce;
    PartFilter olderOnce;
};

// How a part stands in the suspects of all ends.
struct SuspectPart
{
    std::uint32_t count = 0;
    TimePoint lastEndAt{};
};

struct PartQuarantine
{
    PartQuarantineOptions options;
    std::map<IncarnationKey, EngineEnd> ends;
    std::unordered_map<PromptPartId, SuspectPart> suspectParts; // of `ends`
    std::size_t endBytes = 0;                                   // of the parts in `ends`
    std::map<PartSet, PartVerdict> verdicts;
    AnsweredParts answered; // by this process
    // Latest answers, by any entry, of parts that `ends` contains.
    std::map<PromptPartId, TimePoint> suspectAnswers;
    // Times at which this entry last repeated a request with a suspect part that has no known
    // answer.
    std::map<PromptPartId, TimePoint> suspectRepeats;
};

// What entries tell each other through the control VMs.
struct PartEvidence
{
    struct End
    {
        IncarnationKey engine = 0;
        std::uint32_t ageMs = 0;
        std::vector<SuspectRequest> suspects;
    };
    struct Answer
    {
        PromptPartId part = 0;
        std::uint32_t ageMs = 0;
    };
    struct Verdict
    {
        PartSet parts;
        std::uint32_t lastEndAgeMs = 0;
        bool isReleased = false;
        std::uint32_t releaseAgeMs = 0;
        std::uint32_t trialInMs = 0;
        std::uint32_t ends = 0;
        std::uint32_t requests = 0;
        std::uint32_t trials = 0;
        bool hadAnswer = false;

        bool operator==(const Verdict &) const = default;
    };
    std::vector<End> ends;
    std::vector<Answer> answers;
    std::vector<Verdict> verdicts;

    bool isEmpty() const { return ends.empty() && answers.empty() && verdicts.empty(); }
};

// Names one row of the evidence: some parts of a request at an engine that ended, from the given
// one on, an answered part or a verdict.
struct SuspectKey
{
    IncarnationKey engine = 0;
    std::uint64_t request = 0;
    PromptPartId firstPart = 0;

    auto operator<=>(const SuspectKey &) const = default;
};
using EvidenceKey = std::variant<SuspectKey, PromptPartId, PartSet>;

// Parts of a request in one row, and of a verdict that is passed on. Each entry finds the verdicts
// on larger sets by itself.
constexpr std::size_t MaxPartsPerRow = 4096;

std::vector<EvidenceKey> evidenceKeys(const PartEvidence &evidence);

// Returns what is known of this row, empty when that is nothing.
PartEvidence evidenceOf(const PartQuarantine &quarantine, const EvidenceKey &key, TimePoint now);

bool hasEvidence(const PartQuarantine &quarantine, const EvidenceKey &key);

// Adds evidence to evidence that has not been sent yet. Requests at the same engine are added to
// its last end.
void appendEvidence(PartEvidence &evidence, PartEvidence &&added);

// Records that the engine ended before it began to answer the request. Returns the new evidence.
PartEvidence recordEngineEnd(PartQuarantine &quarantine, IncarnationKey engine,
                             const SuspectRequest &request, TimePoint now);

// Returns whether a request with these parts may be sent again after its engine ended, and records
// that it is. Further requests with a part that may have ended the engine wait for the outcome.
bool tryTakeRepeatAfterEnd(PartQuarantine &quarantine, std::span<const PromptPartId> parts,
                           TimePoint now);

// Records that an engine began to answer a request with these shared parts. Releases verdicts on
// them. Returns the evidence that other entries need.
PartEvidence recordBegunAnswer(PartQuarantine &quarantine, std::span<const PromptPartId> parts,
                               TimePoint now);

// Merges evidence of another process. Returns the part of it that was new.
PartEvidence mergeEvidence(PartQuarantine &quarantine, const PartEvidence &evidence, TimePoint now);

// Returns answers that this entry knows of parts of these ends and that the fleet may not know.
PartEvidence reportAnswerHistory(PartQuarantine &quarantine,
                                 std::span<const PartEvidence::End> ends, TimePoint now);

// Returns whether an engine ended so recently that evaluateParts() must wait or has just waited.
bool hasUnsettledEnd(const PartQuarantine &quarantine, TimePoint now);

// Quarantines parts that explain the ends of engines. Returns the evidence of the new verdicts.
PartEvidence evaluateParts(PartQuarantine &quarantine, TimePoint now);

// Forgets what is older than its retention.
void removeExpiredEvidence(PartQuarantine &quarantine, TimePoint now);

struct QuarantinedSet
{
    PartSet parts;
    PartVerdict verdict;
};

// Returns the verdict in force on a set whose parts the request all has, or nothing. Of several it
// is the one whose next trial comes last.
std::optional<QuarantinedSet> findVerdict(const PartQuarantine &quarantine,
                                          std::span<const PromptPartId> parts);

std::size_t activeVerdictCount(const PartQuarantine &quarantine);

// Begins a trial of all sets that the request has if it is due for each. Returns the evidence for
// the other entries, which then do not try the sets as well, or nothing if the request is refused.
std::optional<PartEvidence> tryBeginTrial(PartQuarantine &quarantine,
                                          std::span<const PromptPartId> parts, TimePoint now);

} // namespace Trefoil
