#pragma once

#include "libserving/serving.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Simulates the request handling of entries (origin and dispatcher) in virtual time, with an
// unreliable network, fake endpoints that record every execution, and a control state for
// idempotency keys. Throws RequestViolation when an answer contradicts the recorded executions.

namespace Trefoil {

class RequestViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct CallSpec
{
    bool isService = true;
    bool isIdempotent = false;
    std::string key;              // idempotency key; empty without one
    std::uint32_t callNumber = 0; // content of the request; the answer contains it
    std::uint32_t deadlineMs = 5000;
};

class RequestSimulation
{
public:
    explicit RequestSimulation(std::uint64_t seed);

    void advance(Duration span);
    void submit(std::size_t entry, const CallSpec &spec);
    void disconnectCaller(std::size_t index);
    void crashEntry(std::size_t entry); // the entry restarts at once as a new process
    void setMessageLossRate(double rate);
    void setEndpointFaultRate(double rate); // fraction of attempts that fail at the endpoint
    void setTargetsClosed(std::size_t entry, bool closed);

    // Ends the faults and checks that every request of a connected caller was answered.
    void settle();

    std::size_t doneCount() const { return doneCount_; }
    std::size_t notRunCount() const { return notRunCount_; }
    std::size_t unknownCount() const { return unknownCount_; }

private:
    struct Entry
    {
        EntryId name;
        std::uint64_t process = 1;
        OriginState origin;
        DispatchState dispatch;
        bool areTargetsClosed = false;
        std::map<EntryId, std::uint64_t> knownProcesses; // of all entries, learned with a delay
    };

    struct Caller
    {
        CallSpec spec;
        RequestId id;
        std::uint64_t nextStreamEvent = 0; // next expected event of a streamed answer
        std::uint32_t relayedAttempt = 0;
        std::uint64_t relayedEventCount = 0; // events relayed by that attempt
        bool isGone = false;
        bool isAnswered = false;
        Outcome outcome = Outcome::Unknown;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number; // order of insertion, for events at the same time
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void startProcess(Entry &entry);
    void updateTargets(Entry &entry);
    void schedule(Duration delay, std::function<void()> run);
    void sendOverNetwork(std::function<void()> run);
    void processOutput(Entry &entry, OriginOutput &out);
    void processOutput(Entry &entry, DispatchOutput &out);
    void sendDispatch(Entry &from, const Dispatch &dispatch);
    void sendKeyCommand(Entry &entry, const KeyCommand &command);
    void runAttempt(Entry &entry, const StartAttempt &start);
    void endAttempt(std::size_t entryIndex, std::uint64_t process, const AttemptEnd &end);
    void relayEvents(const AttemptEnd &end, std::uint64_t first);
    void reportLostAttempts(Entry &entry, const EntryId &dispatcher);
    void checkResult(const RequestFinish &finish);
    void checkKeyedResult(const Caller &caller, const RequestFinish &finish);
    void checkNoKeyIsReserved();
    Entry *findEntry(const EntryId &name);
    bool drawChance(double probability);
    Duration randomDelay(int lowMs, int highMs);

    std::mt19937_64 rng_;
    TimePoint now_;
    std::uint64_t nextEventNumber_ = 0;
    std::vector<Event> events_; // heap by time
    std::vector<Entry> entries_;
    std::map<RequestId, Caller> callers_;
    std::map<RequestId, std::uint32_t> executionCounts_;
    std::map<std::string, std::uint32_t> executionCountsByKey_;
    std::map<std::string, std::string> answersByKey_;
    std::set<RequestId> cancelled_;
    ControlState control_;
    LogIndex controlIndex_ = 0;
    double messageLossRate_ = 0;
    double endpointFaultRate_ = 0.3;
    std::size_t doneCount_ = 0;
    std::size_t notRunCount_ = 0;
    std::size_t unknownCount_ = 0;
};

} // namespace Trefoil
