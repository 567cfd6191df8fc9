#include "trefoilrund/decisionduty.h"

#include "libruntime/signal.h"

#include <boost/asio/io_context.hpp>

namespace Trefoil {

namespace {

constexpr std::size_t InboxCapacity = 262'144;
// New requests are refused above this queue length, so that there is always room for the messages
// that end requests.
constexpr std::size_t MaxQueueLengthForSubmit = InboxCapacity / 2;
constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr auto StatusInterval = std::chrono::milliseconds(200);

} // namespace

class NodeThread::Impl
{
public:
    Impl(const Settings &settings, std::optional<ControlSeatState> seat,
         NodeThreadHandlers handlers)
        : handlers_(std::move(handlers))
        , thread_("decisions")
        , timer_(thread_.context())
        , node_(makeNode(settings.node, std::move(seat), RuntimeClock::now()))
        , inbox_(thread_, InboxCapacity,
                 [this](NodeThreadInput &&input) { dispatchInput(std::move(input)); })
    {}

    bool tryPush(NodeThreadInput input)
    {
        if (std::holds_alternative<SubmitRequest>(input)
            && inbox_.size() >= MaxQueueLengthForSubmit)
            return false;
        return inbox_.tryPush(std::move(input));
    }

    void start()
    {
        scheduleTick();
        thread_.start();
    }

    void stop() { thread_.stop(); }

private:
    void scheduleTick()
    {
        timer_.expires_after(TickInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            runNodeTimers();
            scheduleTick();
        });
    }

    void runNodeTimers()
    {
        const TimePoint now = RuntimeClock::now();
        NodeOutput out;
        tickNode(node_, now, out);
        sendOutput(out);
        if (now >= nextStatusAt_) {
            nextStatusAt_ = now + StatusInterval;
            publishStatus(now);
        }
        if (!isDrainReported_ && isDrained(node_, now)) {
            isDrainReported_ = true;
            NodeOutput leaveOutput;
            leaveMembership(node_, now, leaveOutput);
            sendOutput(leaveOutput);
            handlers_.onDrained();
        }
    }

    void publishStatus(TimePoint now)
    {
        node_.firstByteTimes = metrics_.firstByteHistograms();
        FrontendStatus status;
        status.members = listEntriesForCaller(node_, 0);
        status.isServing = isServing(node_, now);
        handlers_.sendToOperators(ReadinessStatus{status.isServing});
        handlers_.sendToFrontend(std::move(status));
        sendPeerAddresses();
    }

    void sendPeerAddresses()
    {
        for (const auto &[entry, member] : node_.membership.members) {
            std::string &sentAddress = sentPeerAddresses_[entry];
            if (sentAddress == member.info.peerAddress)
                continue;
            sentAddress = member.info.peerAddress;
            handlers_.sendToPeers(PeerAddress{entry, sentAddress});
        }
    }

    void dispatchInput(NodeThreadInput &&input)
    {
        const TimePoint now = RuntimeClock::now();
        NodeOutput out;
        std::visit([&](auto &value) { handleInput(std::move(value), now, out); }, input);
        sendOutput(out);
    }

    void handleInput(ReceivedPeerMessage &&received, TimePoint now, NodeOutput &out)
    {
        handlePeerMessage(node_, received.from, received.message, now, out);
    }

    void handleInput(ReceivedGossip &&received, TimePoint now, NodeOutput &out)
    {
        handleGossip(node_, received.message, received.sender, now, out);
        sendPeerAddresses();
    }

    void handleInput(LogSynced &&synced, TimePoint now, NodeOutput &out)
    {
        for (const RaftMessage &message : synced.messages)
            addRaftMessage(message, out);
        handleDiskSynced(node_, synced.index, synced.term, now, out);
    }

    void addRaftMessage(const RaftMessage &message, NodeOutput &out)
    {
        for (const Seat &seat : node_.seat->raft.seats) {
            if (seat.id == message.to)
                out.peers.emplace_back(seat.entry, message);
        }
    }

    void handleInput(SubmitRequest &&request, TimePoint now, NodeOutput &out)
    {
        handleSubmitRequest(node_, std::move(request), now, out);
    }

    void handleInput(CallerDisconnected &&disconnected, TimePoint now, NodeOutput &out)
    {
        handleCallerGone(node_, disconnected.id, now, out);
    }

    void handleInput(AttemptEnd &&end, TimePoint now, NodeOutput &out)
    {
        if (end.result == AttemptResult::Lost)
            logEvent(Event::RequestLost,
                     {{"request", toString(end.id)}, {"reason", toString(end.reason)}});
        handleAttemptEnd(node_, end, now, out);
    }

    void handleInput(TokenProgress &&progress, TimePoint, NodeOutput &)
    {
        metrics_.incrementCounter("trefoil_relayed_tokens_total", {},
                                  static_cast<double>(progress.tokens));
        recordProgress(node_, progress.id, progress.tokens);
    }

    void handleInput(RequestLatencies &&latencies, TimePoint, NodeOutput &)
    {
        if (latencies.hasFirstByte)
            metrics_.recordFirstByteTime(latencies.workspace, latencies.requestClass,
                                         latencies.firstByte);
        metrics_.recordTotalTime(latencies.workspace, latencies.requestClass, latencies.total);
    }

    void handleInput(VmAnnounceRequest &&request, TimePoint now, NodeOutput &out)
    {
        handleVmAnnouncement(node_, std::move(request), now, out);
    }

    void handleInput(VmHeartbeat &&heartbeat, TimePoint now, NodeOutput &out)
    {
        handleHeartbeat(node_, std::move(heartbeat), now, out);
    }

    void handleInput(VmLeaveRequest &&request, TimePoint now, NodeOutput &out)
    {
        handleVmLeave(node_, request, now, out);
    }

    void handleInput(EngineOrderResult &&orderResult, TimePoint now, NodeOutput &out)
    {
        handleOrderResult(node_, orderResult, now, out);
    }

    void handleInput(OperatorRequest &&request, TimePoint now, NodeOutput &out)
    {
        handleOperatorRequest(node_, request, now, out);
    }

    void handleInput(MetricsRequest &&request, TimePoint now, NodeOutput &)
    {
        updateGauges(now);
        handlers_.sendToOperators(MetricsReply{request.session, metrics_.prometheusText()});
    }

    void handleInput(DrainRequest &&, TimePoint now, NodeOutput &out)
    {
        startDraining(node_, now, out);
    }

    void updateGauges(TimePoint now)
    {
        metrics_.setGauge("trefoil_serving", {}, isServing(node_, now) ? 1 : 0);
        metrics_.setGauge("trefoil_configuration_version", {},
                          static_cast<double>(node_.feed.config.version));
        metrics_.setGauge("trefoil_members", {},
                          static_cast<double>(node_.membership.members.size() + 1));
        metrics_.setGauge("trefoil_running_requests", {},
                          static_cast<double>(node_.dispatch.running.size()));
        const bool isLeader = node_.seat && isActingLeader(*node_.seat, now);
        metrics_.setGauge("trefoil_leader", {}, isLeader ? 1 : 0);
        for (const auto &[id, pool] : node_.dispatch.pools)
            metrics_.setGauge("trefoil_queued_requests", "pool=\"" + id + "\"",
                              static_cast<double>(pool.queue.queuedCount));
        for (const auto &[id, counters] : node_.counters)
            setOutcomeGauges(id, counters);
        for (const auto &[id, account] : node_.leader.downtime) {
            const std::string labels = "deployment=\"" + id + "\"";
            metrics_.setGauge("trefoil_group_downtime_minutes", labels, account.groupDownMinutes);
            metrics_.setGauge("trefoil_stranded_accelerator_minutes", labels,
                              account.strandedAcceleratorMinutes);
        }
    }

    void setOutcomeGauges(const WorkspaceId &workspace, const WorkspaceCounters &counters)
    {
        const auto set = [&](Outcome outcome, std::uint64_t value) {
            metrics_.setGauge("trefoil_requests",
                              "workspace=\"" + workspace + "\",outcome=\"" + toString(outcome)
                                      + "\"",
                              static_cast<double>(value));
        };
        set(Outcome::Done, counters.done);
        set(Outcome::NotRun, counters.notRun);
        set(Outcome::Unknown, counters.unknown);
        set(Outcome::Failed, counters.failed);
    }

    void sendOutput(NodeOutput &out)
    {
        for (const NodeEvent &event : out.events)
            logNodeEvent(event);
        for (SeatDiskWork &work : out.disk)
            requirePushed(handlers_.writeToDisk(std::move(work)), "disk");
        for (GossipSend &gossip : out.gossip)
            requirePushed(handlers_.sendToPeers(std::move(gossip)), "peers");
        for (auto &[entry, message] : out.peers)
            requirePushed(handlers_.sendToPeers(PeerSend{entry, std::move(message)}), "peers");
        for (const auto &[session, id] : out.admittedRequests)
            requirePushed(handlers_.sendToFrontend(SessionAdmitted{session, id}), "front");
        for (StartAttempt &start : out.start)
            requirePushed(handlers_.sendToFrontend(std::move(start)), "front");
        for (const RequestId &id : out.attemptsToCancel)
            requirePushed(handlers_.sendToFrontend(CancelAttempt{id}), "front");
        for (auto &[entry, report] : out.lostAttempts)
            requirePushed(handlers_.sendToFrontend(RelayMessage{entry, std::move(report)}),
                          "front");
        for (SessionAnswer &answer : out.answers)
            requirePushed(handlers_.sendToFrontend(std::move(answer)), "front");
        for (EndpointReply &reply : out.endpointReplies)
            requirePushed(handlers_.sendToFrontend(std::move(reply)), "front");
        for (EngineOrder &order : out.engineOrders)
            requirePushed(handlers_.sendToFrontend(std::move(order)), "front");
        for (OperatorReply &reply : out.operatorReplies)
            requirePushed(handlers_.sendToOperators(std::move(reply)), "operators");
    }

    // Ends the process when a queue is full. The queues hold more messages than all requests in
    // progress can produce, so a full queue means that a thread hangs and that outcomes could be
    // lost.
    static void requirePushed(bool isPushed, const char *queue)
    {
        if (!isPushed)
            logFatal(Event::RingFull, {{"ring", queue}});
    }

    static void logNodeEvent(const NodeEvent &event)
    {
        switch (event.kind) {
        case NodeEventKind::MemberChanged:
            logEvent(Event::MemberChanged, {{"entry", event.subject}, {"status", event.detail}});
            break;
        case NodeEventKind::BecameLeader:
            logEvent(Event::LeaderElected, {{"entry", event.subject}, {"term", event.detail}});
            break;
        case NodeEventKind::LostLeadership:
            logEvent(Event::LeaderLost, {{"entry", event.subject}});
            break;
        case NodeEventKind::BecameStale:
            logEvent(Event::ConfigurationStale, {{"version", event.detail}});
            break;
        case NodeEventKind::BecameFresh:
            logEvent(Event::ConfigurationFresh, {{"version", event.detail}});
            break;
        case NodeEventKind::GateChanged:
            logEvent(Event::GateChanged, {{"group", event.subject}, {"gate", event.detail}});
            break;
        case NodeEventKind::Planned:
            logEvent(Event::ChangePlanned, {{"why", event.subject}, {"command", event.detail}});
            break;
        case NodeEventKind::OrderRefused:
            logEvent(Event::OrderRefused, {{"vm", event.subject}, {"group", event.detail}});
            break;
        case NodeEventKind::Paused:
            logEvent(Event::Paused, {{"entry", event.subject}});
            break;
        case NodeEventKind::VmSilent:
            logEvent(Event::VmSilent, {{"vm", event.subject}});
            break;
        }
    }

    NodeThreadHandlers handlers_;
    EventLoopThread thread_;
    RuntimeTimer timer_;
    NodeState node_;
    Metrics metrics_;
    TimePoint nextStatusAt_{};
    bool isDrainReported_ = false;
    std::map<EntryId, std::string> sentPeerAddresses_;
    Inbox<NodeThreadInput> inbox_;
};

NodeThread::NodeThread(const Settings &settings, std::optional<ControlSeatState> seat,
                       NodeThreadHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(seat), std::move(handlers)))
{}

NodeThread::~NodeThread() = default;

bool NodeThread::tryPush(NodeThreadInput input)
{
    return impl_->tryPush(std::move(input));
}

void NodeThread::start()
{
    impl_->start();
}

void NodeThread::stop()
{
    impl_->stop();
}

} // namespace Trefoil
