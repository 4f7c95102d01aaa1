#pragma once

#include "net/http/HttpParser.h"
#include "net/server/HeldMemory.h"
#include "net/server/HttpExchange.h"
#include "net/stream/ByteStream.h"
#include "net/stream/TlsFiles.h"
#include "runtime/time/DeadlineList.h"

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

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
    /**
        Maximum number of connections over all threads that share the load. Beyond it, the
        connection that has waited longest for its caller is closed.
    */
    std::uint32_t connections = 10000;
    /**
        Memory for heads, bodies and unsent responses over all threads that share the load. Beyond
        it, callers that are waited for give way, and requests that hold more than their share are
        refused; an eighth more is left for small requests.
    */
    std::uint64_t heldBytes = 512 * 1024 * 1024;
    /** Receive buffer of each connection, in bytes; 0 leaves the kernel's own choice. */
    int receiveBufferBytes = 0;
    /** Responses have neither a length nor chunks: the end of the connection ends them. */
    bool endsResponsesByClose = false;
    /** Status for a head over its limit; some interfaces distinguish it from a large body. */
    int headTooLargeStatus = 413;

    /** Returns how much memory each connection may hold if all hold as much. */
    std::uint64_t heldShare() const { return heldBytes / std::max(connections, 1U); }
    /** Returns limits for pages that operators, probes and peers read: small requests. */
    static HttpServerLimits forPages(std::uint32_t connections, std::uint64_t heldBytes);
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
    void onAcceptFailed();
    void handleAccepted(TcpSocket socket);
    /** Refuses a connection at once: it takes no descriptor of one that is served. */
    void refuse(TcpSocket socket);
    /** Closes the connection that has waited longest for its caller; returns false if none has. */
    bool evictLongestWaiting();
    /** Frees memory soon, but not in the middle of a call, and not for each further byte. */
    void requestMemory();
    /** Those that cost most, by memory and by the time they were waited for, give way. */
    void freeMemory();
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
    /** Accepts again after descriptors ran out. */
    Deadline acceptRetry_;
    bool isMemoryRequested_ = false;
    /** Frees memory when it expires, as that was done only a moment ago. */
    Deadline memoryDue_;
    Millis memoryFreedAt_;
    std::unordered_set<std::shared_ptr<detail::ServerConnection>> connections_;
    /** Connections that wait for their callers, the one that has waited longest first. */
    std::list<detail::ServerConnection *> waiting_;
};

} // namespace cuminrail
