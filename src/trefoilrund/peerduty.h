#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Trefoil {

struct PeerThreadHandlers
{
    std::function<void(ReceivedPeerMessage)> onMessage;
    std::function<void(ReceivedGossip)> onGossip;
    std::function<void(RelayMessage)> onRelayMessage;
};

// Thread for the connections between entries: UDP for membership gossip, and one outgoing TCP
// connection to each entry that messages are sent to. A broken connection loses its messages in
// flight; the protocols tolerate that.
class PeerThread
{
public:
    PeerThread(const Settings &settings, PeerThreadHandlers handlers);
    ~PeerThread();

    bool tryPush(PeerThreadInput input);

    // Throws when it cannot listen.
    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
