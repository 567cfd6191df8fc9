#include "libfleet/requestevidence.h"

namespace Trefoil {

namespace {

constexpr std::uint32_t BadGateway = 502;

} // namespace

std::optional<EndpointRefusal> readRefusal(const AnswerFacts &answer)
{
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    const bool isRefused =
            answer.saysNotExecuted
            || answer.status == static_cast<std::uint32_t>(NotRunStatus::MisdirectedRequest);
    if (isSuccess || !isRefused || !answer.isToThisRequest)
        return std::nullopt;
    return EndpointRefusal();
}

std::optional<NotRunProof> SendLog::proveNotRun() const
{
    if (refused_ < sent_)
        return std::nullopt;
    return NotRunProof();
}

bool isNotRunStatus(std::uint32_t status)
{
    switch (static_cast<NotRunStatus>(status)) {
    case NotRunStatus::RequestTimeout:
    case NotRunStatus::MisdirectedRequest:
    case NotRunStatus::TooManyRequests:
    case NotRunStatus::ServiceUnavailable:
        return true;
    }
    return false;
}

ErrorStatus::ErrorStatus(std::uint32_t status)
    : value_(isNotRunStatus(status) ? BadGateway : status)
{}

ErrorStatus::ErrorStatus(NotRunStatus status, const NotRunProof & /*proof*/)
    : value_(static_cast<std::uint32_t>(status))
{}

ErrorStatus promiseIfProven(NotRunStatus status, const SendLog &sends, std::uint32_t otherwise)
{
    const auto proof = sends.proveNotRun();
    return proof ? ErrorStatus(status, *proof) : ErrorStatus(otherwise);
}

} // namespace Trefoil
