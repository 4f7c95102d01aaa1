#pragma once

#include "standin/server/Recorder.h"
#include "standin/server/StandinServer.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cuminrail::standin {

/**
    Runs a stand-in on a thread of its own, on a free port of 127.0.0.1.

    @code
    StandinHost<StandinService> service(ServiceOptions{});
    connectTo(service.port());
    CHECK(service.records().size() == 1);
    @endcode
*/
template<typename Standin>
class StandinHost
{
public:
    template<typename Options>
    explicit StandinHost(const Options &options)
        : standin_(std::make_unique<Standin>(
            context_, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0),
            options)),
          port_(standin_->server().endpoint().port()), thread_([this] { context_.run(); })
    { }
    StandinHost(const StandinHost &) = delete;
    StandinHost &operator=(const StandinHost &) = delete;
    ~StandinHost()
    {
        context_.stop();
        thread_.join();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /** Runs something on the stand-in's thread and waits for its result. */
    template<typename Action>
    auto run(Action action)
    {
        std::packaged_task<decltype(action(*standin_))()> task(
            [this, &action] { return action(*standin_); });
        auto result = task.get_future();
        boost::asio::post(context_, [&task] { task(); });
        return result.get();
    }

    /** Returns a copy of what arrived so far. */
    std::vector<Record> records()
    {
        return run([](Standin &standin) {
            const auto &all = standin.server().recorder().records();
            return std::vector<Record>(all.begin(), all.end());
        });
    }

    /**
        Returns a copy of what arrived so far, once each of it has ended.

        A caller can hold its answer before the stand-in has noted that the answer was sent; a test
        that reads the records in between sees an exchange that is still open, and fails now and
        then. Gives up after many looks, so that an exchange that never ends shows as Open.
    */
    std::vector<Record> endedRecords()
    {
        constexpr int looks = 100000;
        std::vector<Record> all = records();
        const auto isOpen = [](const Record &record) { return record.ending == Ending::Open; };
        for (int look = 0; look < looks && std::any_of(all.begin(), all.end(), isOpen); ++look)
            all = records();
        return all;
    }

    /** Puts faults in force; the text is the body of PUT /standin/faults. Returns false if bad. */
    bool setFaults(const std::string &text)
    {
        return run([&text](Standin &standin) { return standin.server().setFaultsFrom(text); });
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::unique_ptr<Standin> standin_;
    std::uint16_t port_;
    std::thread thread_;
};

} // namespace cuminrail::standin
