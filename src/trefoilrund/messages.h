#pragma once

#include "libruntime/runtime.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// Messages on the rings between the duties of the daemon.

namespace Trefoil {

// To the decision duty.

struct PeerInput
{
    EntryId from;
    PeerMessage message;
};

struct GossipInput
{
    std::string sender; // IP:port
    GossipMessage message;
};

struct DiskSynced
{
    LogIndex index = 0;
    Term term = 0;
    std::vector<RaftMessage> send;
};

struct CallerGone
{
    RequestId id;
};

struct TokenProgress
{
    RequestId id;
    std::uint64_t tokens = 0;
};

// Times of an answered request.
struct RequestTimes
{
    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    Duration firstByte{};
    Duration total{};
    bool hasFirstByte = false;
};

struct MetricsRequest
{
    std::uint64_t session = 0;
};

struct StopRequest
{};

using DecisionInput =
        std::variant<PeerInput, GossipInput, DiskSynced, SubmitRequest, CallerGone, AttemptEnd,
                     TokenProgress, RequestTimes, VmAnnounceRequest, VmHeartbeat, VmLeaveRequest,
                     EngineOrderResult, OperatorRequest, MetricsRequest, StopRequest>;

// To the front duty, which serves callers and endpoints.

struct SessionAdmitted
{
    std::uint64_t session = 0;
    RequestId id;
};

struct CancelAttempt
{
    RequestId id;
};

// Entries that callers may use, and whether this one serves.
struct FrontStatus
{
    std::vector<Member> members;
    bool isServing = false;
};

// What another entry sends about an answer that it relays, or that is relayed to it.
struct RelayInput
{
    EntryId from;
    std::variant<AnswerHead, AnswerData, AnswerCredit, AttemptReport> part;
};

using FrontInput = std::variant<SessionAdmitted, SessionAnswer, StartAttempt, CancelAttempt,
                                EndpointReply, EngineOrder, FrontStatus, RelayInput>;

// To the peer duty.

struct PeerSend
{
    EntryId to;
    PeerMessage message;
};

// TCP address of an entry, ahead of the first message to it.
struct PeerAddress
{
    EntryId entry;
    std::string address;
};

using PeerOutput = std::variant<PeerSend, GossipSend, PeerAddress>;

// To the operator duty.

struct MetricsReply
{
    std::uint64_t session = 0;
    std::string text;
};

struct OperatorStatus
{
    bool isServing = false;
};

using OperatorOutput = std::variant<OperatorReply, MetricsReply, OperatorStatus>;

} // namespace Trefoil
