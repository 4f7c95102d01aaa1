#include "net/server/HttpServer.h"

#include "net/server/ServerConnection.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminrail {

namespace {

using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

HttpServer::HttpServer(boost::asio::io_context &io, DeadlineList &deadlines,
                       HttpServerLimits limits, HttpServerHooks hooks,
                       std::shared_ptr<ServerLoad> load)
    : io_(io), deadlines_(deadlines), limits_(limits), hooks_(std::move(hooks)),
      load_(std::move(load)), acceptor_(io)
{ }

HttpServer::~HttpServer()
{
    closeAll();
}

bool HttpServer::listen(const std::string &address, std::uint16_t port, bool isShared,
                        Reason *lastReason)
{
    const std::string where = address + ":" + std::to_string(port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error)
        return fail(lastReason, where, "is not an IP address and port");
    const boost::asio::ip::tcp::endpoint endpoint(ip, port);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error && isShared)
        acceptor_.set_option(ReusePort(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        acceptor_.non_blocking(true, error);
    if (error)
        return fail(lastReason, where, error.message());
    port_ = acceptor_.local_endpoint(error).port();
    acceptNext();
    return true;
}

void HttpServer::acceptNext()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, TcpSocket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error)
            handleAccepted(std::move(socket));
        acceptNext();
    });
}

bool HttpServer::isTooOld(TcpSocket &socket) const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    // Since the last bytes arrived, or since the connection was established if none have.
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && Millis(static_cast<std::int64_t>(info.tcpi_last_data_recv)) > limits_.maxUnreadAge;
}

void HttpServer::handleAccepted(TcpSocket socket)
{
    boost::system::error_code ignored;
    if (isTooOld(socket)) {
        load_->closedUnread.fetch_add(1, std::memory_order_relaxed);
        socket.close(ignored);
        return;
    }
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    auto stream =
        tls_ != nullptr ? tls_->makeStream(std::move(socket)) : makePlainStream(std::move(socket));
    const bool isOverLimit =
        load_->connections.load(std::memory_order_relaxed) >= limits_.connections;
    auto connection = std::make_shared<detail::ServerConnection>(*this, std::move(stream));
    connections_.insert(connection);
    if (isOverLimit)
        connection->refuse(
            hooks_.onProblem(503, {"connections", "the maximum number of connections is reached"}));
    else
        connection->start();
}

void HttpServer::stopListening()
{
    // Closing the listening socket would reset connections that the kernel has accepted, though
    // their callers may have sent a request already.
    boost::system::error_code error;
    while (acceptor_.is_open()) {
        TcpSocket socket(io_);
        acceptor_.accept(socket, error);
        if (error)
            break;
        handleAccepted(std::move(socket));
    }
    acceptor_.close(error);
}

void HttpServer::closeAll()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto open = connections_;
    for (const auto &connection : open)
        connection->close();
}

void HttpServer::closeIdle()
{
    const auto open = connections_;
    for (const auto &connection : open) {
        if (!connection->isBusy())
            connection->close();
    }
}

std::size_t HttpServer::busyConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto &connection) { return connection->isBusy(); }));
}

} // namespace cuminrail
