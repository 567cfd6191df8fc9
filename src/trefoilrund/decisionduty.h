#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>
#include <optional>

namespace Trefoil {

struct DecisionDutyHandlers
{
    std::function<bool(PeerOutput)> peers;
    std::function<bool(FrontInput)> front;
    std::function<bool(OperatorOutput)> operators;
    std::function<bool(SeatDiskWork)> disk;
    std::function<void()> drained; // a planned stop has nothing left to finish
};

// Runs the node: feeds it events and time, and hands what it decides to the other duties.
class DecisionDuty
{
public:
    DecisionDuty(const Settings &settings, std::optional<ControlSeatState> seat,
                 DecisionDutyHandlers handlers);
    ~DecisionDuty();

    bool tryPush(DecisionInput input);
    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
