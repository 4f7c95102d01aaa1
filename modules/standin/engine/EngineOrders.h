#pragma once

#include "ports/engines/EngineControl.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cuminrail::standin {

/** What an engine made of an order, for its records. */
struct OrderEffect
{
    bool isAccepted = false;
    /** "stale-fence", "busy", "repeated", or "conflict" for one that overtook another. */
    std::string note;
};

/** An engine's role, models and the orders that change them. */
class EngineOrders
{
public:
    struct Options
    {
        EngineRole role = EngineRole::Mixed;
        std::vector<std::string> models;
        bool checksFence = false;
        std::uint32_t roleChangeMs = 0;
        std::uint32_t loadMs = 0;
    };

    EngineOrders(boost::asio::io_context &context, Options options);

    const EngineState &state() const { return state_; }

    /**
        Takes an order. An engine that does not check fences takes every order, also one that
        contradicts the order in progress; it notes "conflict" then.
    */
    OrderEffect take(const EngineOrder &order);

    /** Starts a new incarnation; role after is "old", "new" or "none". */
    void crash(const std::string &roleAfter);

    /** Crashes halfway through the next order instead of carrying it out. */
    void crashDuringNext(std::function<void()> crashNow) { crashNow_ = std::move(crashNow); }

private:
    void begin(const EngineOrder &order);
    void carryOut(const EngineOrder &order);

    Options options_;
    EngineState state_;
    EngineRole roleBefore_;
    EngineOrder current_;
    boost::asio::steady_timer timer_;
    std::function<void()> crashNow_;
};

} // namespace cuminrail::standin
