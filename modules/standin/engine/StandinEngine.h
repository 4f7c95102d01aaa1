#pragma once

#include "ports/engines/EngineControl.h"
#include "standin/engine/CacheEvents.h"
#include "standin/engine/EngineOrders.h"
#include "standin/engine/EngineRuns.h"
#include "standin/server/StandinServer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace cuminrail::standin {

struct EngineOptions
{
    std::vector<std::string> models = {"demo@1"};
    EngineRole role = EngineRole::Mixed;
    bool checksFence = false;
    /** Time between two output tokens; 0 makes the whole answer available at once. */
    std::uint32_t tokenMs = 0;
    std::uint32_t roleChangeMs = 200;
    std::uint32_t loadMs = 200;
    /** Requests that run at once; others wait. */
    std::size_t slots = 256;
    /** Age of the load that /control/state reports. */
    std::uint32_t loadLagMs = 0;
    CacheOptions cache;
    bool keepsRecords = true;
};

/**
    A model engine: completions plain and streamed, resume, cancel, orders, state, cache events.

    Answers are made from the prompt alone, so that a test can tell whose answer it got. Crashes by
    `POST /standin/crash` with `{"when": "now"|"mid-change", "role": "old"|"new"|"none"}`.
*/
class StandinEngine
{
public:
    StandinEngine(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
                  const EngineOptions &options);

    StandinServer &server() { return server_; }
    EngineOrders &orders() { return orders_; }

private:
    using Ptr = std::shared_ptr<Exchange>;

    void handle(const Ptr &exchange);
    void handleCompletion(const Ptr &exchange, bool isChat);
    void handleRequestId(const Ptr &exchange, const std::string &id);
    void handleState(const Ptr &exchange);
    void handleOrder(const Ptr &exchange);
    void handleCrash(const Ptr &exchange);
    void crash(const std::string &roleAfter);
    nlohmann::json sampledLoad();
    void follow(const Ptr &exchange, const std::shared_ptr<EngineRun> &run, std::size_t next);
    void answerPlain(const Ptr &exchange, const std::shared_ptr<EngineRun> &run);

    EngineOptions options_;
    CacheEvents cache_;
    EngineOrders orders_;
    EngineRuns runs_;
    nlohmann::json load_;
    std::int64_t loadAtMs_ = -1;
    StandinServer server_;
};

} // namespace cuminrail::standin
