#include "libruntime/duty.h"

#include "libruntime/events.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <pthread.h>
#include <thread>

namespace Trefoil {

struct Duty::Loop
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
            context.get_executor()};
    std::thread thread;
};

Duty::Duty(std::string name)
    : name_(std::move(name))
    , loop_(std::make_unique<Loop>())
{}

Duty::~Duty()
{
    stop();
}

boost::asio::io_context &Duty::context()
{
    return loop_->context;
}

void Duty::post(std::function<void()> function)
{
    boost::asio::post(loop_->context, std::move(function));
}

void Duty::start()
{
    loop_->thread = std::thread([this] {
        pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
        try {
            loop_->context.run();
        } catch (const std::exception &error) {
            // The state of a duty after an unexpected error is unknown; the process stops.
            logFatal(Event::DutyFailed, {{"duty", name_}, {"error", error.what()}});
        }
    });
}

void Duty::stop()
{
    loop_->work.reset();
    loop_->context.stop();
    if (loop_->thread.joinable())
        loop_->thread.join();
}

} // namespace Trefoil
