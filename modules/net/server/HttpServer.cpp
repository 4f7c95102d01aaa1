#include "net/server/HttpServer.h"

#include "net/server/ServerConnection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace cuminrail {

namespace {

using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/** Without a descriptor for it, a connection stays in the kernel's queue for so long. */
constexpr Millis acceptRetryTime(50);
/** A caller that was waited for less long has not stopped. */
constexpr Millis minWait(20);
/** Looking through all connections must not take much of the time. */
constexpr Millis minFreeInterval(2);

/** What a caller that is waited for costs the others. */
struct MemoryHolder
{
    std::uint64_t byteMillis = 0;
    std::shared_ptr<detail::ServerConnection> connection;
};

} // namespace

HttpServerLimits HttpServerLimits::forPages(std::uint32_t connections, std::uint64_t heldBytes)
{
    HttpServerLimits limits;
    limits.message.bodyBytes = 4 * 1024;
    limits.idleTimeout = Millis::seconds(15);
    limits.heldBytes = heldBytes;
    limits.receiveBufferBytes = 16 * 1024;
    limits.connections = connections;
    return limits;
}

HttpServer::HttpServer(boost::asio::io_context &io, DeadlineList &deadlines,
                       HttpServerLimits limits, HttpServerHooks hooks,
                       std::shared_ptr<ServerLoad> load)
    : io_(io), deadlines_(deadlines), limits_(limits), hooks_(std::move(hooks)),
      load_(std::move(load)), acceptor_(io), acceptRetry_(deadlines, [this] { acceptNext(); }),
      memoryDue_(deadlines, [this] { freeMemory(); })
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
    boost::system::error_code ignored;
    // Accepted connections inherit it.
    if (!error && limits_.receiveBufferBytes > 0)
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(limits_.receiveBufferBytes), ignored);
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
        if (error == boost::asio::error::no_descriptors)
            return onAcceptFailed();
        if (!error)
            handleAccepted(std::move(socket));
        acceptNext();
    });
}

void HttpServer::onAcceptFailed()
{
    // The connection stays in the queue, so that accepting again at once would fail for ever.
    evictLongestWaiting();
    acceptRetry_.setAfter(acceptRetryTime);
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
    if (load_->connections.load(std::memory_order_relaxed) >= limits_.connections
        && !evictLongestWaiting())
        return refuse(std::move(socket));
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    auto stream =
        tls_ != nullptr ? tls_->makeStream(std::move(socket)) : makePlainStream(std::move(socket));
    auto connection = std::make_shared<detail::ServerConnection>(*this, std::move(stream));
    connections_.insert(connection);
    connection->start();
}

void HttpServer::refuse(TcpSocket socket)
{
    load_->closedUnread.fetch_add(1, std::memory_order_relaxed);
    boost::system::error_code ignored;
    // A response that the socket does not take at once is not waited for.
    socket.non_blocking(true, ignored);
    if (tls_ == nullptr)
        socket.write_some(
            boost::asio::buffer(detail::ServerConnection::closingResponse(hooks_.onProblem(
                503, {"connections", "the maximum number of connections is reached"}))),
            ignored);
    socket.close(ignored);
}

bool HttpServer::evictLongestWaiting()
{
    if (waiting_.empty())
        return false;
    const auto connection = waiting_.front()->shared_from_this();
    connection->evict();
    // Not even the end of a refusal is waited for.
    connection->close();
    return true;
}

void HttpServer::requestMemory()
{
    if (std::exchange(isMemoryRequested_, true))
        return;
    if (deadlines_.now() - memoryFreedAt_ < minFreeInterval)
        return memoryDue_.setAfter(minFreeInterval);
    boost::asio::post(io_, [this] { freeMemory(); });
}

void HttpServer::freeMemory()
{
    isMemoryRequested_ = false;
    const Millis now = deadlines_.now();
    memoryFreedAt_ = now;
    std::vector<MemoryHolder> holders;
    for (detail::ServerConnection *connection : waiting_) {
        const Millis waited = now - connection->waitingSince();
        // Those that hold less than half of their share are not what takes the memory.
        if (waited >= minWait && connection->heldBytes() > limits_.heldShare() / 2)
            holders.push_back({connection->heldBytes() * static_cast<std::uint64_t>(waited.count()),
                               connection->shared_from_this()});
    }
    std::sort(holders.begin(), holders.end(),
              [](const MemoryHolder &left, const MemoryHolder &right) {
                  return left.byteMillis > right.byteMillis;
              });
    // An eighth is freed at once, so that not each further byte looks through all connections.
    const std::uint64_t target = limits_.heldBytes / 8 * 7;
    const auto held = [this] { return load_->heldBytes.load(std::memory_order_relaxed); };
    for (const MemoryHolder &holder : holders) {
        if (held() <= target)
            return;
        holder.connection->evict();
    }
    // Those that are waited for by now may never go on.
    if (held() > limits_.heldBytes && !waiting_.empty()) {
        isMemoryRequested_ = true;
        memoryDue_.setAfter(minWait);
    }
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
    acceptRetry_.clear();
}

void HttpServer::closeAll()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptRetry_.clear();
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
