#pragma once

#include "libruntime/signal.h"
#include "trefoilrund/messages.h"

#include <deque>
#include <optional>
#include <string>

namespace Trefoil {

// One HTTP request of a caller while the frontend thread processes it.
struct CallerSession
{
    CallerSession(const boost::asio::any_io_executor &executor, std::uint64_t sessionId)
        : id(sessionId)
        , stateChanged(executor)
        , eventsTaken(executor)
    {}

    std::uint64_t id;

    // Notified when the response head, events, finish or isDisconnected change.
    AsyncCondition stateChanged;
    // Notified when the pending events have been taken to be written to the caller.
    AsyncCondition eventsTaken;

    std::optional<RequestId> requestId;
    // Head of a streamed response. The content type is set once the stream starts.
    std::optional<std::string> contentType;
    std::uint32_t status = 0;
    // Events that are not yet written to the caller.
    std::string pendingEvents;
    std::optional<RequestFinish> finish;
    // The caller closed its connection.
    bool isDisconnected = false;
    // The request is answered or abandoned. The connection may no longer exist.
    bool isClosed = false;

    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    TimePoint arrivedAt{};
    TimePoint firstByteAt{};

    // Progress of the current attempt if another entry relays its response.
    std::uint32_t relayedAttempt = 0;
    std::uint64_t relayedBytes = 0;
    std::uint64_t relayedEventCount = 0;
    bool hasRelayGap = false;
    EntryId relayEntry;
    // Bytes written to the caller for which the relaying entry has not received new credit yet.
    std::uint64_t owedCreditBytes = 0;
};

// Limit of the events that wait for a slow caller.
constexpr std::size_t MaxBufferedEventBytes = 256 * 1024;

// Starts the relay of a new attempt. Returns false for the head of the current or an older attempt.
bool acceptRelayHead(CallerSession &session, const EntryId &from, const AnswerHead &head);

// Counts relayed events and bytes. Returns false when data is missing; the rest of the attempt is
// then ignored.
bool acceptRelayData(CallerSession &session, const AnswerData &data);

// Corrects the report according to what this entry received. If bytes of the response are missing,
// an attempt reported as completed counts as lost.
void correctAttemptReport(const CallerSession &session, AttemptReport &report);

} // namespace Trefoil
