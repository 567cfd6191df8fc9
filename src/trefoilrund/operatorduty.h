#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

// HTTP for operators and metrics.
class OperatorDuty
{
public:
    OperatorDuty(const Settings &settings, std::function<bool(DecisionInput)> decide);
    ~OperatorDuty();

    bool tryPush(OperatorOutput output);
    void start(); // throws when it cannot listen
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
