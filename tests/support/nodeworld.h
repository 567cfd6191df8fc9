#pragma once

#include "libnode/node.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Simulates entries with their complete decision logic, connected by a fake network, with fake
// disks and fake endpoints, in virtual time. Checks after every step that no VM is used by two
// entries and that no gate is open for a group that is not in the configuration.

namespace Trefoil {

class NodeViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct NodeSimulationOptions
{
    std::size_t seats = 3;
    std::size_t entriesWithoutSeat = 1;
    std::size_t engines = 6;
    std::size_t services = 2;
    std::uint64_t seed = 1;
    std::size_t fabrics = 2;     // fabric domains of the engines
    std::size_t seedEntries = 3; // entries whose addresses are seeds of all entries
    Duration freshnessBound = std::chrono::seconds(3);
    RaftOptions raft;
    std::function<void(NodeSettings &)> adjustSettings; // called for each entry
};

class NodeSimulation
{
public:
    explicit NodeSimulation(const NodeSimulationOptions &options);

    void advance(Duration span);

    // Sends a request or a statement to an entry. Returns the session under which the answer
    // arrives.
    std::uint64_t submitModelRequest(std::size_t entry);
    std::uint64_t submitServiceCall(std::size_t entry, const std::string &key);
    std::uint64_t executeStatement(std::size_t entry, const std::string &text,
                                   std::uint64_t number);

    void blockLink(std::size_t from, std::size_t to, bool bothWays);
    void isolate(std::size_t entry); // blocks all links to other entries, but not to endpoints
    void heal();                     // unblocks all links
    void crash(std::size_t entry);
    void restart(std::size_t entry);
    void pause(std::size_t entry, Duration span);
    void drain(std::size_t entry);
    void setVmSilent(std::size_t engine, bool isSilent);
    void restartVm(std::size_t engine);
    void sendVmLeave(const VmId &vm);

    NodeState &node(std::size_t entry) { return entries_[entry % entries_.size()].node; }
    bool isUp(std::size_t entry) const { return entries_[entry % entries_.size()].isUp; }
    std::size_t size() const { return entries_.size(); }
    std::optional<std::size_t> findLeader() const;
    std::size_t countOpenGates() const;
    TimePoint now() const { return now_; }

    const std::map<std::uint64_t, RequestFinish> &answers() const { return answers_; }
    const std::map<std::uint64_t, OperatorReply> &operatorReplies() const
    {
        return operatorReplies_;
    }
    const std::map<std::string, std::uint32_t> &executionCounts() const { return executionCounts_; }

    // Returns the time of the last attempt on the VM.
    TimePoint lastStartTime(const VmId &vm) const;

    std::size_t countEntriesBehind(ConfigVersion version) const;
    std::uint64_t peerBytes() const { return peerBytes_; }
    std::uint64_t gossipBytes() const { return gossipBytes_; }
    std::uint64_t bytesSentBy(std::size_t entry) const { return entries_[entry].bytesSent; }

private:
    struct Entry
    {
        NodeSettings settings;
        NodeState node;
        std::shared_ptr<RecoveredLog> disk; // null for an entry without a seat
        bool isUp = true;
        std::uint64_t process = 1;
        std::uint64_t bytesSent = 0;
        TimePoint pausedUntil{};
        std::vector<std::function<void()>> deferredEvents; // arrived while paused
    };

    struct Endpoint
    {
        Vm vm;
        GroupId group = 0;
        TimePoint readyAt{};
        bool isSilent = false;
        std::size_t entry = 0; // receiver of the heartbeats
        TimePoint nextHeartbeat{};
        bool isAnnounced = false;
        std::uint32_t inFlight = 0;
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

    void startProcess(std::size_t index);
    void schedule(Duration delay, std::function<void()> run);
    void runOnEntry(std::size_t index, std::function<void(NodeOutput &)> handle);
    void processOutput(std::size_t index, NodeOutput &out);
    void sendPeer(std::size_t from, const EntryId &to, const PeerMessage &message);
    void sendGossip(std::size_t from, const GossipSend &gossip);
    void runAttempt(std::size_t index, const StartAttempt &start);
    void executeOrder(std::size_t index, const EngineOrder &order);
    void sendHeartbeat(Endpoint &endpoint);
    void handleEndpointReply(const EndpointReply &reply);
    void applyDiskWrite(RecoveredLog &disk, const RaftDiskWrite &write);
    std::size_t findEntryIndex(const EntryId &entry) const;
    std::size_t findEntryIndexByAddress(const std::string &address) const;
    Endpoint *findEndpoint(const std::string &address);
    bool isRunning(const Entry &entry) const;
    Duration drawNetworkDelay();
    void checkInvariants();

    NodeSimulationOptions options_;
    std::mt19937_64 rng_;
    TimePoint now_;
    std::uint64_t nextEventNumber_ = 0;
    std::vector<Event> events_;
    std::vector<Entry> entries_;
    std::map<EntryId, std::size_t> entryIndex_;
    std::map<std::string, std::size_t> addressIndex_;
    std::vector<Endpoint> endpoints_;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks_;
    std::uint64_t nextSession_ = 1;
    std::map<std::uint64_t, std::size_t> endpointSessions_;
    std::map<std::uint64_t, RequestFinish> answers_;
    std::map<std::uint64_t, OperatorReply> operatorReplies_;
    std::map<std::string, std::uint32_t> executionCounts_; // by idempotency key, or by request body
    std::map<VmId, TimePoint> lastStartTimes_;
    std::set<RequestId> cancelled_;
    std::uint64_t peerBytes_ = 0;
    std::uint64_t gossipBytes_ = 0;
};

} // namespace Trefoil
