#include "libfleet/stopplan.h"

#include <algorithm>

namespace Trefoil {

namespace {

// A planned stop ends this long before its maximum time.
constexpr auto StopMargin = std::chrono::milliseconds(500);

// Time to send final answers at the end of a stop, including that of a tick.
constexpr auto AnswerTime = std::chrono::milliseconds(250);

constexpr auto AcceptTime = std::chrono::seconds(4);

// A request is expected to last at most this many times as long as predicted.
constexpr int PredictionFactor = 2;

} // namespace

TimePoint endOfStop(const StopPlan &plan)
{
    return plan.startedAt + std::max(plan.maxTime - StopMargin, plan.maxTime / 2);
}

TimePoint lastAnswerAt(const StopPlan &plan)
{
    return std::max(endOfStop(plan) - AnswerTime, plan.startedAt);
}

bool takesRequests(const StopPlan &plan, TimePoint now)
{
    return now - plan.startedAt <= AcceptTime && now < lastAnswerAt(plan);
}

bool endsBeforeStop(const StopPlan &plan, const TimingEstimate &estimate, TimePoint deadline,
                    TimePoint now)
{
    const TimePoint end = lastAnswerAt(plan);
    return deadline <= end || now + PredictionFactor * estimate.total <= end;
}

} // namespace Trefoil
