#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

struct FrontDutyHandlers
{
    std::function<bool(DecisionInput)> decide;       // false when the decision duty's ring is full
    std::function<void(EntryId, PeerMessage)> relay; // parts of answers to other entries
};

// HTTP for callers and endpoints, and the calls to endpoints.
class FrontDuty
{
public:
    FrontDuty(const Settings &settings, FrontDutyHandlers handlers);
    ~FrontDuty();

    bool tryPush(FrontInput input);
    void start(); // throws when it cannot listen
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
