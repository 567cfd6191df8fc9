#include "libruntime/duty.h"

#include "libruntime/events.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <pthread.h>
#include <thread>

namespace Trefoil {

struct EventLoopThread::Loop
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard{
            context.get_executor()};
    std::thread thread;
};

EventLoopThread::EventLoopThread(std::string name)
    : name_(std::move(name))
    , loop_(std::make_unique<Loop>())
{}

EventLoopThread::~EventLoopThread()
{
    stop();
}

boost::asio::io_context &EventLoopThread::context()
{
    return loop_->context;
}

void EventLoopThread::post(std::function<void()> function)
{
    boost::asio::post(loop_->context, std::move(function));
}

void EventLoopThread::start()
{
    loop_->thread = std::thread([this] {
        // Linux refuses thread names of more than 15 characters.
        pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
        try {
            loop_->context.run();
        } catch (const std::exception &error) {
            // The thread's objects can be in any state after an unexpected exception, so the
            // process ends.
            logFatal(Event::DutyFailed, {{"duty", name_}, {"error", error.what()}});
        }
    });
}

void EventLoopThread::stop()
{
    loop_->workGuard.reset();
    loop_->context.stop();
    if (loop_->thread.joinable())
        loop_->thread.join();
}

} // namespace Trefoil
