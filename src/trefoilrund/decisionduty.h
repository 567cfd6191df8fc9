#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>
#include <optional>

namespace Trefoil {

struct NodeThreadHandlers
{
    // These four return false when the receiving thread's queue is full.
    std::function<bool(PeerThreadInput)> sendToPeers;
    std::function<bool(FrontendThreadInput)> sendToFrontend;
    std::function<bool(OperatorThreadInput)> sendToOperators;
    std::function<bool(SeatDiskWork)> writeToDisk;

    // Called during a planned stop when all work is finished.
    std::function<void()> onDrained;
};

// Thread that runs the node's state machine. Passes it events and the time, and passes its output
// to the other threads.
class NodeThread
{
public:
    NodeThread(const Settings &settings, std::optional<ControlSeatState> seat,
               NodeThreadHandlers handlers);
    ~NodeThread();

    // Returns false when the queue is full. New requests are refused when it is half full.
    bool tryPush(NodeThreadInput input);
    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
