#pragma once

#include "libnode/node.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Whole nodes joined by a fake network, with fake disks and fake endpoints, in virtual time.
// Checks after every step that no VM is in use by two entries and that no gate is open on a group
// with a missing VM.

namespace Trefoil {

class NodeViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct NodeWorldOptions
{
    std::size_t seats = 3;
    std::size_t plainEntries = 1; // entries without a seat
    std::size_t engines = 6;      // two fabric domains
    std::size_t services = 2;
    std::uint64_t seed = 1;
    std::size_t fabrics = 2;
    std::size_t seedEntries = 3; // entries that every settings file names
    Duration freshnessBound = std::chrono::seconds(3);
    RaftOptions raft;
    std::function<void(NodeSettings &)> tune; // further settings
};

class NodeWorld
{
public:
    explicit NodeWorld(const NodeWorldOptions &options);

    void advance(Duration span);

    // Asks through an entry; returns the session, whose answer comes later.
    std::uint64_t submitDraft(std::size_t entry);
    std::uint64_t submitCall(std::size_t entry, const std::string &key);
    std::uint64_t operate(std::size_t entry, const std::string &text, std::uint64_t number);

    void cut(std::size_t from, std::size_t to, bool bothWays);
    void isolate(std::size_t entry); // from all other entries, not from endpoints
    void heal();
    void crash(std::size_t entry);
    void restart(std::size_t entry);
    void pause(std::size_t entry, Duration span);
    void drain(std::size_t entry);
    void silenceVm(std::size_t engine, bool silent);
    void restartVm(std::size_t engine);
    void leaveVm(const VmId &vm);

    NodeState &node(std::size_t entry) { return entries_[entry % entries_.size()].node; }
    bool isUp(std::size_t entry) const { return entries_[entry % entries_.size()].isUp; }
    std::size_t size() const { return entries_.size(); }
    std::optional<std::size_t> leader() const;
    std::size_t openGates() const;
    TimePoint now() const { return now_; }

    const std::map<std::uint64_t, RequestFinish> &answers() const { return answers_; }
    const std::map<std::uint64_t, OperatorReply> &operatorReplies() const { return replies_; }
    const std::map<std::string, std::uint32_t> &runs() const { return runs_; }

    // Last time that a request was started on the VM.
    TimePoint lastStart(const VmId &vm) const;

    std::size_t entriesBehind(ConfigVersion version) const;
    std::uint64_t peerBytes() const { return peerBytes_; }
    std::uint64_t gossipBytes() const { return gossipBytes_; }
    std::uint64_t bytesOf(std::size_t entry) const { return entries_[entry].bytesSent; }

private:
    struct Entry
    {
        NodeSettings settings;
        NodeState node;
        std::shared_ptr<RecoveredLog> disk; // null without a seat
        bool isUp = true;
        std::uint64_t process = 1;
        std::uint64_t bytesSent = 0;
        TimePoint pausedUntil{};
        std::vector<std::function<void()>> held; // received while paused
    };

    struct Endpoint
    {
        Vm vm;
        GroupId group = 0;
        TimePoint readyAt{};
        bool isSilent = false;
        std::size_t entry = 0; // that it reports to
        TimePoint nextReport{};
        bool isAnnounced = false;
        std::uint32_t inFlight = 0;
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

    void boot(std::size_t index);
    void later(Duration delay, std::function<void()> run);
    void toEntry(std::size_t index, std::function<void(NodeOutput &)> handle);
    void take(std::size_t index, NodeOutput &out);
    void sendPeer(std::size_t from, const EntryId &to, const PeerMessage &message);
    void sendGossip(std::size_t from, const GossipSend &gossip);
    void runAttempt(std::size_t index, const StartAttempt &start);
    void takeOrder(std::size_t index, const EngineOrder &order);
    void reportVm(Endpoint &endpoint);
    void takeEndpointReply(const EndpointReply &reply);
    void persist(RecoveredLog &disk, const RaftDiskWrite &write);
    std::size_t indexOf(const EntryId &entry) const;
    std::size_t indexOfAddress(const std::string &address) const;
    Endpoint *findEndpoint(const std::string &address);
    bool isRunning(const Entry &entry) const;
    Duration delay();
    void check();

    NodeWorldOptions options_;
    std::mt19937_64 rng_;
    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::vector<Event> events_;
    std::vector<Entry> entries_;
    std::map<EntryId, std::size_t> entryIndex_;
    std::map<std::string, std::size_t> addressIndex_;
    std::vector<Endpoint> endpoints_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::uint64_t nextSession_ = 1;
    std::map<std::uint64_t, std::size_t> endpointSessions_;
    std::map<std::uint64_t, RequestFinish> answers_;
    std::map<std::uint64_t, OperatorReply> replies_;
    std::map<std::string, std::uint32_t> runs_; // by key, or by request
    std::map<VmId, TimePoint> lastStarts_;
    std::set<RequestId> cancelled_;
    std::uint64_t peerBytes_ = 0;
    std::uint64_t gossipBytes_ = 0;
};

} // namespace Trefoil
