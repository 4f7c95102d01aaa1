#pragma once

#include "core/time/Millis.h"
#include "peerlink/auth/LinkHandshake.h"
#include "peerlink/link/PeerEndpoints.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cuminrail {

/** Time-outs and limits of links. */
struct PeerLinksConfig
{
    /** Maximum duration of the handshake. */
    Millis handshakeTimeout{3000};
    /** A link that received nothing for this long is pinged. */
    Millis pingAfter{5000};
    /** A link that received nothing for this long is closed and counted as silent. */
    Millis receiveTimeout{10000};
    /** A link that carried no frame for this long is closed. */
    Millis idleTimeout{60000};
    /** Minimum time between two attempts to connect to a peer. */
    Millis redialInterval{500};
    std::size_t maxLinks = 128;
    /** Maximum number of accepted connections that are not authenticated yet. */
    std::size_t maxUnauthenticated = 32;
    /** Maximum number of accepted connections in their websocket handshake; the oldest is closed.
     */
    std::size_t maxOpening = 32;
    /** Limits of the frames waiting for one peer; beyond them the oldest is dropped. */
    std::size_t maxQueuedFrames = 256;
    std::size_t maxQueuedBytes = 512 * 1024;
    /**
        Frames wait for a link that is not established. If not, they are dropped, also those that
        still wait when a link ends: a frame then never arrives after its sender gave up on the
       link.
    */
    bool waitsForLinks = true;
    /** Maximum number of bytes buffered in the connection; the rest stays in the queue. */
    std::size_t maxSocketBytes = 128 * 1024;
};

/**
    One connection between two instances, from its handshake to its end.

    Owned by PeerLinks and confined to its thread.
*/
class PeerLink
{
public:
    enum class State : std::uint8_t {
        Handshake,
        Ready,
        Closed,
    };

    /** Outcome of handling a received message. */
    struct MessageResult
    {
        /** An authenticated frame for the instance. */
        std::optional<std::string> frame;
        bool becameReady = false;
        /** The other end failed authentication, or its message is invalid. */
        bool isRefused = false;
    };

    PeerLink(detail::PeerConnection connection, AcceptingHandshake handshake, Millis now);
    PeerLink(detail::PeerConnection connection, ConnectingHandshake handshake, PeerAddress target,
             Millis now);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Handles the opening of the connection: the accepting end sends its challenge. */
    void handleOpen();
    MessageResult handleMessage(const std::string &bytes, Millis now);
    /** Records that a message or pong was received. */
    void recordActivity(Millis now) { lastReceivedAt_ = now; }
    /** Sends a frame over a ready link. */
    void send(const std::string &frame, Millis now);
    /** Sends a ping, which the other end's websocket library answers with a pong. */
    void ping(Millis now);
    void close();

    State state() const { return state_; }
    const PeerAddress &peer() const { return peer_; }
    bool isAccepted() const { return accepting_.has_value(); }
    Millis createdAt() const { return createdAt_; }
    Millis lastReceivedAt() const { return lastReceivedAt_; }
    Millis lastFrameAt() const { return lastFrameAt_; }
    Millis lastPingAt() const { return lastPingAt_; }
    std::size_t bufferedBytes() const { return connection_->get_buffered_amount(); }

private:
    MessageResult handleHandshakeMessage(const std::string &bytes);
    MessageResult becomeReady(LinkKeys keys);
    void write(const std::string &bytes);

    detail::PeerConnection connection_;
    std::optional<AcceptingHandshake> accepting_;
    std::optional<ConnectingHandshake> connecting_;
    bool hasAnsweredChallenge_ = false;
    LinkKeys keys_;
    PeerAddress peer_;
    State state_ = State::Handshake;
    Millis createdAt_;
    Millis lastReceivedAt_;
    Millis lastFrameAt_;
    Millis lastPingAt_;
};

} // namespace cuminrail
