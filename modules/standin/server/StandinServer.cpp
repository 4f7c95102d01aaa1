#include "standin/server/StandinServer.h"

#include "runtime/time/BootClock.h"
#include "standin/server/Connection.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <nlohmann/json.hpp>

namespace cuminrail::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

StandinServer::StandinServer(asio::io_context &context, const tcp::endpoint &endpoint,
                             Handler handler)
    : context_(context), acceptor_(context), handler_(std::move(handler))
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

StandinServer::~StandinServer()
{
    resetConnections();
}

void StandinServer::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            open_.erase(std::remove_if(open_.begin(), open_.end(),
                                       [](const auto &weak) { return weak.expired(); }),
                        open_.end());
            const auto connection =
                std::make_shared<detail::Connection>(std::move(socket), *this, ++connections_);
            open_.push_back(connection);
            connection->readNext();
        }
        accept();
    });
}

void StandinServer::resetConnections()
{
    for (const auto &weak : open_) {
        if (const auto connection = weak.lock())
            connection->resetConnection();
    }
    open_.clear();
}

std::int64_t StandinServer::nowMs() const
{
    return bootTime().count();
}

void StandinServer::handle(const std::shared_ptr<Exchange> &exchange)
{
    if (!handleControl(*exchange))
        handler_(exchange);
}

bool StandinServer::handleControl(Exchange &exchange)
{
    if (exchange.path() == "/standin/records")
        exchange.answer(200, recorder_.toJson());
    else if (exchange.path() == "/standin/health")
        exchange.answer(200, {{"listening", true}});
    else if (exchange.path() == "/standin/faults")
        handleFaults(exchange);
    else
        return false;
    return true;
}

bool StandinServer::setFaultsFrom(const std::string &text, Reason *lastReason)
{
    auto plan = FaultPlan::fromJson(nlohmann::json::parse(text, nullptr, false), lastReason);
    if (!plan)
        return false;
    faults_ = std::move(*plan);
    return true;
}

void StandinServer::handleFaults(Exchange &exchange)
{
    Reason reason;
    if (setFaultsFrom(exchange.request().body(), &reason))
        exchange.answer(200, nlohmann::json::object());
    else
        exchange.answer(400, {{"error", reason.toString()}});
}

} // namespace cuminrail::standin
