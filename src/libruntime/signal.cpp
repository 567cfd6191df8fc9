#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Trefoil {

Signal::Signal(const boost::asio::any_io_executor &executor)
    : timer_(executor, TimePoint::max())
{}

void Signal::notify()
{
    timer_.cancel();
}

boost::asio::awaitable<void> Signal::wait(TimePoint until)
{
    timer_.expires_at(until);
    co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

boost::asio::awaitable<void> Signal::wait()
{
    return wait(TimePoint::max());
}

} // namespace Trefoil
