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
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** Counters since the start, for metrics and tests. */
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
};

/**
    All links of one instance: connects on demand, accepts, authenticates, bounds and replaces.

    Runs on one io_context, which the control thread runs. A link is used both ways: an answer
    goes back over the connection that the question came on. What is sent while a peer cannot be
    reached waits in a bounded queue, from which the oldest is dropped.
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
        Listens on an IP number and port, port 0 for any free one.

        @param advertised  the address that peers use, empty for the one listened on
        @returns the address that peers use, or nothing and a reason
    */
    std::optional<PeerAddress> listen(const PeerAddress &address, PeerAddress advertised,
                                      Reason *lastReason = nullptr);
    void setFrameHandler(FrameHandler handler) { handler_ = std::move(handler); }
    /** Sets other secrets for connections made from now on; existing ones stay. */
    void setSecrets(SharedSecrets secrets) { secrets_ = std::move(secrets); }

    /** Returns the port for decision modules; valid as long as this object. */
    PeerTransport transport();
    void send(const PeerAddress &to, std::string frame);
    /** Sets up a link if there is none, so that the first frame need not wait for that. */
    void connect(const PeerAddress &to);
    /** Closes all links and stops listening; the io_context then runs out of work. */
    void stop();

    /** Whether a link to the peer is ready; one that fell silent is closed within seconds. */
    bool isLinked(const PeerAddress &peer) const { return ready_.count(peer) > 0; }
    std::size_t linkCount() const { return links_.size(); }
    const PeerLinksStats &stats() const { return stats_; }

private:
    using Handle = websocketpp::connection_hdl;
    using LinkPtr = std::shared_ptr<PeerLink>;
    using Links = std::map<Handle, LinkPtr, std::owner_less<Handle>>;

    /** What waits for one peer. */
    struct Queue
    {
        std::deque<std::string> frames;
        std::size_t bytes = 0;
        Millis since;
        Millis nextDialAt;
    };

    /** Returns a handler that does nothing once this object is gone: connections outlive it. */
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
    template<typename Endpoint>
    void setCommonHandlers(Endpoint &endpoint);
    bool mayAccept();
    void accepted(const Handle &handle);
    void received(const Handle &handle, const std::string &bytes);
    void ended(const Handle &handle);
    void refuse(const Handle &handle);

    void enqueue(const PeerAddress &to, std::string frame);
    void flush(const PeerAddress &to);
    LinkPtr readyLink(const PeerAddress &to) const;
    /** Takes a link out of all tables; it is not closed. */
    LinkPtr forget(Links::iterator entry);
    bool isDialling(const PeerAddress &to) const;
    void dial(const PeerAddress &to);
    void makeRoom();

    void scheduleTick();
    void tick();
    bool mustClose(PeerLink &link, Millis now);
    void dropOldQueues(Millis now);

    boost::asio::io_context &context_;
    PeerLinksConfig config_;
    SharedSecrets secrets_;
    Clock clock_;
    EventSink events_;
    FrameHandler handler_;
    PeerAddress self_;
    detail::PeerServer server_;
    detail::PeerClient client_;
    boost::asio::steady_timer timer_;
    Links links_;
    /** The newest ready link to each peer; looked up for each frame. */
    std::unordered_map<PeerAddress, LinkPtr> ready_;
    std::map<PeerAddress, Queue> queues_;
    PeerLinksStats stats_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool isStopped_ = false;
    bool isListening_ = false;
};

} // namespace cuminrail
