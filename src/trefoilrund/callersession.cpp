#include "trefoilrund/callersession.h"

namespace Trefoil {

namespace {

constexpr std::string_view EventTerminator = "\n\n";

std::uint64_t countEvents(std::string_view bytes)
{
    std::uint64_t count = 0;
    for (std::size_t position = bytes.find(EventTerminator); position != std::string_view::npos;
         position = bytes.find(EventTerminator, position + EventTerminator.size()))
        ++count;
    return count;
}

} // namespace

bool acceptRelayHead(CallerSession &session, const EntryId &from, const AnswerHead &head)
{
    if (head.attempt <= session.relayedAttempt)
        return false;
    session.relayedAttempt = head.attempt;
    session.relayedBytes = 0;
    session.relayedEventCount = 0;
    session.hasRelayGap = false;
    session.relayEntry = from;
    session.owedCreditBytes = 0;
    return true;
}

bool acceptRelayData(CallerSession &session, const AnswerData &data)
{
    if (data.attempt != session.relayedAttempt || session.hasRelayGap)
        return false;
    if (data.offset != session.relayedBytes) {
        session.hasRelayGap = true;
        return false;
    }
    session.relayedBytes += data.bytes.size();
    session.relayedEventCount += countEvents(data.bytes);
    return true;
}

void correctAttemptReport(const CallerSession &session, AttemptReport &report)
{
    const bool isRelayed = session.relayedAttempt == report.attempt;
    const std::uint64_t receivedBytes = isRelayed ? session.relayedBytes : 0;
    if (report.relayedBytes != receivedBytes && report.result == AttemptResult::Completed) {
        report.result = AttemptResult::Lost;
        report.reason = Reason::ConnectionLost;
    }
    report.relayedEvents = isRelayed ? session.relayedEventCount : 0;
}

} // namespace Trefoil
