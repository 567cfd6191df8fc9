#pragma once

#include "libserving/serving.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Entries with their origin and dispatcher cores, fake endpoints with a ledger of what ran, a fake
// control state for idempotency keys and an unreliable network, all in virtual time. Throws
// Violation when an answer contradicts the ledger.

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
    std::string key;        // empty without an idempotency key
    std::uint32_t call = 0; // what is called; the answer names it
    std::uint32_t deadlineMs = 5000;
};

class RequestWorld
{
public:
    explicit RequestWorld(std::uint64_t seed);

    void advance(Duration span);
    void submit(std::size_t entry, const CallSpec &spec);
    void callerGone(std::size_t pick);
    void crashEntry(std::size_t entry); // comes back at once as a new process
    void setLoss(double rate);
    void setFaults(double rate); // share of attempts that an endpoint treats badly
    void closeTargets(std::size_t entry, bool closed);

    // Ends the faults and checks that every request that could be answered was answered.
    void settle();

    std::size_t done() const { return done_; }
    std::size_t notRun() const { return notRun_; }
    std::size_t unknown() const { return unknown_; }

private:
    struct Entry
    {
        EntryId name;
        std::uint64_t process = 1;
        OriginState origin;
        DispatchState dispatch;
        bool targetsClosed = false;
        std::map<EntryId, std::uint64_t> knownProcesses; // of the other entries, learned late
    };

    struct Caller
    {
        CallSpec spec;
        RequestId id;
        std::uint64_t nextEvent = 0; // of a streamed answer
        std::uint32_t relayAttempt = 0;
        std::uint64_t relayEvents = 0; // of that attempt
        bool isGone = false;
        bool isAnswered = false;
        Outcome outcome = Outcome::Unknown;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void boot(Entry &entry);
    void openTargets(Entry &entry);
    void later(Duration delay, std::function<void()> run);
    void overNetwork(std::function<void()> run);
    void take(Entry &entry, OriginOutput &out);
    void take(Entry &entry, DispatchOutput &out);
    void dispatchTo(Entry &from, const Dispatch &dispatch);
    void runKeyCommand(Entry &entry, const KeyCommand &command);
    void runAttempt(Entry &entry, const StartAttempt &start);
    void endAttempt(std::size_t entryIndex, std::uint64_t process, const AttemptEnd &end);
    void relay(const AttemptEnd &end, std::uint64_t first);
    void loseAttemptsAt(Entry &entry, const EntryId &dispatcher);
    void checkFinish(const RequestFinish &finish);
    void checkKeyed(const Caller &caller, const RequestFinish &finish);
    void checkKeysAreFree();
    Entry *findEntry(const EntryId &name);
    bool chance(double probability);
    Duration randomDelay(int lowMs, int highMs);

    std::mt19937_64 rng_;
    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::vector<Event> events_; // heap by time
    std::vector<Entry> entries_;
    std::map<RequestId, Caller> callers_;
    std::map<RequestId, std::uint32_t> runs_;
    std::map<std::string, std::uint32_t> runsByKey_;
    std::map<std::string, std::string> answersByKey_;
    std::set<RequestId> cancelled_;
    ControlState control_;
    LogIndex controlIndex_ = 0;
    double loss_ = 0;
    double faults_ = 0.3;
    std::size_t done_ = 0;
    std::size_t notRun_ = 0;
    std::size_t unknown_ = 0;
};

} // namespace Trefoil
