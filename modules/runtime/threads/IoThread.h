#pragma once

#include "runtime/time/DeadlineList.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <thread>

namespace cuminrail {

/** A thread with an event loop of its own, registered as a reader of RcuCells. */
class IoThread
{
public:
    explicit IoThread(Millis deadlineTick = Millis(20));
    /** Stops the loop and joins the thread. */
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    /** Starts the thread. What is set up on io() before this needs no locking. */
    void start();
    /** Ends the loop after the handler that is running. */
    void stop();
    void join();
    /** After join(): runs what is left, so that nothing outlives what its handlers refer to. */
    void runLeftovers();

    /** Runs a function on the loop, later. Safe from any thread. */
    void post(std::function<void()> function);
    /** Runs a function on the loop and waits for it; never call it from the loop itself. */
    void run(const std::function<void()> &function);

    boost::asio::io_context &io() { return io_; }
    DeadlineList &deadlines() { return deadlines_; }

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    DeadlineList deadlines_;
    std::thread thread_;
};

} // namespace cuminrail
