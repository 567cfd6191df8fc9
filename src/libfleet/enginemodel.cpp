#include "libfleet/enginemodel.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

// Steps of the overhead by which a quarter of the observations stay below it, in milliseconds.
constexpr double OverheadStepUp = 3;
constexpr double OverheadStepDown = 9;
constexpr double LargestOverhead = 250;

constexpr double PairsPerPromptToken = 0.5; // a token is paired with each earlier one

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

double contextTokens(const EngineProfile &engine, double sequences)
{
    return sequences * (engine.usualPromptTokens + engine.usualAnswerTokens / 2);
}

} // namespace

double passMs(const EngineProfile &engine, const ModelProfile &model, double sequences)
{
    const double step = engine.stepMs + engine.stepMsPerSequence * sequences
                        + engine.stepMsPerThousandContext * contextTokens(engine, sequences) / 1000;
    return model.pace * engine.stride * step;
}

double readMs(const EngineProfile &engine, const ModelProfile &model, double promptTokens)
{
    const double reading = promptTokens / std::max(engine.promptTokensPerSecond, 1.0) * 1000;
    const double pairs = PairsPerPromptToken * promptTokens * promptTokens / 1e6;
    return model.pace * (reading + engine.msPerMillionPairs * pairs);
}

TimingEstimate estimateTiming(const EngineProfile &engine, const ModelProfile &model,
                              const GroupLoad &load, const RequestSize &request)
{
    const double slots = std::max(1.0, static_cast<double>(engine.slots));
    const double running = std::min(load.sequences, slots);
    const double pass = passMs(engine, model, running + (load.sequences < slots ? 1 : 0));
    const double backlog = readMs(engine, model, load.unreadPromptTokens);
    const double own = readMs(engine, model, request.promptTokens);
    // Reading of usual prompts by which each running request delays the others.
    const double usualRead = readMs(engine, model, engine.usualPromptTokens);
    const double passesOfRequest =
            std::max(1.0, engine.usualAnswerTokens / std::max<double>(engine.stride, 1));
    const double requestMs = passesOfRequest * pass + usualRead * running;
    const double waiting = std::max(0.0, load.sequences + 1 - slots);
    const double queueMs = waiting * requestMs / slots;

    TimingEstimate estimate;
    estimate.waitsForSlot = waiting > 0;
    estimate.firstEvent = fromMs(queueMs + pass / 2 + backlog + own + pass);
    const double gap = pass + usualRead * running / passesOfRequest;
    estimate.eventGap = fromMs(gap);
    const double passes = request.answerTokens / std::max<double>(engine.stride, 1);
    estimate.total = estimate.firstEvent + fromMs(passes * gap);
    return estimate;
}

void noteFirstEvent(FirstEventOverhead &overhead, const TimingEstimate &estimate, Duration observed)
{
    if (estimate.waitsForSlot)
        return; // its prediction depends on the loads of other entries
    const double beyond =
            std::chrono::duration<double, std::milli>(observed - estimate.firstEvent).count();
    overhead.ms += beyond > overhead.ms ? OverheadStepUp : -OverheadStepDown;
    overhead.ms = std::clamp(overhead.ms, 0.0, LargestOverhead);
}

} // namespace Trefoil
