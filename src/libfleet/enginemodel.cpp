#include "libfleet/enginemodel.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

// The overhead rises by the increment after an observation above it and falls by the decrement
// after one below it. With this ratio, a quarter of the observations are below the overhead.
constexpr double OverheadIncrementMs = 3;
constexpr double OverheadDecrementMs = 9;
constexpr double MaxOverheadMs = 250;

// Each prompt token attends to all earlier ones, so n tokens make n * n / 2 pairs.
constexpr double AttentionPairsFactor = 0.5;

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

double estimateContextTokens(const EngineProfile &engine, double sequences)
{
    return sequences * (engine.typicalPromptTokens + engine.typicalOutputTokens / 2);
}

} // namespace

double decodePassMs(const EngineProfile &engine, const ModelProfile &model, double sequences)
{
    const double stepMs =
            engine.stepMs + engine.stepMsPerSequence * sequences
            + engine.stepMsPerThousandContext * estimateContextTokens(engine, sequences) / 1000;
    return model.timeFactor * engine.stepsPerPass * stepMs;
}

double prefillMs(const EngineProfile &engine, const ModelProfile &model, double promptTokens)
{
    const double linearMs = promptTokens / std::max(engine.promptTokensPerSecond, 1.0) * 1000;
    const double attentionPairs = AttentionPairsFactor * promptTokens * promptTokens / 1e6;
    return model.timeFactor * (linearMs + engine.msPerMillionPairs * attentionPairs);
}

TimingEstimate estimateTiming(const EngineProfile &engine, const ModelProfile &model,
                              const GroupLoad &load, const RequestSize &request)
{
    const double slots = std::max(1.0, static_cast<double>(engine.slots));
    const double runningRequests = std::min(load.sequences, slots);
    const double passMs =
            decodePassMs(engine, model, runningRequests + (load.sequences < slots ? 1 : 0));
    const double backlogMs = prefillMs(engine, model, load.pendingPromptTokens);
    const double ownPrefillMs = prefillMs(engine, model, request.promptTokens);
    // Each running request delays the others by the prefill of one typical prompt.
    const double typicalPrefillMs = prefillMs(engine, model, engine.typicalPromptTokens);
    const double passesPerRequest =
            std::max(1.0, engine.typicalOutputTokens / std::max<double>(engine.stepsPerPass, 1));
    const double requestMs = passesPerRequest * passMs + typicalPrefillMs * runningRequests;
    const double waitingRequests = std::max(0.0, load.sequences + 1 - slots);
    const double queueMs = waitingRequests * requestMs / slots;

    TimingEstimate estimate;
    estimate.waitsForSlot = waitingRequests > 0;
    estimate.firstEvent = fromMs(queueMs + passMs / 2 + backlogMs + ownPrefillMs + passMs);
    const double gapMs = passMs + typicalPrefillMs * runningRequests / passesPerRequest;
    estimate.eventGap = fromMs(gapMs);
    const double passes = request.outputTokens / std::max<double>(engine.stepsPerPass, 1);
    estimate.total = estimate.firstEvent + fromMs(passes * gapMs);
    return estimate;
}

void recordFirstEvent(FirstEventOverhead &overhead, const TimingEstimate &estimate,
                      Duration observed)
{
    if (estimate.waitsForSlot)
        return; // the prediction depends on the loads of other entries
    const double excessMs =
            std::chrono::duration<double, std::milli>(observed - estimate.firstEvent).count();
    overhead.ms += excessMs > overhead.ms ? OverheadIncrementMs : -OverheadDecrementMs;
    overhead.ms = std::clamp(overhead.ms, 0.0, MaxOverheadMs);
}

} // namespace Trefoil
