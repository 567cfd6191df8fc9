#pragma once

#include "libruntime/runtime.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// Messages that the daemon's threads pass to each other through bounded queues.

namespace Trefoil {

// Input of the node thread.

// A message that another entry sent over TCP.
struct ReceivedPeerMessage
{
    EntryId from;
    PeerMessage message;
};

// A membership datagram.
struct ReceivedGossip
{
    std::string sender; // IP:port
    GossipMessage message;
};

// Reports that the Raft log is durable up to `index`, so that `messages` may now be sent.
struct LogSynced
{
    LogIndex index = 0;
    Term term = 0;
    std::vector<RaftMessage> messages;
};

// The caller closed its connection before its request ended.
struct CallerDisconnected
{
    RequestId id;
};

// Tokens relayed to the caller since the last report.
struct TokenProgress
{
    RequestId id;
    std::uint64_t tokens = 0;
};

// Latencies of an answered request, measured from its arrival.
struct RequestLatencies
{
    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    Duration firstByte{};
    Duration total{};
    bool hasFirstByte = false;
};

// Asks for the metrics in Prometheus text format.
struct MetricsRequest
{
    std::uint64_t session = 0;
};

// Starts a planned stop.
struct DrainRequest
{};

using NodeThreadInput =
        std::variant<ReceivedPeerMessage, ReceivedGossip, LogSynced, SubmitRequest,
                     CallerDisconnected, AttemptEnd, TokenProgress, RequestLatencies,
                     VmAnnounceRequest, VmHeartbeat, VmLeaveRequest, EngineOrderResult,
                     OperatorRequest, MetricsRequest, DrainRequest>;

// Input of the frontend thread.

// Tells the frontend thread the identifier of the request of a session.
struct SessionAdmitted
{
    std::uint64_t session = 0;
    RequestId id;
};

struct CancelAttempt
{
    RequestId id;
};

// Entries that callers may use, and whether this one serves requests.
struct FrontendStatus
{
    std::vector<Member> members;
    bool isServing = false;
};

// Part of a response that another entry relays to this one, or credit from the other entry for a
// response that this entry relays to it.
struct RelayMessage
{
    EntryId from;
    std::variant<AnswerHead, AnswerData, AnswerCredit, AttemptReport> part;
};

using FrontendThreadInput =
        std::variant<SessionAdmitted, SessionAnswer, StartAttempt, CancelAttempt, EndpointReply,
                     EngineOrder, FrontendStatus, RelayMessage>;

// Input of the peer thread.

struct PeerSend
{
    EntryId to;
    PeerMessage message;
};

// TCP address of an entry. It is sent before the first message to that entry.
struct PeerAddress
{
    EntryId entry;
    std::string address;
};

using PeerThreadInput = std::variant<PeerSend, GossipSend, PeerAddress>;

// Input of the operator thread.

struct MetricsReply
{
    std::uint64_t session = 0;
    std::string text;
};

struct ReadinessStatus
{
    bool isServing = false;
};

using OperatorThreadInput = std::variant<OperatorReply, MetricsReply, ReadinessStatus>;

} // namespace Trefoil
