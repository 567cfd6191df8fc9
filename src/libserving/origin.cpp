#include "libserving/origin.h"

#include <algorithm>

namespace Trefoil {

namespace {

KeyOwner ownerOf(const OriginState &state, std::uint64_t number)
{
    return {state.self, state.incarnation, number};
}

void finish(OriginState &state, std::uint64_t number, RequestFinish result, OriginOutput &out)
{
    result.id = {state.self, state.incarnation, number};
    out.finish.push_back(std::move(result));
    state.requests.erase(number);
}

RequestFinish refusal(Reason reason, Duration retryAfter)
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
    origin.claimSent = true;
    origin.nextKeySend = now + state.options.keyRetryInterval;
    out.keyCommands.push_back(
            {number, ClaimKey{origin.key, origin.digest, ownerOf(state, number)}});
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

Outcome fromKeyOutcome(KeyOutcome outcome)
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
    origin.nextKeySend = now + state.options.keyRetryInterval;
    FinishKey command;
    command.key = origin.key;
    command.owner = ownerOf(state, number);
    command.outcome = toKeyOutcome(origin.keyOutcome);
    command.status = origin.last.status;
    command.contentType = origin.last.contentType;
    command.body = origin.last.body;
    out.keyCommands.push_back({number, command});
}

void sendReleaseKey(OriginState &state, std::uint64_t number, OriginRequest &origin, TimePoint now,
                    OriginOutput &out)
{
    origin.nextKeySend = now + state.options.keyRetryInterval;
    out.keyCommands.push_back({number, ReleaseKey{origin.key, ownerOf(state, number)}});
}

// Ends a request that provably did not run. A claimed key is given back behind the answer.
void finishNotRun(OriginState &state, std::uint64_t number, Reason reason, Duration retryAfter,
                  TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    if (!origin.claimSent) {
        finish(state, number, refusal(reason, retryAfter), out);
        return;
    }
    RequestFinish result = refusal(reason, retryAfter);
    result.id = origin.request.id;
    out.finish.push_back(std::move(result));
    origin.phase = OriginPhase::ReleasingKey;
    sendReleaseKey(state, number, origin, now, out);
}

// Ends a request that ran or may have run. With a key, the outcome is recorded before the caller
// is told.
void finishRan(OriginState &state, std::uint64_t number, Outcome outcome, TimePoint now,
               OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    if (origin.key.empty()) {
        finish(state, number, finishFromReport(origin.last, outcome), out);
        return;
    }
    origin.phase = OriginPhase::FinishingKey;
    origin.keyOutcome = outcome;
    origin.phaseDeadline = std::max(origin.request.deadline, now + state.options.cancelGrace);
    sendFinishKey(state, number, origin, now, out);
}

// The dispatcher with the fewest own requests per slot among those that did not refuse.
const DispatcherCandidate *chooseDispatcher(const OriginState &state, const OriginRequest &origin)
{
    const auto found = state.dispatchers.find(origin.request.pool);
    if (found == state.dispatchers.end())
        return nullptr;
    const DispatcherCandidate *best = nullptr;
    double bestLoad = 0;
    for (const DispatcherCandidate &candidate : found->second) {
        if (origin.refusedBy.contains(candidate.entry))
            continue;
        const auto count = state.outstanding.find(candidate.entry);
        const double own = count == state.outstanding.end() ? 0 : count->second;
        const double load = own / std::max(candidate.slots, 1u);
        if (!best || load < bestLoad) {
            best = &candidate;
            bestLoad = load;
        }
    }
    return best;
}

void releaseDispatcher(OriginState &state, OriginRequest &origin)
{
    if (origin.dispatcher.empty())
        return;
    auto &count = state.outstanding[origin.dispatcher];
    if (count > 0)
        --count;
    origin.dispatcher.clear();
}

// A deployment whose groups are all closed for a moment gets a little time before its requests are
// refused. Overload is refused at once.
bool mayHold(const OriginState &state, const OriginRequest &origin, TimePoint now)
{
    const bool overloaded = origin.last.reason == Reason::Overloaded;
    const TimePoint next = now + state.options.holdInterval;
    return !overloaded && !origin.callerGone && next < origin.holdUntil
           && next < origin.request.deadline;
}

// Ends a request that no dispatcher has at the moment.
void endUndispatched(OriginState &state, std::uint64_t number, Reason reason, TimePoint now,
                     OriginOutput &out)
{
    const OriginRequest &origin = state.requests.at(number);
    const Duration after =
            std::max<Duration>(origin.last.retryAfter, state.options.noDispatcherRetryAfter);
    if (origin.mayHaveRun)
        finishRan(state, number, Outcome::Unknown, now, out);
    else
        finishNotRun(state, number, reason, after, now, out);
}

void startAttempt(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    EntryId to = state.self;
    if (!origin.request.isService) {
        const DispatcherCandidate *candidate = chooseDispatcher(state, origin);
        if (!candidate && mayHold(state, origin, now)) {
            origin.phase = OriginPhase::Holding;
            origin.nextTry = now + state.options.holdInterval;
            origin.refusedBy.clear();
            return;
        }
        if (!candidate) {
            endUndispatched(state, number, Reason::NoCapacity, now, out);
            return;
        }
        to = candidate->entry;
    }
    origin.phase = OriginPhase::Dispatched;
    origin.dispatcher = to;
    origin.request.attempt += 1;
    origin.nextCheck = now + state.options.checkInterval;
    ++state.outstanding[to];
    out.dispatch.push_back({to, origin.request});
}

// The dispatcher had no room; nothing was tried on an endpoint.
bool isRefusal(const AttemptReport &report)
{
    return report.reason == Reason::NoCapacity || report.reason == Reason::Overloaded;
}

bool mayRetry(OriginState &state, const OriginRequest &origin, const AttemptReport &report,
              TimePoint now)
{
    if (origin.callerGone || origin.phase == OriginPhase::Cancelling)
        return false;
    if (origin.request.deadline <= now)
        return false;
    if (isRefusal(report))
        return !origin.request.isService;
    if (origin.request.attempt - origin.refusals >= state.options.maxAttempts)
        return false;
    if (report.reason == Reason::DeadlinePassed || report.reason == Reason::CallerGone)
        return false;
    const bool safe = report.result == AttemptResult::NotStarted || origin.request.isIdempotent;
    return safe && takeRetry(state.budgets[origin.request.pool]);
}

void decideOutcome(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    const OriginRequest &origin = state.requests.at(number);
    const AttemptReport &last = origin.last;
    switch (last.result) {
    case AttemptResult::Completed:
        finishRan(state, number, Outcome::Done, now, out);
        return;
    case AttemptResult::Failed:
        finishRan(state, number, Outcome::Failed, now, out);
        return;
    case AttemptResult::Lost:
        finishRan(state, number, Outcome::Unknown, now, out);
        return;
    case AttemptResult::NotStarted:
        break;
    }
    if (origin.mayHaveRun)
        finishRan(state, number, Outcome::Unknown, now, out);
    else
        finishNotRun(state, number, last.reason, last.retryAfter, now, out);
}

void claimReply(OriginState &state, std::uint64_t number, const CommandReply &reply, TimePoint now,
                OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    switch (reply.code) {
    case ReplyCode::KeyGranted:
        if (origin.callerGone || origin.request.deadline <= now)
            finishNotRun(state, number, Reason::DeadlinePassed, {}, now, out);
        else
            startAttempt(state, number, now, out);
        return;
    case ReplyCode::KeyFinished: {
        RequestFinish result;
        result.outcome = fromKeyOutcome(reply.key.outcome);
        result.status = reply.key.status;
        result.contentType = reply.key.contentType;
        result.body = reply.key.body;
        result.isReplay = true;
        finish(state, number, std::move(result), out);
        return;
    }
    case ReplyCode::KeyRunning:
        finish(state, number, refusal(Reason::KeyRunning, state.options.keyRunningRetryAfter), out);
        return;
    case ReplyCode::KeyMismatch:
        finish(state, number, refusal(Reason::KeyMismatch, {}), out);
        return;
    default:
        finish(state, number, refusal(Reason::KeyUnavailable, state.options.noDispatcherRetryAfter),
               out);
    }
}

OriginRequest *findDispatched(OriginState &state, const AttemptReport &report)
{
    if (report.id.entry != state.self || report.id.incarnation != state.incarnation)
        return nullptr;
    const auto found = state.requests.find(report.id.number);
    if (found == state.requests.end())
        return nullptr;
    OriginRequest &origin = found->second;
    const bool waiting =
            origin.phase == OriginPhase::Dispatched || origin.phase == OriginPhase::Cancelling;
    return waiting && origin.request.attempt == report.attempt ? &origin : nullptr;
}

void keyTick(OriginState &state, std::uint64_t number, OriginRequest &origin, TimePoint now,
             OriginOutput &out)
{
    if (now < origin.nextKeySend)
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

void checkTick(OriginState &state, OriginRequest &origin, TimePoint now, OriginOutput &out)
{
    const bool elsewhere =
            origin.phase == OriginPhase::Dispatched && origin.dispatcher != state.self;
    if (!elsewhere || now < origin.nextCheck)
        return;
    origin.nextCheck = now + state.options.checkInterval;
    out.checks.push_back({origin.dispatcher, {origin.request.id, origin.request.attempt}});
}

void deadlineTick(OriginState &state, std::uint64_t number, TimePoint now, OriginOutput &out)
{
    OriginRequest &origin = state.requests.at(number);
    switch (origin.phase) {
    case OriginPhase::ClaimingKey:
        if (now >= origin.request.deadline)
            finishNotRun(state, number, Reason::KeyUnavailable,
                         state.options.noDispatcherRetryAfter, now, out);
        return;
    case OriginPhase::Holding:
        if (now >= origin.nextTry)
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
        originReport(state, lost, now, out);
        return;
    }
    case OriginPhase::FinishingKey:
        // The answer is whole; only its record is late. The record is still being sent.
        if (now >= origin.phaseDeadline && !origin.callerGone) {
            RequestFinish result = finishFromReport(origin.last, origin.keyOutcome);
            result.id = origin.request.id;
            out.finish.push_back(std::move(result));
            origin.callerGone = true;
        }
        return;
    case OriginPhase::ReleasingKey:
        return;
    }
}

} // namespace

RequestId originSubmit(OriginState &state, DispatchRequest request, std::string key,
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
    origin.holdUntil = now + state.options.capacityWait;
    if (state.requests.size() >= state.options.maxRequests) {
        RequestFinish result = refusal(Reason::Overloaded, state.options.noDispatcherRetryAfter);
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

void originReport(OriginState &state, const AttemptReport &report, TimePoint now, OriginOutput &out)
{
    OriginRequest *origin = findDispatched(state, report);
    if (!origin)
        return;
    const std::uint64_t number = report.id.number;
    if (isRefusal(report)) {
        origin->refusedBy.insert(origin->dispatcher);
        ++origin->refusals;
    }
    releaseDispatcher(state, *origin);
    origin->last = report;
    origin->mayHaveRun = origin->mayHaveRun || report.result == AttemptResult::Lost
                         || report.result == AttemptResult::Failed;
    origin->request.resumeFrom += report.relayedEvents;
    // What was begun is worth the wait for another dispatcher to take the groups over.
    if (report.result == AttemptResult::Lost)
        origin->holdUntil = now + state.options.resumeWait;
    if (report.result == AttemptResult::Completed) {
        addSuccess(state.budgets[origin->request.pool]);
        finishRan(state, number, Outcome::Done, now, out);
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

void originKeyReply(OriginState &state, std::uint64_t number, const CommandReply &reply,
                    TimePoint now, OriginOutput &out)
{
    const auto found = state.requests.find(number);
    if (found == state.requests.end())
        return;
    OriginRequest &origin = found->second;
    switch (origin.phase) {
    case OriginPhase::ClaimingKey:
        claimReply(state, number, reply, now, out);
        return;
    case OriginPhase::FinishingKey: {
        // Late replies to the claim do not end this phase.
        if (reply.code != ReplyCode::Accepted && reply.code != ReplyCode::KeyFinished
            && reply.code != ReplyCode::NotFound)
            return;
        if (origin.callerGone) {
            state.requests.erase(found);
            return;
        }
        finish(state, number, finishFromReport(origin.last, origin.keyOutcome), out);
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

void originCallerGone(OriginState &state, const RequestId &id, TimePoint now, OriginOutput &out)
{
    const auto found = state.requests.find(id.number);
    if (found == state.requests.end() || id.incarnation != state.incarnation)
        return;
    OriginRequest &origin = found->second;
    origin.callerGone = true;
    if (origin.phase == OriginPhase::Holding) {
        endUndispatched(state, id.number, Reason::CallerGone, now, out);
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
        const bool waiting =
                origin.phase == OriginPhase::Dispatched || origin.phase == OriginPhase::Cancelling;
        if (!waiting || origin.dispatcher != entry)
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

void originTick(OriginState &state, TimePoint now, OriginOutput &out)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, origin] : state.requests)
        numbers.push_back(number);
    for (std::uint64_t number : numbers) {
        const auto found = state.requests.find(number);
        if (found == state.requests.end())
            continue;
        keyTick(state, number, found->second, now, out);
        checkTick(state, found->second, now, out);
        deadlineTick(state, number, now, out);
    }
}

} // namespace Trefoil
