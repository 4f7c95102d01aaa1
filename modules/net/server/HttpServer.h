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

/** Limits on the memory and time that a caller can use. */
struct HttpServerLimits
{
    HttpLimits message;
    /** From a request's first byte to the end of its head. */
    Millis headTimeout = Millis::seconds(10);
    /** Maximum time without a further byte of the body. */
    Millis bodyStallTimeout = Millis::seconds(10);
    /** For the complete body, in addition to the time its bytes take at minBodyBytesPerMilli. */
    Millis bodyTimeout = Millis::seconds(60);
    std::int64_t minBodyBytesPerMilli = 4;
    /** Between two requests. */
    Millis idleTimeout = Millis::seconds(75);
    /** Maximum time in which the caller accepts no byte of its response. */
    Millis writeStallTimeout = Millis::seconds(30);
    /** Number of unsent response bytes beyond which a connection counts as congested. */
    std::size_t congestionBytes = 256 * 1024;
    /**
        A new connection that waited for longer before it was accepted is closed unread. A server
        that gets more than it can bear would read all and answer all late; callers whose connection
        is closed unread go elsewhere at once.
    */
    Millis maxUnreadAge = Millis::never();
    /** Maximum number of connections over all threads that share the load. */
    std::uint32_t connections = 10000;
    /** Maximum total size of all request bodies over all threads that share the load. */
    std::uint64_t allBodyBytes = 256 * 1024 * 1024;
    /** Responses have neither a length nor chunks: the end of the connection ends them. */
    bool endsResponsesByClose = false;
    /** Status for a head over its limit; some interfaces distinguish it from a large body. */
    int headTooLargeStatus = 413;
};

/** Callbacks into the program that owns the server; called on the server's thread. */
struct HttpServerHooks
{
    /** Checks a head before the body is read; returning a response rejects the request. */
    std::function<std::optional<HttpResponse>(const HttpHead &)> onHead;
    std::function<void(const std::shared_ptr<HttpExchange> &)> onRequest;
    /** Returns the response to bytes that are no valid request or that arrived too slowly. */
    std::function<HttpResponse(int status, const Reason &)> onProblem;
    /** Optional. The program called for a response out of its order; nothing of it was sent. */
    std::function<void(const Reason &)> onOutOfOrder = {};
};

/** Load of several servers together, for their common limits. */
struct ServerLoad
{
    std::atomic<std::uint32_t> connections{0};
    /** Size of request bodies, counted until their requests end. */
    std::atomic<std::uint64_t> bodyBytes{0};
    /** Connections that were closed before anything was read from them. */
    std::atomic<std::uint64_t> closedUnread{0};
    /** Calls of the program that were out of a response's order. */
    std::atomic<std::uint64_t> outOfOrder{0};
};

/** A request body's share of the common limit, released by the destructor. */
class BodyReservation
{
public:
    explicit BodyReservation(std::shared_ptr<ServerLoad> load) : load_(std::move(load)) { }
    ~BodyReservation() { release(); }
    // The load is copied, not moved: a connection needs it for its next request body.
    // NOLINTBEGIN(performance-move-constructor-init)
    BodyReservation(BodyReservation &&other) noexcept
        : load_(other.load_), bytes_(std::exchange(other.bytes_, 0))
    { }
    // NOLINTEND(performance-move-constructor-init)
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;
    BodyReservation &operator=(BodyReservation &&) = delete;

    /** Reserves more bytes. Returns false when all bodies together exceed the limit. */
    bool reserve(std::uint64_t bytes, std::uint64_t limit)
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

    Supports keep-alive with one request at a time per connection; every buffer and wait is limited.
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

    /** Sets the limits of requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits) { limits_ = limits; }
    const HttpServerLimits &limits() const { return limits_; }

    /** Closes each connection after its next response, announced by "Connection: close". */
    void closeAfterResponses() { isClosing_ = true; }
    /** Accepts the connections in the kernel's queue, then closes the listening socket. */
    void stopListening();
    /** Closes connections on which no request is in progress. */
    void closeIdle();

    /** Closes all connections at once. */
    void closeAll();

    /** Returns how many connections are open here, and how many of them serve a request. */
    std::size_t openConnections() const { return connections_.size(); }
    std::size_t busyConnections() const;

private:
    friend class detail::ServerConnection;
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                                        boost::asio::io_context::executor_type>;
    void acceptNext();
    void handleAccepted(TcpSocket socket);
    bool isTooOld(TcpSocket &socket) const;

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
