#pragma once

#include "libfleet/serviceconfiguration.h"

// Prediction of a serving group's timing from the published engine parameters.

namespace Trefoil {

// Work that a group holds.
struct GroupLoad
{
    double sequences = 0;          // requests that run or wait
    double unreadPromptTokens = 0; // of requests without a first token
};

struct RequestSize
{
    double promptTokens = 0;
    double answerTokens = 0;
};

struct TimingEstimate
{
    Duration firstEvent{}; // from the handover of the request
    bool waitsForSlot = false;
    Duration eventGap{}; // between two events once it runs
    Duration total{};
};

// Time of one pass in milliseconds with `sequences` writers, without reading.
double passMs(const EngineProfile &engine, const ModelProfile &model, double sequences);

// Time to read a prompt in milliseconds.
double readMs(const EngineProfile &engine, const ModelProfile &model, double promptTokens);

// Timing of one more request at a group with this load.
TimingEstimate estimateTiming(const EngineProfile &engine, const ModelProfile &model,
                              const GroupLoad &load, const RequestSize &request);

// Constant part of the time to a first event that the published parameters leave out: the engine's
// own work at the start of a request and the way there. Follows a low quantile of what is observed
// beyond the prediction, so that single stalls do not raise it.
struct FirstEventOverhead
{
    double ms = 0;
};

void noteFirstEvent(FirstEventOverhead &overhead, const TimingEstimate &estimate,
                    Duration observed);

} // namespace Trefoil
