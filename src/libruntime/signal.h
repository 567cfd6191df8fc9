#pragma once

#include "libruntime/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

namespace Trefoil {

using RuntimeTimer = boost::asio::basic_waitable_timer<RuntimeClock>;

// Lets coroutines wait for a notification from other code on the same thread. Like a condition
// variable, it keeps no notification for later waits.
class AsyncCondition
{
public:
    explicit AsyncCondition(const boost::asio::any_io_executor &executor);

    // Resumes the coroutines that wait.
    void notify();

    // Waits for the next notification, or until `deadline`. A new wait also ends the earlier ones.
    boost::asio::awaitable<void> wait(TimePoint deadline);
    boost::asio::awaitable<void> wait();

private:
    RuntimeTimer timer_;
};

} // namespace Trefoil
