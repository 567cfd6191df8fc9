#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Trefoil {

struct PeerDutyHandlers
{
    std::function<void(PeerInput)> message;
    std::function<void(GossipInput)> gossip;
    std::function<void(RelayInput)> relay;
};

// Connections between entries: UDP for membership, one outgoing TCP connection to each entry that
// is written to. A connection that breaks loses what it carried; the messages are made for that.
class PeerDuty
{
public:
    PeerDuty(const Settings &settings, PeerDutyHandlers handlers);
    ~PeerDuty();

    bool tryPush(PeerOutput output);
    void start(); // throws when it cannot listen
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
