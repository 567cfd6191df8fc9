#pragma once

#include "libruntime/signal.h"
#include "trefoilrund/messages.h"

#include <deque>
#include <optional>
#include <string>

namespace Trefoil {

// One request of a caller on its way through the front duty.
struct CallerSession
{
    CallerSession(const boost::asio::any_io_executor &executor, std::uint64_t number)
        : id(number)
        , changed(executor)
        , drained(executor)
    {}

    std::uint64_t id;
    AsyncCondition changed; // head, events, finish or a caller that is gone
    AsyncCondition drained; // events were taken
    std::optional<RequestId> request;
    std::optional<std::string> contentType; // of a relayed answer
    std::uint32_t status = 0;
    std::string events; // to be written to the caller
    std::optional<RequestFinish> finish;
    bool isGone = false;   // the caller closed its connection
    bool isClosed = false; // answered; its connection may be gone too

    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    TimePoint arrivedAt{};
    TimePoint firstByteAt{};

    // What another entry relayed of the current attempt.
    std::uint32_t relayAttempt = 0;
    std::uint64_t relayBytes = 0;
    std::uint64_t relayEvents = 0;
    bool relayBroken = false;
    EntryId relayFrom;
    std::uint64_t creditOwed =
            0; // bytes taken by the caller that the relaying entry may send again
};

constexpr std::size_t MaxSessionBytes = 256 * 1024; // events that wait for a slow caller

// Starts an attempt's relay, or checks that a part belongs to the current one.
bool acceptRelayHead(CallerSession &session, const EntryId &from, const AnswerHead &head);

// Adds relayed events. False when a part is missing; the rest of the attempt is then ignored.
bool acceptRelayData(CallerSession &session, const AnswerData &data);

// Corrects the report by what arrived here: an answer with a gap is not whole.
void correctReport(const CallerSession &session, AttemptReport &report);

} // namespace Trefoil
