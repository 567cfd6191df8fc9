#pragma once

#include "libserving/controlstate.h"
#include "libserving/dispatch.h"
#include "libserving/feed.h"
#include "libserving/gate.h"
#include "libserving/query.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Messages between entries over TCP. Times are sent as durations, never as clock readings. The
// field `call` of a reply repeats that of the request that it answers.

namespace Trefoil {

// Identifies the sender. It is the first message on a connection.
struct Hello
{
    EntryId entry;
    std::uint64_t incarnation = 0;
};

// Asks a seat to append a command or a seat change to the log.
struct ProposeCall
{
    std::uint64_t call = 0;
    Proposal proposal;
    std::optional<EntryId> addSeat;
    std::optional<SeatId> removeSeat;
};

struct ProposeReply
{
    std::uint64_t call = 0;
    bool isLeader = false;
    // The presumed leader when isLeader is false. It may be empty.
    EntryId leaderHint;
    CommandReply reply;
};

// Asks for the identity of the seat that an entry holds.
struct SeatQuery
{
    std::uint64_t call = 0;
};

struct SeatReply
{
    std::uint64_t call = 0;
    SeatId seat = NoSeat;
};

// Sends an attempt from its origin to a dispatcher.
struct DispatchCall
{
    DispatchRequest request;
    // The incarnation of the dispatcher's process. A later process ignores the call.
    std::uint64_t process = 0;
    // The time until the deadline.
    std::uint64_t remainingMs = 0;
};

struct DispatchCancelCall
{
    RequestId id;
};

// Asks a dispatcher about requests whose report may have been lost with a connection. The
// dispatcher refuses unknown attempts from then on, so that its answer "not started" stays true.
struct DispatchCheck
{
    // The incarnation of the dispatcher's process. A later process cannot answer.
    std::uint64_t process = 0;
    std::vector<AttemptId> attempts;
};

// Starts an answer that the dispatcher relays to the origin.
struct AnswerHead
{
    RequestId id;
    std::uint32_t attempt = 0;
    std::uint32_t status = 0;
    std::string contentType;
};

// A part of a relayed answer.
struct AnswerData
{
    RequestId id;
    std::uint32_t attempt = 0;
    // The offset of the first byte within the attempt, to detect lost messages.
    std::uint64_t offset = 0;
    std::string bytes;
};

// Allows the dispatcher to relay the given number of further bytes. It is the flow control of
// relayed answers.
struct AnswerCredit
{
    RequestId id;
    std::uint64_t bytes = 0;
};

struct AttemptReportCall
{
    AttemptReport report;
};

// Sends the heartbeats that an entry received from VMs to the control leader.
struct WatchReport
{
    std::vector<VmReport> reports;
    // The VMs that stopped sending heartbeats to the entry.
    std::vector<VmId> silent;
    // The draining groups that the entry dispatches and that have no running requests.
    std::vector<GroupId> idleGroups;
};

// Tells every entry that a VM is leaving, before the configuration changes.
struct LeavingNotice
{
    VmId vm;
    std::uint64_t incarnation = 0;
};

// Tells the next dispatcher of a group that the sender starts no more requests on it.
struct GroupReleased
{
    GroupId group = 0;
    // The version that assigned the next dispatcher.
    ConfigVersion dispatcherSince = 0;
};

// Asks an entry for its partial result of a query.
struct QueryCall
{
    std::uint64_t call = 0;
    ShowQuery query;
};

struct QueryReply
{
    std::uint64_t call = 0;
    std::vector<Row> rows;
};

// Reports the work that a dispatcher charged since its last report. Other dispatchers of the pool
// charge it to the workspaces too, so that shares are fair over all dispatchers.
struct WorkReport
{
    struct Item
    {
        std::string pool;
        WorkspaceId workspace;
        double work = 0;
    };
    std::vector<Item> items;
};

using PeerMessage =
        std::variant<Hello, RaftMessage, ProposeCall, ProposeReply, SeatQuery, SeatReply,
                     FeedRequest, FeedReply, DispatchCall, DispatchCancelCall, DispatchCheck,
                     AnswerHead, AnswerData, AnswerCredit, AttemptReportCall, WatchReport,
                     LeavingNotice, GroupReleased, QueryCall, QueryReply, WorkReport>;

// The decode functions throw std::exception on bytes that do not encode the type.
std::string encodePeerMessage(const PeerMessage &message);
PeerMessage decodePeerMessage(std::string_view bytes);

std::string encodeGossip(const GossipMessage &message);
GossipMessage decodeGossip(std::string_view bytes);

std::string encodeProposal(const Proposal &proposal);
Proposal decodeProposal(std::string_view bytes);

// Returns true when the command of an encoded proposal changes the configuration.
bool isConfigurationProposal(std::string_view bytes);

// Returns true when the command of an encoded proposal records departures.
bool isDepartureProposal(std::string_view bytes);

std::string encodeConfiguration(const Configuration &config);
Configuration decodeConfiguration(std::string_view bytes);

std::string encodeControlState(const ControlState &state);
ControlState decodeControlState(std::string_view bytes);

} // namespace Trefoil
