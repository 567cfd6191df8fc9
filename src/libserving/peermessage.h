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

// Messages between entries over TCP. Times travel as durations, never as clock readings.

namespace Trefoil {

// First message on a connection.
struct Hello
{
    EntryId entry;
    std::uint64_t incarnation = 0;
};

// Asks a seat to put a command into the log.
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
    EntryId leaderHint; // when isLeader is false; may be empty
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

struct DispatchCall
{
    DispatchRequest request;
    std::uint64_t process = 0;     // of the dispatcher that is meant; a later process ignores it
    std::uint64_t remainingMs = 0; // until the deadline
};

struct DispatchCancelCall
{
    RequestId id;
};

// Asks a dispatcher about requests whose report may have been lost with a connection. Attempts that
// it does not know are from then on refused, so that the answer "not started" stays true.
struct DispatchCheck
{
    std::uint64_t process = 0; // of the dispatcher that was asked; a later process cannot answer
    std::vector<AttemptId> attempts;
};

// Start of an answer that is relayed to the origin.
struct AnswerHead
{
    RequestId id;
    std::uint32_t attempt = 0;
    std::uint32_t status = 0;
    std::string contentType;
};

struct AnswerData
{
    RequestId id;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0; // of the first byte within the attempt, to detect lost messages
    std::string bytes;
};

// Allows the dispatcher to relay as many more bytes.
struct AnswerCredit
{
    RequestId id;
    std::uint64_t bytes = 0;
};

struct AttemptReportCall
{
    AttemptReport report;
};

// Tells the control leader what an entry knows of the VMs that report to it.
struct WatchReport
{
    std::vector<VmReport> reports;
    std::vector<VmId> silent;        // VMs that stopped reporting to the sender
    std::vector<GroupId> idleGroups; // draining groups of the sender without requests
};

// Tells every entry that a VM is leaving, ahead of the configuration change.
struct LeavingNotice
{
    VmId vm;
    std::uint64_t incarnation = 0;
};

// Tells the next dispatcher of a group that this entry starts nothing on it any more.
struct GroupReleased
{
    GroupId group = 0;
    ConfigVersion dispatcherSince = 0; // assignment that the release answers
};

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

// Work that a dispatcher did since its last digest, for fair shares over the whole fleet.
struct WorkDigest
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
                     LeavingNotice, GroupReleased, QueryCall, QueryReply, WorkDigest>;

// Decoding throws std::exception on bytes that are not an encoding of the type.
std::string encodePeerMessage(const PeerMessage &message);
PeerMessage decodePeerMessage(std::string_view bytes);

std::string encodeGossip(const GossipMessage &message);
GossipMessage decodeGossip(std::string_view bytes);

std::string encodeProposal(const Proposal &proposal);
Proposal decodeProposal(std::string_view bytes);

// Tells from an encoded proposal whether its command changes the configuration.
bool isConfigurationProposal(std::string_view bytes);

std::string encodeConfiguration(const Configuration &config);
Configuration decodeConfiguration(std::string_view bytes);

std::string encodeControlState(const ControlState &state);
ControlState decodeControlState(std::string_view bytes);

} // namespace Trefoil
