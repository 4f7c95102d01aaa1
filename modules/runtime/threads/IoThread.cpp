#include "runtime/threads/IoThread.h"

#include "runtime/rcu/RcuReader.h"
#include "runtime/time/BootClock.h"

#include <boost/asio/post.hpp>

#include <future>

namespace cuminrail {

IoThread::IoThread(Millis deadlineTick)
    : work_(boost::asio::make_work_guard(io_)), deadlines_(io_, bootClock(), deadlineTick)
{ }

IoThread::~IoThread()
{
    stop();
    join();
}

void IoThread::start()
{
    deadlines_.start();
    thread_ = std::thread([this] {
        const RcuThread reader;
        io_.run();
    });
}

void IoThread::stop()
{
    io_.stop();
}

void IoThread::join()
{
    if (thread_.joinable())
        thread_.join();
}

void IoThread::runLeftovers()
{
    io_.restart();
    io_.poll();
}

void IoThread::post(std::function<void()> function)
{
    boost::asio::post(io_, std::move(function));
}

void IoThread::run(const std::function<void()> &function)
{
    std::promise<void> done;
    post([&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace cuminrail
