#pragma once

#include "core/errors/Reason.h"
#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "peerlink/auth/SharedSecrets.h"
#include "peerlink/link/PeerLink.h"
#include "ports/peers/PeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** Counters since start, for metrics and tests. */
struct PeerLinksStats
{
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;
    std::uint64_t silent = 0;
    std::uint64_t dialled = 0;
    std::uint64_t pongs = 0;
    /** Links closed since as many were open as may be. */
    std::uint64_t evicted = 0;
};

/**
    All links of one instance: connects on demand, accepts, authenticates, limits and replaces them.

    Runs on one io_context, which the control thread runs. A link is used in both directions: a
    reply is sent over the connection that carried the query. Frames for an unreachable peer wait
    in a bounded queue; when it is full, the oldest is dropped.
*/
class PeerLinks
{
public:
    using FrameHandler = std::function<void(const PeerAddress &from, std::string frame)>;

    PeerLinks(boost::asio::io_context &context, PeerLinksConfig config, SharedSecrets secrets,
              Clock clock, EventSink events);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /**
        Listens on an IP address and port; port 0 selects a free one.

        @param advertised  the address that peers use; if empty, the listening address
        @returns the address that peers use, or nothing and sets lastReason
    */
    std::optional<PeerAddress> listen(const PeerAddress &address, PeerAddress advertised,
                                      Reason *lastReason = nullptr);
    void setFrameHandler(FrameHandler handler) { handler_ = std::move(handler); }
    /** Sets a hook that is called, later, each time that an established link has ended. */
    void setClosedHandler(std::function<void(const PeerAddress &)> handler)
    {
        closedHandler_ = std::move(handler);
    }
    /** Sets the secrets of connections made from now on; existing links are kept. */
    void setSecrets(SharedSecrets secrets) { secrets_ = std::move(secrets); }

    /** Returns the transport port for decision modules; valid during this object's lifetime. */
    PeerTransport transport();
    void send(const PeerAddress &to, std::string frame);
    /** Sets up a link if there is none, so that the first frame does not have to wait for it. */
    void connect(const PeerAddress &to);
    /** Closes all links and stops listening; afterwards the io_context has no more work. */
    void stop();

    /** Returns true if a link to the peer is ready; one that stops receiving is closed in seconds.
     */
    bool isLinked(const PeerAddress &peer) const { return ready_.count(peer) > 0; }
    std::size_t linkCount() const { return links_.size(); }
    /** Returns the number of bytes that wait to be sent, here or in a connection. */
    std::size_t unsentBytes() const;
    const PeerLinksStats &stats() const { return stats_; }

private:
    using Handle = websocketpp::connection_hdl;
    using LinkPtr = std::shared_ptr<PeerLink>;
    using Links = std::map<Handle, LinkPtr, std::owner_less<Handle>>;

    /** Frames waiting for one peer. */
    struct Queue
    {
        std::deque<std::string> frames;
        std::size_t bytes = 0;
        Millis nonEmptySince;
        Millis nextDialAt;
    };

    /** Returns a handler that does nothing after this object's destruction: connections outlive it.
     */
    template<typename Function>
    auto whileAlive(Function function)
    {
        return [alive = std::weak_ptr<bool>(alive_), function](const auto &...arguments) {
            using Result = decltype(function(arguments...));
            if (alive.expired())
                return Result();
            return function(arguments...);
        };
    }

    void setHandlers();
    /** Bounds the connections that are in their websocket handshake; the oldest gives way. */
    void handleOpening(const Handle &handle);
    void removeOpening(const Handle &handle);
    template<typename Endpoint>
    void setCommonHandlers(Endpoint &endpoint);
    bool canAccept();
    void handleAccepted(const Handle &handle);
    void handleMessage(const Handle &handle, const std::string &bytes);
    void handleClosed(const Handle &handle);
    void refuse(const Handle &handle);

    void enqueue(const PeerAddress &to, std::string frame);
    void flush(const PeerAddress &to);
    LinkPtr readyLink(const PeerAddress &to) const;
    /** Removes a link from all tables without closing it. */
    LinkPtr removeLink(Links::iterator entry);
    /** An established link to a peer ended. */
    void noteClosed(const PeerAddress &peer);
    bool isDialling(const PeerAddress &to) const;
    void dial(const PeerAddress &to);
    void evictIfFull();

    /** Nothing waits to be sent, so that ticks only watch over open links. */
    bool isIdle() const;
    void scheduleTick();
    void tick();
    bool mustClose(PeerLink &link, Millis now);
    void dropExpiredQueues(Millis now);

    boost::asio::io_context &context_;
    PeerLinksConfig config_;
    SharedSecrets secrets_;
    Clock clock_;
    EventSink events_;
    FrameHandler handler_;
    std::function<void(const PeerAddress &)> closedHandler_;
    PeerAddress self_;
    detail::PeerServer server_;
    detail::PeerClient client_;
    boost::asio::steady_timer timer_;
    Links links_;
    /** Accepted connections whose websocket handshake is not complete, oldest first. */
    std::list<Handle> opening_;
    /** The newest ready link to each peer; looked up for each frame. */
    std::unordered_map<PeerAddress, LinkPtr> ready_;
    std::map<PeerAddress, Queue> queues_;
    PeerLinksStats stats_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool isStopped_ = false;
    bool isListening_ = false;
    bool hasIdleTick_ = false;
};

} // namespace cuminrail
