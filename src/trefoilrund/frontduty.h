#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

struct FrontendThreadHandlers
{
    // Returns false when the node thread's queue is full.
    std::function<bool(NodeThreadInput)> postToNode;

    // Sends a part of a relayed response, or credit for one, to another entry.
    std::function<void(EntryId, PeerMessage)> sendToPeer;
};

// Thread that serves HTTP to callers and endpoints and sends the requests to the endpoints.
class FrontendThread
{
public:
    FrontendThread(const Settings &settings, FrontendThreadHandlers handlers);
    ~FrontendThread();

    bool tryPush(FrontendThreadInput input);

    // Throws when it cannot listen.
    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
