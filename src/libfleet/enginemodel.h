#pragma once

#include "libfleet/serviceconfiguration.h"

// Predicts the timing of a serving group from the published engine parameters.

namespace Trefoil {

// Work that a group has accepted and not finished.
struct GroupLoad
{
    double sequences = 0;           // running and waiting requests
    double pendingPromptTokens = 0; // prompt tokens of requests without a first answer token
};

struct RequestSize
{
    double promptTokens = 0;
    double outputTokens = 0;
};

struct TimingEstimate
{
    Duration firstEvent{};     // after the request was sent
    bool waitsForSlot = false; // all slots of the group are in use
    Duration eventGap{};       // between two events of the running request
    Duration total{};          // until the last event
};

// Returns the time of one decoding pass in milliseconds with `sequences` running requests and no
// prefill.
double decodePassMs(const EngineProfile &engine, const ModelProfile &model, double sequences);

// Returns the time in milliseconds to prefill a prompt.
double prefillMs(const EngineProfile &engine, const ModelProfile &model, double promptTokens);

// Estimates the timing of one more request at a group with this load.
TimingEstimate estimateTiming(const EngineProfile &engine, const ModelProfile &model,
                              const GroupLoad &load, const RequestSize &request);

// Constant part of the time to the first event that the published parameters leave out: the start
// of a request in the engine and the network latency. It follows a low quantile of the difference
// between observation and prediction, so that single stalls do not raise it.
struct FirstEventOverhead
{
    double ms = 0;
};

// Adjusts the overhead by the observed time to a first event.
void recordFirstEvent(FirstEventOverhead &overhead, const TimingEstimate &estimate,
                      Duration observed);

} // namespace Trefoil
