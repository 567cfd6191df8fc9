#include "trefoilrund/callersession.h"

namespace Trefoil {

namespace {

constexpr std::string_view EventEnd = "\n\n";

std::uint64_t countEvents(std::string_view bytes)
{
    std::uint64_t count = 0;
    for (std::size_t at = bytes.find(EventEnd); at != std::string_view::npos;
         at = bytes.find(EventEnd, at + EventEnd.size()))
        ++count;
    return count;
}

} // namespace

bool acceptRelayHead(CallerSession &session, const EntryId &from, const AnswerHead &head)
{
    if (head.attempt <= session.relayAttempt)
        return false;
    session.relayAttempt = head.attempt;
    session.relayBytes = 0;
    session.relayEvents = 0;
    session.relayBroken = false;
    session.relayFrom = from;
    session.creditOwed = 0;
    return true;
}

bool acceptRelayData(CallerSession &session, const AnswerData &data)
{
    if (data.attempt != session.relayAttempt || session.relayBroken)
        return false;
    if (data.offset != session.relayBytes) {
        session.relayBroken = true;
        return false;
    }
    session.relayBytes += data.bytes.size();
    session.relayEvents += countEvents(data.bytes);
    return true;
}

void correctReport(const CallerSession &session, AttemptReport &report)
{
    const bool relayed = session.relayAttempt == report.attempt;
    const std::uint64_t bytes = relayed ? session.relayBytes : 0;
    if (report.relayedBytes != bytes && report.result == AttemptResult::Completed) {
        report.result = AttemptResult::Lost;
        report.reason = Reason::ConnectionLost;
    }
    report.relayedEvents = relayed ? session.relayEvents : 0;
}

} // namespace Trefoil
