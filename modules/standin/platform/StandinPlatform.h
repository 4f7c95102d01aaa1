#pragma once

#include "standin/platform/StandinStore.h"
#include "standin/server/StandinServer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace cuminrail::standin {

struct PlatformOptions
{
    /** Rate of the weight store. */
    double weightBytesPerSecond = 1e9;
    bool keepsRecords = true;
};

/**
    The platform: object API, list of instances, ordering of upstreams, usage reports, weight store.

    Counts every call by kind; a waiting watch is one call. Tests set the list by
    `PUT /standin/instances` (`{"instances": […], "lag_ms": N}`) and how many upstreams run by
    `PUT /standin/running` (`{"domain", "cost_class", "running"}`).
*/
class StandinPlatform
{
public:
    StandinPlatform(boost::asio::io_context &context,
                    const boost::asio::ip::tcp::endpoint &endpoint, const PlatformOptions &options);

    StandinServer &server() { return server_; }
    StandinStore &store() { return store_; }
    const std::map<std::string, std::uint64_t> &calls() const { return calls_; }

private:
    using Json = nlohmann::json;
    using Ptr = std::shared_ptr<Exchange>;

    struct Answer
    {
        unsigned status = 200;
        Json body;
    };
    struct FleetEntry
    {
        Json target;
        std::uint64_t highestFence = 0;
        std::uint32_t running = 0;
        std::map<std::string, Answer> byToken;
    };
    struct Watch
    {
        Ptr exchange;
        std::string prefix;
        ObjectVersion after = 0;
        boost::asio::steady_timer timer;
    };

    void handle(const Ptr &exchange);
    void handleControl(const Ptr &exchange);
    void handleObjects(const Ptr &exchange);
    void handlePut(const Ptr &exchange, const std::string &path);
    void handleRemove(const Ptr &exchange, const std::string &path);
    void handleList(const Ptr &exchange);
    void handleWatch(const Ptr &exchange);
    void handleFleet(const Ptr &exchange);
    Answer setTarget(FleetEntry &entry, const Json &target, Exchange &exchange);
    void handleUsage(const Ptr &exchange);
    void handleTickets(const Ptr &exchange);
    void setInstances(const Json &body);
    void answerWatch(Watch &watch);
    void wakeWatches();
    ObjectVersion readableRevision(const Exchange &exchange) const;

    PlatformOptions options_;
    StandinStore store_;
    std::map<std::string, std::uint64_t> calls_;
    std::list<Watch> watches_;
    Json instances_ = Json::array();
    boost::asio::steady_timer instancesTimer_;
    std::map<std::string, FleetEntry> fleet_;
    std::map<std::string, std::string> reportedWindows_;
    std::map<std::string, std::uint64_t> usageFences_;
    double ticketBytes_ = 0;
    std::int64_t ticketsAtMs_ = 0;
    std::uint64_t tickets_ = 0;
    StandinServer server_;
};

} // namespace cuminrail::standin
