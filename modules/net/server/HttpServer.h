#pragma once

#include "net/http/HttpParser.h"
#include "net/server/HttpExchange.h"
#include "net/stream/ByteStream.h"
#include "net/stream/TlsFiles.h"
#include "runtime/time/DeadlineList.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

namespace cuminrail {

namespace detail {
class ServerConnection;
}

/** Bounds on what one caller can make the server hold or wait for. */
struct HttpServerLimits
{
    HttpLimits message;
    /** From a request's first byte to the end of its head. */
    Millis headTimeout = Millis::seconds(10);
    /** Without a further byte of the body. */
    Millis bodyStallTimeout = Millis::seconds(10);
    /** For the whole body, besides the time that its bytes take at slowestBytesPerMilli. */
    Millis bodyTimeout = Millis::seconds(60);
    std::int64_t slowestBytesPerMilli = 4;
    /** Between two requests. */
    Millis idleTimeout = Millis::seconds(75);
    /** Without the caller taking a byte of its answer. */
    Millis writeStallTimeout = Millis::seconds(30);
    /** Unsent bytes of an answer beyond which a connection counts as congested. */
    std::size_t congestionBytes = 256 * 1024;
    /** Over all threads that share the count. */
    std::uint32_t connections = 10000;
    /** Bytes of all request bodies together, over all threads that share the load. */
    std::uint64_t allBodyBytes = 256 * 1024 * 1024;
    /** The status for a head over its limit; some interfaces tell it apart from a body. */
    int headTooLargeStatus = 413;
};

/** What a server asks of the program it belongs to; called on the server's thread. */
struct HttpServerHooks
{
    /** Judges a head before the body is read; an answer given here refuses the request. */
    std::function<std::optional<HttpAnswer>(const HttpHead &)> onHead;
    std::function<void(const std::shared_ptr<HttpExchange> &)> onRequest;
    /** Gives the answer to bytes that are no acceptable request, or that came too slowly. */
    std::function<HttpAnswer(int status, const Reason &)> onProblem;
};

/** What several servers hold together, for their common limits. */
struct ServerLoad
{
    std::atomic<std::uint32_t> connections{0};
    /** Of request bodies, until their requests are over. */
    std::atomic<std::uint64_t> bodyBytes{0};
};

/** A request body's part of the common limit, given back when this object goes. */
class BodyReservation
{
public:
    explicit BodyReservation(std::shared_ptr<ServerLoad> load) : load_(std::move(load)) { }
    ~BodyReservation() { release(); }
    // The load is copied, as the connection that hands its body over goes on with its next one.
    // NOLINTBEGIN(performance-move-constructor-init)
    BodyReservation(BodyReservation &&other) noexcept
        : load_(other.load_), bytes_(std::exchange(other.bytes_, 0))
    { }
    // NOLINTEND(performance-move-constructor-init)
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;
    BodyReservation &operator=(BodyReservation &&) = delete;

    /** Takes more. Returns false when all bodies together would be over the limit. */
    bool add(std::uint64_t bytes, std::uint64_t limit)
    {
        bytes_ += bytes;
        return load_->bodyBytes.fetch_add(bytes, std::memory_order_relaxed) + bytes <= limit;
    }
    void release()
    {
        load_->bodyBytes.fetch_sub(std::exchange(bytes_, 0), std::memory_order_relaxed);
    }

private:
    std::shared_ptr<ServerLoad> load_;
    std::uint64_t bytes_ = 0;
};

/**
    An HTTP/1.1 server on one event loop; several of them can share one port.

    Keep-alive, one request at a time per connection, every buffer and wait bounded.
*/
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, DeadlineList &deadlines, HttpServerLimits limits,
               HttpServerHooks hooks, std::shared_ptr<ServerLoad> load);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Serves TLS on connections accepted from now on. The files must outlive the server. */
    void useTls(const TlsFiles &files) { tls_ = &files; }

    /** Listens; the port may be 0. Several servers may listen on one port with @c isShared. */
    bool listen(const std::string &address, std::uint16_t port, bool isShared, Reason *lastReason);
    /** Returns the port that listen() got. */
    std::uint16_t port() const { return port_; }

    /** Bounds the requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits) { limits_ = limits; }
    const HttpServerLimits &limits() const { return limits_; }

    /** Tells each caller with its next answer that the connection ends there. */
    void closeAfterAnswers() { isClosing_ = true; }
    /** Takes what the kernel has already accepted, then closes the listening socket. */
    void stopListening();
    /** Closes connections on which no request is in progress. */
    void closeIdle();

    /** Ends all connections at once. */
    void closeAll();

    /** Returns how many connections are open here, and how many of them serve a request. */
    std::size_t openConnections() const { return connections_.size(); }
    std::size_t busyConnections() const;

private:
    friend class detail::ServerConnection;
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                                        boost::asio::io_context::executor_type>;
    void acceptNext();
    void accepted(TcpSocket socket);

    boost::asio::io_context &io_;
    DeadlineList &deadlines_;
    HttpServerLimits limits_;
    HttpServerHooks hooks_;
    std::shared_ptr<ServerLoad> load_;
    const TlsFiles *tls_ = nullptr;
    Acceptor acceptor_;
    std::uint16_t port_ = 0;
    bool isClosing_ = false;
    std::unordered_set<std::shared_ptr<detail::ServerConnection>> connections_;
};

} // namespace cuminrail
