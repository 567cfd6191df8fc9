#include "trefoilrund/decisionduty.h"

#include "libruntime/signal.h"

#include <boost/asio/io_context.hpp>

namespace Trefoil {

namespace {

constexpr std::size_t InboxCapacity = 262'144;
// New requests are refused above this fill, so that the ring always has room for what ends them.
constexpr std::size_t SubmitCapacity = InboxCapacity / 2;
constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr auto StatusInterval = std::chrono::milliseconds(200);

} // namespace

class DecisionDuty::Impl
{
public:
    Impl(const Settings &settings, std::optional<ControlSeatState> seat,
         DecisionDutyHandlers handlers)
        : handlers_(std::move(handlers))
        , duty_("decisions")
        , timer_(duty_.context())
        , node_(makeNode(settings.node, std::move(seat), RuntimeClock::now()))
        , inbox_(duty_, InboxCapacity, [this](DecisionInput &&input) { receive(std::move(input)); })
    {}

    bool tryPush(DecisionInput input)
    {
        if (std::holds_alternative<SubmitRequest>(input) && inbox_.size() >= SubmitCapacity)
            return false;
        return inbox_.tryPush(std::move(input));
    }

    void start()
    {
        scheduleTick();
        duty_.start();
    }

    void stop() { duty_.stop(); }

private:
    void scheduleTick()
    {
        timer_.expires_after(TickInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            tick();
            scheduleTick();
        });
    }

    void tick()
    {
        const TimePoint now = RuntimeClock::now();
        NodeOutput out;
        nodeTick(node_, now, out);
        apply(out);
        if (now >= nextStatus_) {
            nextStatus_ = now + StatusInterval;
            publishStatus(now);
        }
        if (!isDrainReported_ && isDrained(node_, now)) {
            isDrainReported_ = true;
            NodeOutput leaving;
            nodeLeft(node_, now, leaving);
            apply(leaving);
            handlers_.drained();
        }
    }

    void publishStatus(TimePoint now)
    {
        node_.waits = metrics_.firstByteHistograms();
        FrontStatus status;
        status.members = callerAddresses(node_, 0);
        status.isServing = isServing(node_, now);
        handlers_.operators(OperatorStatus{status.isServing});
        handlers_.front(std::move(status));
        publishAddresses();
    }

    void publishAddresses()
    {
        for (const auto &[entry, member] : node_.membership.members) {
            std::string &known = addresses_[entry];
            if (known == member.info.peerAddress)
                continue;
            known = member.info.peerAddress;
            handlers_.peers(PeerAddress{entry, known});
        }
    }

    void receive(DecisionInput &&input)
    {
        const TimePoint now = RuntimeClock::now();
        NodeOutput out;
        std::visit([&](auto &value) { on(std::move(value), now, out); }, input);
        apply(out);
    }

    void on(PeerInput &&input, TimePoint now, NodeOutput &out)
    {
        nodePeerMessage(node_, input.from, input.message, now, out);
    }

    void on(GossipInput &&input, TimePoint now, NodeOutput &out)
    {
        nodeGossip(node_, input.message, input.sender, now, out);
        publishAddresses();
    }

    void on(DiskSynced &&synced, TimePoint now, NodeOutput &out)
    {
        for (const RaftMessage &message : synced.send)
            sendRaft(message, out);
        nodeDiskSynced(node_, synced.index, synced.term, now, out);
    }

    void sendRaft(const RaftMessage &message, NodeOutput &out)
    {
        for (const Seat &seat : node_.seat->raft.seats) {
            if (seat.id == message.to)
                out.peers.emplace_back(seat.entry, message);
        }
    }

    void on(SubmitRequest &&submit, TimePoint now, NodeOutput &out)
    {
        nodeSubmit(node_, std::move(submit), now, out);
    }

    void on(CallerGone &&gone, TimePoint now, NodeOutput &out)
    {
        nodeCallerGone(node_, gone.id, now, out);
    }

    void on(AttemptEnd &&end, TimePoint now, NodeOutput &out)
    {
        if (end.result == AttemptResult::Lost)
            logEvent(Event::RequestLost,
                     {{"request", toString(end.id)}, {"reason", toString(end.reason)}});
        nodeAttemptEnd(node_, end, now, out);
    }

    void on(TokenProgress &&progress, TimePoint, NodeOutput &)
    {
        metrics_.addCount("trefoil_relayed_tokens_total", {}, static_cast<double>(progress.tokens));
        nodeProgress(node_, progress.id, progress.tokens);
    }

    void on(RequestTimes &&times, TimePoint, NodeOutput &)
    {
        if (times.hasFirstByte)
            metrics_.addFirstByte(times.workspace, times.requestClass, times.firstByte);
        metrics_.addTotal(times.workspace, times.requestClass, times.total);
    }

    void on(AnnounceRequest &&request, TimePoint now, NodeOutput &out)
    {
        nodeAnnounce(node_, std::move(request), now, out);
    }

    void on(Heartbeat &&heartbeat, TimePoint now, NodeOutput &out)
    {
        nodeHeartbeat(node_, std::move(heartbeat), now, out);
    }

    void on(LeaveRequest &&request, TimePoint now, NodeOutput &out)
    {
        nodeLeave(node_, request, now, out);
    }

    void on(EngineOrderEnd &&end, TimePoint now, NodeOutput &out)
    {
        nodeOrderEnd(node_, end, now, out);
    }

    void on(OperatorRequest &&request, TimePoint now, NodeOutput &out)
    {
        nodeOperator(node_, request, now, out);
    }

    void on(MetricsRequest &&request, TimePoint now, NodeOutput &)
    {
        updateGauges(now);
        handlers_.operators(MetricsReply{request.session, metrics_.prometheusText()});
    }

    void on(StopRequest &&, TimePoint now, NodeOutput &out) { nodeDrain(node_, now, out); }

    void updateGauges(TimePoint now)
    {
        metrics_.setGauge("trefoil_serving", {}, isServing(node_, now) ? 1 : 0);
        metrics_.setGauge("trefoil_configuration_version", {},
                          static_cast<double>(node_.feed.config.version));
        metrics_.setGauge("trefoil_members", {},
                          static_cast<double>(node_.membership.members.size() + 1));
        metrics_.setGauge("trefoil_running_requests", {},
                          static_cast<double>(node_.dispatch.running.size()));
        const bool leads = node_.seat && isActingLeader(*node_.seat, now);
        metrics_.setGauge("trefoil_leader", {}, leads ? 1 : 0);
        for (const auto &[id, pool] : node_.dispatch.pools)
            metrics_.setGauge("trefoil_queued_requests", "pool=\"" + id + "\"",
                              static_cast<double>(pool.queue.queuedCount));
        for (const auto &[id, counters] : node_.counters)
            setOutcomes(id, counters);
        for (const auto &[id, account] : node_.leader.downtime) {
            const std::string labels = "deployment=\"" + id + "\"";
            metrics_.setGauge("trefoil_group_downtime_minutes", labels, account.downMinutes);
            metrics_.setGauge("trefoil_stranded_accelerator_minutes", labels,
                              account.strandedMinutes);
        }
    }

    void setOutcomes(const WorkspaceId &workspace, const WorkspaceCounters &counters)
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

    void apply(NodeOutput &out)
    {
        for (const NodeEvent &event : out.events)
            log(event);
        for (SeatDiskWork &work : out.disk)
            push(handlers_.disk(std::move(work)), "disk");
        for (GossipSend &gossip : out.gossip)
            push(handlers_.peers(std::move(gossip)), "peers");
        for (auto &[entry, message] : out.peers)
            push(handlers_.peers(PeerSend{entry, std::move(message)}), "peers");
        for (const auto &[session, id] : out.admitted)
            push(handlers_.front(SessionAdmitted{session, id}), "front");
        for (StartAttempt &start : out.start)
            push(handlers_.front(std::move(start)), "front");
        for (const RequestId &id : out.cancelAttempts)
            push(handlers_.front(CancelAttempt{id}), "front");
        for (auto &[entry, report] : out.lostAttempts)
            push(handlers_.front(RelayInput{entry, std::move(report)}), "front");
        for (SessionAnswer &answer : out.answers)
            push(handlers_.front(std::move(answer)), "front");
        for (EndpointReply &reply : out.endpointReplies)
            push(handlers_.front(std::move(reply)), "front");
        for (EngineOrder &order : out.orders)
            push(handlers_.front(std::move(order)), "front");
        for (OperatorReply &reply : out.operatorReplies)
            push(handlers_.operators(std::move(reply)), "operators");
    }

    // The rings hold more than all requests in progress can put into them. One that is full all the
    // same means a duty hangs, and outcomes could be lost.
    static void push(bool accepted, const char *ring)
    {
        if (!accepted)
            logFatal(Event::RingFull, {{"ring", ring}});
    }

    static void log(const NodeEvent &event)
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

    DecisionDutyHandlers handlers_;
    Duty duty_;
    RuntimeTimer timer_;
    NodeState node_;
    Metrics metrics_;
    TimePoint nextStatus_{};
    bool isDrainReported_ = false;
    std::map<EntryId, std::string> addresses_;
    Inbox<DecisionInput> inbox_;
};

DecisionDuty::DecisionDuty(const Settings &settings, std::optional<ControlSeatState> seat,
                           DecisionDutyHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(seat), std::move(handlers)))
{}

DecisionDuty::~DecisionDuty() = default;

bool DecisionDuty::tryPush(DecisionInput input)
{
    return impl_->tryPush(std::move(input));
}

void DecisionDuty::start()
{
    impl_->start();
}

void DecisionDuty::stop()
{
    impl_->stop();
}

} // namespace Trefoil
