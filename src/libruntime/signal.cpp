#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Trefoil {

AsyncCondition::AsyncCondition(const boost::asio::any_io_executor &executor)
    : timer_(executor, TimePoint::max())
{}

void AsyncCondition::notify()
{
    timer_.cancel();
}

boost::asio::awaitable<void> AsyncCondition::wait(TimePoint deadline)
{
    timer_.expires_at(deadline);
    co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

boost::asio::awaitable<void> AsyncCondition::wait()
{
    return wait(TimePoint::max());
}

} // namespace Trefoil
