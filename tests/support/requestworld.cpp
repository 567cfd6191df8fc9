#include "requestworld.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr std::size_t EntryCount = 3;
constexpr std::uint64_t StreamEvents = 10;
constexpr auto StepSpan = std::chrono::milliseconds(10);
constexpr double DuplicateRate = 0.05;
constexpr double LateRate = 0.03;
const std::string ServicePool = "service/ledger";
const std::string ModelPool = "desk-model";

std::string answerOf(const std::string &call)
{
    return "answer to " + call;
}

std::string toText(const RequestFinish &finish)
{
    return toString(finish.id) + " " + toString(finish.outcome) + " " + toString(finish.reason);
}

} // namespace

RequestWorld::RequestWorld(std::uint64_t seed)
    : rng_(seed)
    , now_(std::chrono::hours(1))
{
    entries_.resize(EntryCount);
    for (std::size_t i = 0; i < EntryCount; ++i)
        entries_[i].name = "entry-" + std::to_string(i);
    for (Entry &entry : entries_)
        boot(entry);
}

void RequestWorld::boot(Entry &entry)
{
    entry.origin = OriginState{};
    entry.origin.self = entry.name;
    entry.origin.incarnation = entry.process;
    entry.dispatch = DispatchState{};
    entry.dispatch.rng.seed(rng_());
    for (const Entry &dispatcher : entries_) {
        entry.origin.dispatchersByDeployment[ModelPool].push_back({dispatcher.name, 2});
        entry.knownProcesses[dispatcher.name] = dispatcher.process;
    }
    openTargets(entry);
}

void RequestWorld::openTargets(Entry &entry)
{
    const bool open = !entry.targetsClosed;
    DispatchOutput out;
    setTargets(entry.dispatch, ServicePool, true,
               {{"vm-1", "a", 0, 1, 4, open}, {"vm-2", "b", 0, 1, 4, open}}, now_, out);
    setTargets(entry.dispatch, ModelPool, false, {{"7", "c", 7, 1, 2, open}}, now_, out);
    take(entry, out);
}

bool RequestWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(rng_) < probability;
}

Duration RequestWorld::randomDelay(int lowMs, int highMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(lowMs, highMs)(rng_));
}

void RequestWorld::later(Duration delay, std::function<void()> run)
{
    events_.push_back({now_ + delay, nextOrder_++, std::move(run)});
    std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void RequestWorld::overNetwork(std::function<void()> run)
{
    if (chance(loss_))
        return;
    if (chance(DuplicateRate))
        later(randomDelay(1, 2500), run);
    later(chance(LateRate) ? randomDelay(40, 2500) : randomDelay(1, 40), std::move(run));
}

RequestWorld::Entry *RequestWorld::findEntry(const EntryId &name)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&name](const Entry &e) { return e.name == name; });
    return found == entries_.end() ? nullptr : &*found;
}

void RequestWorld::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (now_ < end) {
        now_ += StepSpan;
        while (!events_.empty() && events_.front().at <= now_) {
            std::pop_heap(events_.begin(), events_.end(), std::greater<>());
            const Event event = std::move(events_.back());
            events_.pop_back();
            event.run();
        }
        for (Entry &entry : entries_) {
            DispatchOutput dispatchOut;
            runDispatchTimers(entry.dispatch, now_, dispatchOut);
            take(entry, dispatchOut);
            OriginOutput originOut;
            runOriginTimers(entry.origin, now_, originOut);
            take(entry, originOut);
        }
    }
}

void RequestWorld::submit(std::size_t entryNumber, const CallSpec &spec)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    const std::string call = std::to_string(spec.call);
    DispatchRequest request;
    request.workspace = spec.call % 2 == 0 ? "haldar" : "gursha";
    request.pool = spec.isService ? ServicePool : ModelPool;
    request.isService = spec.isService;
    request.isIdempotent = spec.isIdempotent;
    request.isAnswerBuffered = spec.isService || !spec.key.empty();
    request.deadline = now_ + std::chrono::milliseconds(spec.deadlineMs);
    request.payload = std::make_shared<CallPayload>(CallPayload{"POST", "/", "", call});
    OriginOutput out;
    const RequestId id = submitCallerRequest(entry.origin, request, spec.key, spec.call, now_, out);
    Caller caller;
    caller.spec = spec;
    caller.id = id;
    callers_[id] = caller;
    take(entry, out);
}

void RequestWorld::callerGone(std::size_t pick)
{
    std::vector<RequestId> open;
    for (const auto &[id, caller] : callers_) {
        if (!caller.isAnswered && !caller.isGone)
            open.push_back(id);
    }
    if (open.empty())
        return;
    Caller &caller = callers_[open[pick % open.size()]];
    caller.isGone = true;
    Entry &entry = *findEntry(caller.id.entry);
    if (entry.process != caller.id.incarnation)
        return;
    OriginOutput out;
    handleCallerGone(entry.origin, caller.id, now_, out);
    take(entry, out);
}

void RequestWorld::crashEntry(std::size_t entryNumber)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    entry.process += 1;
    boot(entry);
    // Its callers lost their connections with it.
    for (auto &[id, caller] : callers_) {
        if (id.entry == entry.name && id.incarnation < entry.process)
            caller.isGone = true;
    }
    const EntryId name = entry.name;
    const std::uint64_t process = entry.process;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        later(randomDelay(0, 600), [this, i, name, process] {
            std::uint64_t &known = entries_[i].knownProcesses[name];
            if (known >= process)
                return;
            known = process;
            loseAttemptsAt(entries_[i], name);
        });
    }
    later(randomDelay(0, 900), [this, name, process] {
        Proposal proposal;
        proposal.command = AbandonKeys{name, process};
        applyProposal(control_, proposal, ++controlIndex_);
    });
}

// The session completes the report of a lost attempt by what it received.
void RequestWorld::loseAttemptsAt(Entry &entry, const EntryId &dispatcher)
{
    for (AttemptReport &report : lostAttempts(entry.origin, dispatcher)) {
        const Caller &caller = callers_.at(report.id);
        report.relayedEvents = caller.relayAttempt == report.attempt ? caller.relayEvents : 0;
        OriginOutput out;
        handleAttemptReport(entry.origin, report, now_, out);
        take(entry, out);
    }
}

void RequestWorld::setLoss(double rate)
{
    loss_ = rate;
}

void RequestWorld::setFaults(double rate)
{
    faults_ = rate;
}

void RequestWorld::closeTargets(std::size_t entryNumber, bool closed)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    entry.targetsClosed = closed;
    openTargets(entry);
}

void RequestWorld::take(Entry &entry, OriginOutput &out)
{
    for (const Dispatch &dispatch : out.dispatch)
        dispatchTo(entry, dispatch);
    for (const DispatchCancel &request : out.cancel) {
        const auto run = [this, request] {
            Entry &to = *findEntry(request.to);
            DispatchOutput dispatchOut;
            cancel(to.dispatch, request.id, now_, dispatchOut);
            take(to, dispatchOut);
        };
        if (request.to == entry.name)
            run();
        else
            overNetwork(run);
    }
    for (const AttemptCheck &check : out.checks) {
        const std::uint64_t process = entry.knownProcesses.at(check.at);
        overNetwork([this, check, process] {
            Entry &to = *findEntry(check.at);
            if (to.process != process)
                return;
            DispatchOutput dispatchOut;
            checkAttempts(to.dispatch, std::span(&check.attempt, 1), dispatchOut);
            take(to, dispatchOut);
        });
    }
    for (const KeyCommand &command : out.keyCommands)
        runKeyCommand(entry, command);
    for (const RequestFinish &finish : out.finish)
        checkFinish(finish);
}

void RequestWorld::dispatchTo(Entry &from, const Dispatch &dispatch)
{
    const std::uint64_t process = from.knownProcesses.at(dispatch.to);
    const auto run = [this, dispatch, process] {
        Entry &to = *findEntry(dispatch.to);
        if (to.process != process)
            return;
        DispatchOutput out;
        Trefoil::submit(to.dispatch, dispatch.request, now_, out);
        take(to, out);
    };
    if (dispatch.to == from.name)
        run();
    else
        overNetwork(run);
}

void RequestWorld::take(Entry &entry, DispatchOutput &out)
{
    for (const StartAttempt &start : out.start)
        runAttempt(entry, start);
    for (const RequestId &id : out.cancel)
        cancelled_.insert(id);
    for (const AttemptReport &report : out.reports) {
        const auto run = [this, report] {
            Entry &to = *findEntry(report.id.entry);
            OriginOutput originOut;
            handleAttemptReport(to.origin, report, now_, originOut);
            take(to, originOut);
        };
        if (report.id.entry == entry.name) {
            run();
            continue;
        }
        storeReports(entry.dispatch, std::span(&report, 1));
        overNetwork(run);
    }
}

void RequestWorld::runKeyCommand(Entry &entry, const KeyCommand &command)
{
    const EntryId name = entry.name;
    const std::uint64_t process = entry.process;
    overNetwork([this, name, process, command] {
        Proposal proposal;
        proposal.command = command.command;
        const CommandReply reply = applyProposal(control_, proposal, ++controlIndex_);
        overNetwork([this, name, process, command, reply] {
            Entry &to = *findEntry(name);
            if (to.process != process)
                return;
            OriginOutput out;
            handleKeyReply(to.origin, command.number, reply, now_, out);
            take(to, out);
        });
    });
}

// The endpoint: decides the fate of the attempt and notes what ran.
void RequestWorld::runAttempt(Entry &entry, const StartAttempt &start)
{
    const auto entryIndex = static_cast<std::size_t>(&entry - entries_.data());
    const std::uint64_t process = entry.process;
    AttemptEnd end;
    end.id = start.request.id;
    end.attempt = start.request.attempt;
    cancelled_.erase(end.id);
    const bool faulty = chance(faults_);
    const int fate = faulty ? std::uniform_int_distribution<int>(0, 4)(rng_) : 5;
    const bool runs = fate != 0 && fate != 1;
    later(randomDelay(1, 60), [this, entryIndex, process, start, end, fate, runs]() mutable {
        if (runs) {
            ++runs_[end.id];
            const auto caller = callers_.find(end.id);
            if (caller != callers_.end() && !caller->second.spec.key.empty())
                ++runsByKey_[caller->second.spec.key];
        }
        const bool streams = !start.request.isAnswerBuffered;
        const std::uint64_t from = start.request.resumeFrom;
        const std::uint64_t left = StreamEvents - std::min(from, StreamEvents);
        std::uint64_t events = streams ? left : 0;
        switch (fate) {
        case 0:
            end.result = AttemptResult::NotStarted;
            end.reason = Reason::ConnectFailed;
            events = 0;
            break;
        case 1: // the request was lost on its way
            end.result = AttemptResult::Lost;
            end.reason = Reason::ConnectionLost;
            events = 0;
            break;
        case 2: // the answer was lost
        case 3:
            end.result = AttemptResult::Lost;
            end.reason = Reason::Silent;
            events = streams ? std::uniform_int_distribution<std::uint64_t>(0, left)(rng_) : 0;
            break;
        case 4:
            end.result = AttemptResult::Failed;
            end.reason = Reason::EndpointFailed;
            end.status = 500;
            events = 0;
            break;
        default:
            end.result = AttemptResult::Completed;
            end.status = 200;
            if (!streams)
                end.body = answerOf(start.request.payload->body);
        }
        if (cancelled_.contains(end.id) && end.result == AttemptResult::Completed) {
            end.result = AttemptResult::Lost;
            end.reason = Reason::CallerGone;
            events = 0;
        }
        end.relayedEvents = events;
        // The session takes events only while the attempt is the current one of a live process.
        later(randomDelay(1, 80), [this, entryIndex, process, end, from] {
            if (entries_[entryIndex].process == process)
                relay(end, from);
            endAttempt(entryIndex, process, end);
        });
    });
}

void RequestWorld::endAttempt(std::size_t entryIndex, std::uint64_t process, const AttemptEnd &end)
{
    Entry &entry = entries_[entryIndex];
    if (entry.process != process)
        return;
    DispatchOutput out;
    handleAttemptEnd(entry.dispatch, end, now_, out);
    take(entry, out);
}

void RequestWorld::relay(const AttemptEnd &end, std::uint64_t first)
{
    const auto found = callers_.find(end.id);
    if (found == callers_.end() || found->second.isAnswered || found->second.isGone
        || end.relayedEvents == 0)
        return;
    Caller &caller = found->second;
    // Parts of an attempt that the origin has given up are ignored.
    if (end.attempt < caller.relayAttempt)
        return;
    if (first != caller.nextEvent)
        throw RequestViolation("a resumed stream repeats or skips events");
    caller.relayAttempt = end.attempt;
    caller.relayEvents = end.relayedEvents;
    caller.nextEvent += end.relayedEvents;
}

void RequestWorld::checkFinish(const RequestFinish &finish)
{
    Caller &caller = callers_.at(finish.id);
    if (caller.isAnswered)
        throw RequestViolation("two answers: " + toText(finish));
    caller.isAnswered = true;
    caller.outcome = finish.outcome;
    const std::uint32_t runs = runs_[finish.id];
    switch (finish.outcome) {
    case Outcome::Done:
        ++done_;
        break;
    case Outcome::NotRun:
        ++notRun_;
        if (runs > 0)
            throw RequestViolation("told not run, but it ran: " + toText(finish));
        break;
    case Outcome::Unknown:
        ++unknown_;
        break;
    case Outcome::Failed:
        break;
    }
    const bool buffered = caller.spec.isService || !caller.spec.key.empty();
    if (finish.outcome == Outcome::Done && buffered
        && finish.body != answerOf(std::to_string(caller.spec.call)))
        throw RequestViolation("an answer of another call: " + toText(finish));
    if (finish.outcome == Outcome::Done && !buffered && !caller.isGone
        && caller.nextEvent != StreamEvents)
        throw RequestViolation("a stream ended as done before it was whole");
    if (!caller.spec.isIdempotent && runs > 1)
        throw RequestViolation("a call that is not idempotent ran twice: " + toText(finish));
    if (!caller.spec.key.empty())
        checkKeyed(caller, finish);
}

void RequestWorld::checkKeyed(const Caller &caller, const RequestFinish &finish)
{
    const std::string &key = caller.spec.key;
    if (!caller.spec.isIdempotent && runsByKey_[key] > 1)
        throw RequestViolation("a key ran twice: " + key);
    if (finish.outcome != Outcome::Done)
        return;
    const auto [known, added] = answersByKey_.try_emplace(key, finish.body);
    if (!added && known->second != finish.body)
        throw RequestViolation("two answers for key " + key);
}

// No key stays reserved by a call that is over.
void RequestWorld::checkKeysAreFree()
{
    // The leader goes on abandoning the keys of processes that are gone.
    for (const Entry &entry : entries_) {
        Proposal proposal;
        proposal.command = AbandonKeys{entry.name, entry.process};
        applyProposal(control_, proposal, ++controlIndex_);
    }
    std::set<std::string> keys;
    for (const auto &[id, caller] : callers_)
        keys.insert(caller.spec.key);
    keys.erase("");
    for (const std::string &key : keys) {
        CallSpec spec;
        spec.key = key;
        spec.call = static_cast<std::uint32_t>(std::stoul(key.substr(key.find('-') + 1)));
        submit(0, spec);
    }
    advance(std::chrono::seconds(6));
    for (const auto &[key, record] : control_.keys) {
        if (record.result.outcome == KeyOutcome::Running)
            throw RequestViolation("a key stays reserved: " + key);
    }
}

void RequestWorld::settle()
{
    loss_ = 0;
    faults_ = 0;
    for (std::size_t i = 0; i < entries_.size(); ++i)
        closeTargets(i, false);
    advance(std::chrono::seconds(15));
    checkKeysAreFree();
    for (const auto &[id, caller] : callers_) {
        if (!caller.isAnswered && !caller.isGone)
            throw RequestViolation("no answer: " + toString(id));
    }
    for (const auto &[id, runs] : runs_) {
        const Caller &caller = callers_.at(id);
        if (caller.isAnswered && caller.outcome == Outcome::NotRun && runs > 0)
            throw RequestViolation("ran after its caller was told not run: " + toString(id));
        if (!caller.spec.isIdempotent && runs > 1)
            throw RequestViolation("a call that is not idempotent ran twice: " + toString(id));
    }
    for (const Entry &entry : entries_) {
        if (!entry.origin.requests.empty() || !entry.dispatch.running.empty())
            throw RequestViolation("a request is never given up at " + entry.name);
    }
}

} // namespace Trefoil
