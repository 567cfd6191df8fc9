#pragma once

#include "libruntime/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

namespace Trefoil {

using RuntimeTimer = boost::asio::basic_waitable_timer<RuntimeClock>;

// Lets coroutines of one duty wait for a change that other code of the same duty signals.
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor);

    void notify();

    // Waits for the next notification or until `until`.
    boost::asio::awaitable<void> wait(TimePoint until);
    boost::asio::awaitable<void> wait();

private:
    RuntimeTimer timer_;
};

} // namespace Trefoil
