#pragma once

#include "libruntime/ring.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio { // NOLINT(readability-identifier-naming)
class io_context;
}

namespace Trefoil {

// A thread that runs an event loop. The objects that it owns are used on this thread only; other
// threads send it values through an Inbox.
class EventLoopThread
{
public:
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    const std::string &name() const { return name_; }

    // Returns the execution context of the event loop.
    boost::asio::io_context &context();

    // Queues the function to run on the thread. Can be called from any thread.
    void post(std::function<void()> function);

    // Starts the thread. An exception that leaves the event loop ends the process.
    void start();

    // Stops the event loop and joins the thread. Functions that are still queued do not run.
    void stop();

private:
    struct Loop;
    std::string name_;
    std::unique_ptr<Loop> loop_;
};

// Bounded queue that any thread can push to. The values are handled on the given event loop thread.
template <class T>
class Inbox
{
public:
    Inbox(EventLoopThread &thread, std::size_t capacity, std::function<void(T &&)> handler)
        : thread_(thread)
        , handler_(std::move(handler))
        , queue_(capacity, [this] { thread_.post([this] { handleQueued(); }); })
    {}

    // Returns false when the queue is full.
    bool tryPush(T value) { return queue_.tryPush(std::move(value)); }
    std::size_t size() const { return queue_.size(); }

private:
    // Handles all values that are queued at the call.
    void handleQueued()
    {
        std::vector<T> values;
        queue_.drain(values);
        for (T &value : values)
            handler_(std::move(value));
    }

    EventLoopThread &thread_;
    std::function<void(T &&)> handler_;
    BoundedQueue<T> queue_;
};

} // namespace Trefoil
