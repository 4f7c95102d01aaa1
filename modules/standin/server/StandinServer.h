#pragma once

#include "standin/faults/FaultPlan.h"
#include "standin/server/Exchange.h"
#include "standin/server/Recorder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::standin {

/**
    A small HTTP server that breaks on command and remembers what arrived.

    Runs on one thread, that of its io_context. Answers `/standin/records`, `/standin/faults` and
    `/standin/health` itself; these are reached under every fault and are not recorded.
*/
class StandinServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

    /** Listens at once; throws boost::system::system_error when the address cannot be had. */
    StandinServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
                  Handler handler);
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;
    ~StandinServer();

    boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    boost::asio::io_context &context() { return context_; }
    Recorder &recorder() { return recorder_; }
    FaultPlan &faults() { return faults_; }
    /** Puts the faults of a JSON text in force. Returns false, changing nothing, if it is bad. */
    bool setFaultsFrom(const std::string &text, Reason *lastReason = nullptr);

    /** Resets every open connection, as the end of the process would. */
    void resetConnections();

    /** Handles a request that no fault stopped. */
    void handle(const std::shared_ptr<Exchange> &exchange);

    /** Milliseconds of the machine, the same for all stand-ins on it. */
    std::int64_t nowMs() const;

private:
    void accept();
    bool handleControl(Exchange &exchange);
    void handleFaults(Exchange &exchange);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
    Recorder recorder_;
    FaultPlan faults_;
    std::uint64_t connections_ = 0;
    std::vector<std::weak_ptr<detail::Connection>> open_;
};

} // namespace cuminrail::standin
