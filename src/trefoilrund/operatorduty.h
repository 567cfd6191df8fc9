#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

// Thread that serves HTTP to operators and to the metrics collector.
class OperatorThread
{
public:
    // `postToNode` returns false when the node thread's queue is full.
    OperatorThread(const Settings &settings, std::function<bool(NodeThreadInput)> postToNode);
    ~OperatorThread();

    bool tryPush(OperatorThreadInput input);

    // Throws when it cannot listen.
    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace Trefoil
