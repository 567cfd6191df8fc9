#include "libserving/origin.h"

#include <algorithm>

namespace Trefoil {

namespace {

KeyOwner keyOwner(const OriginState &state, std::uint64_t number)
{
    return {state.self, state.incarnation, number};
}

void finish(OriginState &state, std::uint64_t number, RequestFinish result, OriginOutput &out)
{
    result.id = {state.self, state.incarnation, number};
    out.finish.push_back(std::move(result));
    state.requests.erase(number);
}

RequestFinish makeRefusal(Reason reason, Duration retryAfter)
{
    RequestFinish result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    result.retryAfter = retryAfter;
    return result;
}

RequestFinish finishFromReport(const AttemptReport &report, Outcome outcome)
{
    RequestFinish result;
    result.outcome = outcome;
    result.reason = report.reason;
    result.retryAfter = report.retryAfter;
    result.status = report.status;
    result.contentType = report.contentType;
    result.body = report.body;
    return result;
}

void sendClaim(OriginState &state, std::uint64_t number, OriginRequest &origin, TimePoint now,
               OriginOutput &out)
{
    origin.isClaimSent = true;
    origin.nextKeySendAt = now + state.options.keyRetryInterval;
    out.keyCommands.push_back(
            {number, ClaimKey{origin.key, origin.digest, keyOwner(state, number)}});
}

KeyOutcome toKeyOutcome(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return KeyOutcome::Done;
    case Outcome::Failed:
        return KeyOutcome::Failed;
    default:
        return KeyOutcome::Unknown;
    }
}

Outcome toOutcome(KeyOutcome outcome)
{
    switch (outcome) {
    case KeyOutcome::Done:
        return Outcome::Done;
    case KeyOutcome::Failed:
        return Outcome::Failed;
    default:
        return Outcome::Unknown;
    }
}

void sendFinishKey(OriginState &state, std::uint64_t number, OriginRequest &origin, TimePoint now,
                   OriginOutput &out)
{
    origin.nextKeySendAt = now + state.options.keyRetryInterval;
    FinishKey command;
    command.key = origin.key;
    command.owner = keyOwner(state, number);
    command.outcome = toKeyOutcome(origin.outcomeToRecord);
    command.status = origin.lastReportAt.status;
    command.contentType = origin.lastReportAt.contentType;
    command.body = origin.lastReportAt.body;
    out.keyCommands.push_back({number, command});
}

void sendReleaseKey(OriginState &state, std::uint64_t number, OriginRequest &origin, TimePoint now,
                    OriginOutput &out)
{
    origin.nextKeySendAt = now + state.options.keyRetryInterval;
    out.keyCommands.push_back({number, ReleaseKey{origin.key, keyOwner(state, number)}});
}

// Ends a request that provably did not run. The claim of an idempotency key is released after the
// caller was answered.
void finishNotRun(OriginState &state, std::uint64_t number, Reason reason, Duration retryAfter,
                  TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    if (!origin.isClaimSent) {
        finish(state, number, makeRefusal(reason, retryAfter), out);
        return;
    }
    RequestFinish result = makeRefusal(reason, retryAfter);
    result.id = origin.request.id;
    out.finish.push_back(std::move(result));
    origin.phase = OriginPhase::ReleasingKey;
    sendReleaseKey(state, number, origin, now, out);
}

// Ends a request that ran or may have run. The outcome of a request with an idempotency key is
// recorded before the caller is answered.
void finishPossiblyRun(OriginState &state, std::uint64_t number, Outcome outcome, TimePoint now,
                       OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    if (origin.key.empty()) {
        finish(state, number, finishFromReport(origin.lastReportAt, outcome), out);
        return;
    }
    origin.phase = OriginPhase::FinishingKey;
    origin.outcomeToRecord = outcome;
    origin.phaseDeadline = std::max(origin.request.deadline, now + state.options.cancelGrace);
    sendFinishKey(state, number, origin, now, out);
}

// Returns the dispatcher with the fewest requests of this origin per slot among those that did not
// refuse the request, or null.
const DispatcherCandidate *chooseDispatcher(const OriginState &state, const OriginRequest &origin)
{
    const auto found = state.dispatchersByDeployment.find(origin.request.pool);
    if (found == state.dispatchersByDeployment.end())
        return nullptr;
    const DispatcherCandidate *best = nullptr;
    double bestLoad = 0;
    for (const DispatcherCandidate &candidate : found->second) {
        if (origin.refusedBy.contains(candidate.entry))
            continue;
        const auto count = state.requestsAtDispatcher.find(candidate.entry);
        const double requestCount = count == state.requestsAtDispatcher.end() ? 0 : count->second;
        const double load = requestCount / std::max(candidate.slots, 1u);
        if (!best || load < bestLoad) {
            best = &candidate;
            bestLoad = load;
        }
    }
    return best;
}

void clearDispatcher(OriginState &state, OriginRequest &origin)
{
    if (origin.dispatcher.empty())
        return;
    auto &count = state.requestsAtDispatcher[origin.dispatcher];
    if (count > 0)
        --count;
    origin.dispatcher.clear();
}

// Returns true when the request may wait for capacity. All groups of a deployment may be closed for
// a short time, so a request is not refused at once in this case. On overload it is refused at
// once.
bool mayWaitForCapacity(const OriginState &state, const OriginRequest &origin, TimePoint now)
{
    const bool isOverloaded = origin.lastReportAt.reason == Reason::Overloaded;
    const TimePoint nextAttempt = now + state.options.capacityRetryInterval;
    return !isOverloaded && !origin.isCallerGone && nextAttempt < origin.capacityWaitEnd
           && nextAttempt < origin.request.deadline;
}

// Ends a request that is not at a dispatcher.
void finishUndispatched(OriginState &state, std::uint64_t number, Reason reason, TimePoint now,
                        OriginOutput &out)
{
    const OriginRequest &origin = state.requests.at(number);
    const Duration retryAfter = std::max<Duration>(origin.lastReportAt.retryAfter,
                                                   state.options.noDispatcherRetryAfter);
    if (origin.mayHaveRun)
        finishPossiblyRun(state, number, Outcome::Unknown, now, out);
    else
        finishNotRun(state, number, reason, retryAfter, now, out);
}

// Sends the next attempt to a dispatcher. Without a dispatcher that has capacity, the request waits
// or ends.
void startAttempt(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    EntryId dispatcher = state.self;
    if (!origin.request.isService) {
        const DispatcherCandidate *candidate = chooseDispatcher(state, origin);
        if (!candidate && mayWaitForCapacity(state, origin, now)) {
            origin.phase = OriginPhase::WaitingForCapacity;
            origin.nextAttemptAt = now + state.options.capacityRetryInterval;
            origin.refusedBy.clear();
            return;
        }
        if (!candidate) {
            finishUndispatched(state, number, Reason::NoCapacity, now, out);
            return;
        }
        dispatcher = candidate->entry;
    }
    origin.phase = OriginPhase::Dispatched;
    origin.dispatcher = dispatcher;
    origin.request.attempt += 1;
    origin.nextCheckAt = now + state.options.checkInterval;
    ++state.requestsAtDispatcher[dispatcher];
    out.dispatch.push_back({dispatcher, origin.request});
}

// Returns true when the dispatcher had no capacity and did not send the request to an endpoint.
bool isCapacityRefusal(const AttemptReport &report)
{
    return report.reason == Reason::NoCapacity || report.reason == Reason::Overloaded;
}

// Returns true when the request gets another attempt after a report. A retry is safe only after an
// attempt that did not start, or for an idempotent request. Consumes the retry budget.
bool mayRetry(OriginState &state, const OriginRequest &origin, const AttemptReport &report,
              TimePoint now)
{
    if (origin.isCallerGone || origin.phase == OriginPhase::Cancelling)
        return false;
    if (origin.request.deadline <= now)
        return false;
    if (isCapacityRefusal(report))
        return !origin.request.isService;
    if (origin.request.attempt - origin.refusals >= state.options.maxAttempts)
        return false;
    if (report.reason == Reason::DeadlinePassed || report.reason == Reason::CallerGone)
        return false;
    const bool isSafeToRetry =
            report.result == AttemptResult::NotStarted || origin.request.isIdempotent;
    return isSafeToRetry && tryTakeRetry(state.retryBudgetByPool[origin.request.pool]);
}

void decideOutcome(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    const OriginRequest &origin = state.requests.at(number);
    const AttemptReport &lastReportAt = origin.lastReportAt;
    switch (lastReportAt.result) {
    case AttemptResult::Completed:
        finishPossiblyRun(state, number, Outcome::Done, now, out);
        return;
    case AttemptResult::Failed:
        finishPossiblyRun(state, number, Outcome::Failed, now, out);
        return;
    case AttemptResult::Lost:
        finishPossiblyRun(state, number, Outcome::Unknown, now, out);
        return;
    case AttemptResult::NotStarted:
        break;
    }
    if (origin.mayHaveRun)
        finishPossiblyRun(state, number, Outcome::Unknown, now, out);
    else
        finishNotRun(state, number, lastReportAt.reason, lastReportAt.retryAfter, now, out);
}

void handleClaimReply(OriginState &state, std::uint64_t number, const CommandReply &reply,
                      TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    switch (reply.code) {
    case ReplyCode::KeyGranted:
        if (origin.isCallerGone || origin.request.deadline <= now)
            finishNotRun(state, number, Reason::DeadlinePassed, {}, now, out);
        else
            startAttempt(state, number, now, out);
        return;
    case ReplyCode::KeyFinished: {
        RequestFinish result;
        result.outcome = toOutcome(reply.key.outcome);
        result.status = reply.key.status;
        result.contentType = reply.key.contentType;
        result.body = reply.key.body;
        result.isReplay = true;
        finish(state, number, std::move(result), out);
        return;
    }
    case ReplyCode::KeyRunning:
        finish(state, number, makeRefusal(Reason::KeyRunning, state.options.keyRunningRetryAfter),
               out);
        return;
    case ReplyCode::KeyMismatch:
        finish(state, number, makeRefusal(Reason::KeyMismatch, {}), out);
        return;
    default:
        finish(state, number,
               makeRefusal(Reason::KeyUnavailable, state.options.noDispatcherRetryAfter), out);
    }
}

// Returns the request that awaits this report, or null.
OriginRequest *findReportedRequest(OriginState &state, const AttemptReport &report)
{
    if (report.id.entry != state.self || report.id.incarnation != state.incarnation)
        return nullptr;
    const auto found = state.requests.find(report.id.number);
    if (found == state.requests.end())
        return nullptr;
    OriginRequest &origin = found->second;
    const bool isAwaitingReport =
            origin.phase == OriginPhase::Dispatched || origin.phase == OriginPhase::Cancelling;
    return isAwaitingReport && origin.request.attempt == report.attempt ? &origin : nullptr;
}

void resendKeyCommand(OriginState &state, std::uint64_t number, OriginRequest &origin,
                      TimePoint now, OriginOutput &out)
{
    if (now < origin.nextKeySendAt)
        return;
    switch (origin.phase) {
    case OriginPhase::ClaimingKey:
        sendClaim(state, number, origin, now, out);
        break;
    case OriginPhase::FinishingKey:
        sendFinishKey(state, number, origin, now, out);
        break;
    case OriginPhase::ReleasingKey:
        sendReleaseKey(state, number, origin, now, out);
        break;
    default:
        break;
    }
}

// Asks the dispatcher about an attempt at another entry, since the report of the attempt may have
// been lost.
void checkRemoteAttempt(OriginState &state, OriginRequest &origin, TimePoint now, OriginOutput &out)
{
    const bool isAtOtherEntry =
            origin.phase == OriginPhase::Dispatched && origin.dispatcher != state.self;
    if (!isAtOtherEntry || now < origin.nextCheckAt)
        return;
    origin.nextCheckAt = now + state.options.checkInterval;
    out.checks.push_back({origin.dispatcher, {origin.request.id, origin.request.attempt}});
}

// Advances a request whose deadline passed or whose wait for capacity or for a reply is over.
void advancePhase(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    switch (origin.phase) {
    case OriginPhase::ClaimingKey:
        if (now >= origin.request.deadline)
            finishNotRun(state, number, Reason::KeyUnavailable,
                         state.options.noDispatcherRetryAfter, now, out);
        return;
    case OriginPhase::WaitingForCapacity:
        if (now >= origin.nextAttemptAt)
            startAttempt(state, number, now, out);
        return;
    case OriginPhase::Dispatched:
        if (now < origin.request.deadline)
            return;
        origin.phase = OriginPhase::Cancelling;
        origin.phaseDeadline = now + state.options.cancelGrace;
        out.cancel.push_back({origin.dispatcher, origin.request.id});
        return;
    case OriginPhase::Cancelling: {
        if (now < origin.phaseDeadline)
            return;
        AttemptReport lost;
        lost.id = origin.request.id;
        lost.attempt = origin.request.attempt;
        lost.result = AttemptResult::Lost;
        lost.reason = Reason::DeadlinePassed;
        handleAttemptReport(state, lost, now, out);
        return;
    }
    case OriginPhase::FinishingKey:
        // The caller gets the complete answer although the outcome is not recorded yet. The command
        // that records it is still resent.
        if (now >= origin.phaseDeadline && !origin.isCallerGone) {
            RequestFinish result = finishFromReport(origin.lastReportAt, origin.outcomeToRecord);
            result.id = origin.request.id;
            out.finish.push_back(std::move(result));
            origin.isCallerGone = true;
        }
        return;
    case OriginPhase::ReleasingKey:
        return;
    }
}

} // namespace

RequestId submitCallerRequest(OriginState &state, DispatchRequest request, std::string key,
                              std::uint64_t digest, TimePoint now, OriginOutput &out)
{
    const std::uint64_t number = state.nextNumber++;
    request.id = {state.self, state.incarnation, number};
    request.attempt = 0;
    const RequestId id = request.id;
    OriginRequest origin;
    origin.request = std::move(request);
    origin.key = std::move(key);
    origin.digest = digest;
    origin.capacityWaitEnd = now + state.options.capacityWait;
    if (state.requests.size() >= state.options.maxRequests) {
        RequestFinish result =
                makeRefusal(Reason::Overloaded, state.options.noDispatcherRetryAfter);
        result.id = id;
        out.finish.push_back(std::move(result));
        return id;
    }
    const bool keyed = !origin.key.empty();
    OriginRequest &stored = state.requests.emplace(number, std::move(origin)).first->second;
    if (keyed) {
        stored.phase = OriginPhase::ClaimingKey;
        sendClaim(state, number, stored, now, out);
    } else {
        startAttempt(state, number, now, out);
    }
    return id;
}

void handleAttemptReport(OriginState &state, const AttemptReport &report, TimePoint now,
                         OriginOutput &out)
{
    OriginRequest *origin = findReportedRequest(state, report);
    if (!origin)
        return;
    const std::uint64_t number = report.id.number;
    if (isCapacityRefusal(report)) {
        origin->refusedBy.insert(origin->dispatcher);
        ++origin->refusals;
    }
    clearDispatcher(state, *origin);
    origin->lastReportAt = report;
    origin->mayHaveRun = origin->mayHaveRun || report.result == AttemptResult::Lost
                         || report.result == AttemptResult::Failed;
    origin->request.resumeFrom += report.relayedEvents;
    // A request that was started waits longer, so that another dispatcher can take over the groups.
    if (report.result == AttemptResult::Lost)
        origin->capacityWaitEnd = now + state.options.resumeWait;
    if (report.result == AttemptResult::Completed) {
        recordSuccess(state.retryBudgetByPool[origin->request.pool]);
        finishPossiblyRun(state, number, Outcome::Done, now, out);
        return;
    }
    const bool partlyRelayedFailure =
            report.result == AttemptResult::Failed
            && (origin->request.resumeFrom > 0 || !origin->request.isIdempotent);
    if (!partlyRelayedFailure && mayRetry(state, *origin, report, now)) {
        startAttempt(state, number, now, out);
        return;
    }
    decideOutcome(state, number, now, out);
}

void handleKeyReply(OriginState &state, std::uint64_t number, const CommandReply &reply,
                    TimePoint now, OriginOutput &out)
{
    const auto found = state.requests.find(number);
    if (found == state.requests.end())
        return;
    OriginRequest &origin = found->second;
    switch (origin.phase) {
    case OriginPhase::ClaimingKey:
        handleClaimReply(state, number, reply, now, out);
        return;
    case OriginPhase::FinishingKey: {
        // A late reply to the claim does not end this phase.
        if (reply.code != ReplyCode::Accepted && reply.code != ReplyCode::KeyFinished
            && reply.code != ReplyCode::NotFound)
            return;
        if (origin.isCallerGone) {
            state.requests.erase(found);
            return;
        }
        finish(state, number, finishFromReport(origin.lastReportAt, origin.outcomeToRecord), out);
        return;
    }
    case OriginPhase::ReleasingKey:
        if (reply.code == ReplyCode::Accepted || reply.code == ReplyCode::NotFound
            || reply.code == ReplyCode::KeyFinished)
            state.requests.erase(found);
        return;
    default:
        return;
    }
}

void handleCallerGone(OriginState &state, const RequestId &id, TimePoint now, OriginOutput &out)
{
    const auto found = state.requests.find(id.number);
    if (found == state.requests.end() || id.incarnation != state.incarnation)
        return;
    OriginRequest &origin = found->second;
    origin.isCallerGone = true;
    if (origin.phase == OriginPhase::WaitingForCapacity) {
        finishUndispatched(state, id.number, Reason::CallerGone, now, out);
        return;
    }
    if (origin.phase != OriginPhase::Dispatched)
        return;
    origin.phase = OriginPhase::Cancelling;
    origin.phaseDeadline = now + state.options.cancelGrace;
    out.cancel.push_back({origin.dispatcher, origin.request.id});
}

std::vector<AttemptReport> lostAttempts(const OriginState &state, const EntryId &entry)
{
    std::vector<AttemptReport> lost;
    for (const auto &[number, origin] : state.requests) {
        const bool isAwaitingReport =
                origin.phase == OriginPhase::Dispatched || origin.phase == OriginPhase::Cancelling;
        if (!isAwaitingReport || origin.dispatcher != entry)
            continue;
        AttemptReport report;
        report.id = origin.request.id;
        report.attempt = origin.request.attempt;
        report.result = AttemptResult::Lost;
        report.reason = Reason::EntryLost;
        lost.push_back(std::move(report));
    }
    return lost;
}

void runOriginTimers(OriginState &state, TimePoint now, OriginOutput &out)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, origin] : state.requests)
        numbers.push_back(number);
    for (std::uint64_t number : numbers) {
        const auto found = state.requests.find(number);
        if (found == state.requests.end())
            continue;
        resendKeyCommand(state, number, found->second, now, out);
        checkRemoteAttempt(state, found->second, now, out);
        advancePhase(state, number, now, out);
    }
}

} // namespace Trefoil
