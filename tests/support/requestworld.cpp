#include "requestworld.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr std::size_t EntryCount = 3;
constexpr std::uint64_t EventsPerStream = 10;
constexpr auto StepDuration = std::chrono::milliseconds(10);
constexpr double MessageDuplicationRate = 0.05;
constexpr double MessageDelayRate = 0.03;
const std::string ServicePool = "service/ledger";
const std::string ModelPool = "desk-model";

std::string makeAnswer(const std::string &call)
{
    return "answer to " + call;
}

std::string toText(const RequestFinish &finish)
{
    return toString(finish.id) + " " + toString(finish.outcome) + " " + toString(finish.reason);
}

} // namespace

RequestSimulation::RequestSimulation(std::uint64_t seed)
    : rng_(seed)
    , now_(std::chrono::hours(1))
{
    entries_.resize(EntryCount);
    for (std::size_t i = 0; i < EntryCount; ++i)
        entries_[i].name = "entry-" + std::to_string(i);
    for (Entry &entry : entries_)
        startProcess(entry);
}

void RequestSimulation::startProcess(Entry &entry)
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
    updateTargets(entry);
}

void RequestSimulation::updateTargets(Entry &entry)
{
    const bool open = !entry.areTargetsClosed;
    DispatchOutput out;
    setTargets(entry.dispatch, ServicePool, true,
               {{"vm-1", "a", 0, 1, 4, open}, {"vm-2", "b", 0, 1, 4, open}}, now_, out);
    setTargets(entry.dispatch, ModelPool, false, {{"7", "c", 7, 1, 2, open}}, now_, out);
    processOutput(entry, out);
}

bool RequestSimulation::drawChance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(rng_) < probability;
}

Duration RequestSimulation::randomDelay(int lowMs, int highMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(lowMs, highMs)(rng_));
}

void RequestSimulation::schedule(Duration delay, std::function<void()> run)
{
    events_.push_back({now_ + delay, nextEventNumber_++, std::move(run)});
    std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void RequestSimulation::sendOverNetwork(std::function<void()> run)
{
    if (drawChance(messageLossRate_))
        return;
    if (drawChance(MessageDuplicationRate))
        schedule(randomDelay(1, 2500), run);
    schedule(drawChance(MessageDelayRate) ? randomDelay(40, 2500) : randomDelay(1, 40),
             std::move(run));
}

RequestSimulation::Entry *RequestSimulation::findEntry(const EntryId &name)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&name](const Entry &e) { return e.name == name; });
    return found == entries_.end() ? nullptr : &*found;
}

void RequestSimulation::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (now_ < end) {
        now_ += StepDuration;
        while (!events_.empty() && events_.front().at <= now_) {
            std::pop_heap(events_.begin(), events_.end(), std::greater<>());
            const Event event = std::move(events_.back());
            events_.pop_back();
            event.run();
        }
        for (Entry &entry : entries_) {
            DispatchOutput dispatchOut;
            runDispatchTimers(entry.dispatch, now_, dispatchOut);
            processOutput(entry, dispatchOut);
            OriginOutput originOut;
            runOriginTimers(entry.origin, now_, originOut);
            processOutput(entry, originOut);
        }
    }
}

void RequestSimulation::submit(std::size_t entryNumber, const CallSpec &spec)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    const std::string call = std::to_string(spec.callNumber);
    DispatchRequest request;
    request.workspace = spec.callNumber % 2 == 0 ? "haldar" : "gursha";
    request.pool = spec.isService ? ServicePool : ModelPool;
    request.isService = spec.isService;
    request.isIdempotent = spec.isIdempotent;
    request.isAnswerBuffered = spec.isService || !spec.key.empty();
    request.deadline = now_ + std::chrono::milliseconds(spec.deadlineMs);
    request.payload = std::make_shared<CallPayload>(CallPayload{"POST", "/", "", call});
    OriginOutput out;
    const RequestId id =
            submitCallerRequest(entry.origin, request, spec.key, spec.callNumber, now_, out);
    Caller caller;
    caller.spec = spec;
    caller.id = id;
    callers_[id] = caller;
    processOutput(entry, out);
}

void RequestSimulation::disconnectCaller(std::size_t index)
{
    std::vector<RequestId> open;
    for (const auto &[id, caller] : callers_) {
        if (!caller.isAnswered && !caller.isGone)
            open.push_back(id);
    }
    if (open.empty())
        return;
    Caller &caller = callers_[open[index % open.size()]];
    caller.isGone = true;
    Entry &entry = *findEntry(caller.id.entry);
    if (entry.process != caller.id.incarnation)
        return;
    OriginOutput out;
    handleCallerGone(entry.origin, caller.id, now_, out);
    processOutput(entry, out);
}

void RequestSimulation::crashEntry(std::size_t entryNumber)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    entry.process += 1;
    startProcess(entry);
    // The callers of the entry have lost their connections.
    for (auto &[id, caller] : callers_) {
        if (id.entry == entry.name && id.incarnation < entry.process)
            caller.isGone = true;
    }
    const EntryId name = entry.name;
    const std::uint64_t process = entry.process;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        schedule(randomDelay(0, 600), [this, i, name, process] {
            std::uint64_t &known = entries_[i].knownProcesses[name];
            if (known >= process)
                return;
            known = process;
            reportLostAttempts(entries_[i], name);
        });
    }
    schedule(randomDelay(0, 900), [this, name, process] {
        Proposal proposal;
        proposal.command = AbandonKeys{name, process};
        applyProposal(control_, proposal, ++controlIndex_);
    });
}

// Reports the attempts at a failed dispatcher as lost, with the number of events that the caller's
// session received.
void RequestSimulation::reportLostAttempts(Entry &entry, const EntryId &dispatcher)
{
    for (AttemptReport &report : lostAttempts(entry.origin, dispatcher)) {
        const Caller &caller = callers_.at(report.id);
        report.relayedEvents =
                caller.relayedAttempt == report.attempt ? caller.relayedEventCount : 0;
        OriginOutput out;
        handleAttemptReport(entry.origin, report, now_, out);
        processOutput(entry, out);
    }
}

void RequestSimulation::setMessageLossRate(double rate)
{
    messageLossRate_ = rate;
}

void RequestSimulation::setEndpointFaultRate(double rate)
{
    endpointFaultRate_ = rate;
}

void RequestSimulation::setTargetsClosed(std::size_t entryNumber, bool closed)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    entry.areTargetsClosed = closed;
    updateTargets(entry);
}

void RequestSimulation::processOutput(Entry &entry, OriginOutput &out)
{
    for (const Dispatch &dispatch : out.dispatch)
        sendDispatch(entry, dispatch);
    for (const DispatchCancel &request : out.cancel) {
        const auto run = [this, request] {
            Entry &to = *findEntry(request.to);
            DispatchOutput dispatchOut;
            cancel(to.dispatch, request.id, now_, dispatchOut);
            processOutput(to, dispatchOut);
        };
        if (request.to == entry.name)
            run();
        else
            sendOverNetwork(run);
    }
    for (const AttemptCheck &check : out.checks) {
        const std::uint64_t process = entry.knownProcesses.at(check.at);
        sendOverNetwork([this, check, process] {
            Entry &to = *findEntry(check.at);
            if (to.process != process)
                return;
            DispatchOutput dispatchOut;
            checkAttempts(to.dispatch, std::span(&check.attempt, 1), dispatchOut);
            processOutput(to, dispatchOut);
        });
    }
    for (const KeyCommand &command : out.keyCommands)
        sendKeyCommand(entry, command);
    for (const RequestFinish &finish : out.finish)
        checkResult(finish);
}

void RequestSimulation::sendDispatch(Entry &from, const Dispatch &dispatch)
{
    const std::uint64_t process = from.knownProcesses.at(dispatch.to);
    const auto run = [this, dispatch, process] {
        Entry &to = *findEntry(dispatch.to);
        if (to.process != process)
            return;
        DispatchOutput out;
        Trefoil::submit(to.dispatch, dispatch.request, now_, out);
        processOutput(to, out);
    };
    if (dispatch.to == from.name)
        run();
    else
        sendOverNetwork(run);
}

void RequestSimulation::processOutput(Entry &entry, DispatchOutput &out)
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
            processOutput(to, originOut);
        };
        if (report.id.entry == entry.name) {
            run();
            continue;
        }
        storeReports(entry.dispatch, std::span(&report, 1));
        sendOverNetwork(run);
    }
}

void RequestSimulation::sendKeyCommand(Entry &entry, const KeyCommand &command)
{
    const EntryId name = entry.name;
    const std::uint64_t process = entry.process;
    sendOverNetwork([this, name, process, command] {
        Proposal proposal;
        proposal.command = command.command;
        const CommandReply reply = applyProposal(control_, proposal, ++controlIndex_);
        sendOverNetwork([this, name, process, command, reply] {
            Entry &to = *findEntry(name);
            if (to.process != process)
                return;
            OriginOutput out;
            handleKeyReply(to.origin, command.number, reply, now_, out);
            processOutput(to, out);
        });
    });
}

// Simulates the endpoint: chooses how the attempt ends and records the execution.
void RequestSimulation::runAttempt(Entry &entry, const StartAttempt &start)
{
    const auto entryIndex = static_cast<std::size_t>(&entry - entries_.data());
    const std::uint64_t process = entry.process;
    AttemptEnd end;
    end.id = start.request.id;
    end.attempt = start.request.attempt;
    cancelled_.erase(end.id);
    const bool isFaulty = drawChance(endpointFaultRate_);
    const int faultKind = isFaulty ? std::uniform_int_distribution<int>(0, 4)(rng_) : 5;
    const bool isExecuted = faultKind != 0 && faultKind != 1;
    schedule(randomDelay(1, 60), [this, entryIndex, process, start, end, faultKind,
                                  isExecuted]() mutable {
        if (isExecuted) {
            ++executionCounts_[end.id];
            const auto caller = callers_.find(end.id);
            if (caller != callers_.end() && !caller->second.spec.key.empty())
                ++executionCountsByKey_[caller->second.spec.key];
        }
        const bool streams = !start.request.isAnswerBuffered;
        const std::uint64_t from = start.request.resumeFrom;
        const std::uint64_t left = EventsPerStream - std::min(from, EventsPerStream);
        std::uint64_t events = streams ? left : 0;
        switch (faultKind) {
        case 0:
            end.result = AttemptResult::NotStarted;
            end.reason = Reason::ConnectFailed;
            events = 0;
            break;
        case 1: // the request did not reach the endpoint
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
                end.body = makeAnswer(start.request.payload->body);
        }
        if (cancelled_.contains(end.id) && end.result == AttemptResult::Completed) {
            end.result = AttemptResult::Lost;
            end.reason = Reason::CallerGone;
            events = 0;
        }
        end.relayedEvents = events;
        // A session receives events only while the process of its dispatcher is alive.
        schedule(randomDelay(1, 80), [this, entryIndex, process, end, from] {
            if (entries_[entryIndex].process == process)
                relayEvents(end, from);
            endAttempt(entryIndex, process, end);
        });
    });
}

void RequestSimulation::endAttempt(std::size_t entryIndex, std::uint64_t process,
                                   const AttemptEnd &end)
{
    Entry &entry = entries_[entryIndex];
    if (entry.process != process)
        return;
    DispatchOutput out;
    handleAttemptEnd(entry.dispatch, end, now_, out);
    processOutput(entry, out);
}

void RequestSimulation::relayEvents(const AttemptEnd &end, std::uint64_t first)
{
    const auto found = callers_.find(end.id);
    if (found == callers_.end() || found->second.isAnswered || found->second.isGone
        || end.relayedEvents == 0)
        return;
    Caller &caller = found->second;
    // Ignores events of an attempt that the origin has replaced.
    if (end.attempt < caller.relayedAttempt)
        return;
    if (first != caller.nextStreamEvent)
        throw RequestViolation("a resumed stream repeats or skips events");
    caller.relayedAttempt = end.attempt;
    caller.relayedEventCount = end.relayedEvents;
    caller.nextStreamEvent += end.relayedEvents;
}

void RequestSimulation::checkResult(const RequestFinish &finish)
{
    Caller &caller = callers_.at(finish.id);
    if (caller.isAnswered)
        throw RequestViolation("a request got two answers: " + toText(finish));
    caller.isAnswered = true;
    caller.outcome = finish.outcome;
    const std::uint32_t executions = executionCounts_[finish.id];
    switch (finish.outcome) {
    case Outcome::Done:
        ++doneCount_;
        break;
    case Outcome::NotRun:
        ++notRunCount_;
        if (executions > 0)
            throw RequestViolation("a request was reported as not run, but it ran: "
                                   + toText(finish));
        break;
    case Outcome::Unknown:
        ++unknownCount_;
        break;
    case Outcome::Failed:
        break;
    }
    const bool buffered = caller.spec.isService || !caller.spec.key.empty();
    if (finish.outcome == Outcome::Done && buffered
        && finish.body != makeAnswer(std::to_string(caller.spec.callNumber)))
        throw RequestViolation("a request got the answer of another call: " + toText(finish));
    if (finish.outcome == Outcome::Done && !buffered && !caller.isGone
        && caller.nextStreamEvent != EventsPerStream)
        throw RequestViolation("a stream was reported as done before all its events arrived");
    if (!caller.spec.isIdempotent && executions > 1)
        throw RequestViolation("a call that is not idempotent ran twice: " + toText(finish));
    if (!caller.spec.key.empty())
        checkKeyedResult(caller, finish);
}

void RequestSimulation::checkKeyedResult(const Caller &caller, const RequestFinish &finish)
{
    const std::string &key = caller.spec.key;
    if (!caller.spec.isIdempotent && executionCountsByKey_[key] > 1)
        throw RequestViolation("a call with an idempotency key ran twice: " + key);
    if (finish.outcome != Outcome::Done)
        return;
    const auto [known, added] = answersByKey_.try_emplace(key, finish.body);
    if (!added && known->second != finish.body)
        throw RequestViolation("two answers for key " + key);
}

// Checks that no idempotency key stays reserved after its call has ended.
void RequestSimulation::checkNoKeyIsReserved()
{
    // The control leader abandons the keys of dead processes.
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
        spec.callNumber = static_cast<std::uint32_t>(std::stoul(key.substr(key.find('-') + 1)));
        submit(0, spec);
    }
    advance(std::chrono::seconds(6));
    for (const auto &[key, record] : control_.keys) {
        if (record.result.outcome == KeyOutcome::Running)
            throw RequestViolation("an idempotency key is still reserved: " + key);
    }
}

void RequestSimulation::settle()
{
    messageLossRate_ = 0;
    endpointFaultRate_ = 0;
    for (std::size_t i = 0; i < entries_.size(); ++i)
        setTargetsClosed(i, false);
    advance(std::chrono::seconds(15));
    checkNoKeyIsReserved();
    for (const auto &[id, caller] : callers_) {
        if (!caller.isAnswered && !caller.isGone)
            throw RequestViolation("a request got no answer: " + toString(id));
    }
    for (const auto &[id, executions] : executionCounts_) {
        const Caller &caller = callers_.at(id);
        if (caller.isAnswered && caller.outcome == Outcome::NotRun && executions > 0)
            throw RequestViolation("a request ran although it was reported as not run: "
                                   + toString(id));
        if (!caller.spec.isIdempotent && executions > 1)
            throw RequestViolation("a call that is not idempotent ran twice: " + toString(id));
    }
    for (const Entry &entry : entries_) {
        if (!entry.origin.requests.empty() || !entry.dispatch.running.empty())
            throw RequestViolation("a request is still in progress at " + entry.name);
    }
}

} // namespace Trefoil
