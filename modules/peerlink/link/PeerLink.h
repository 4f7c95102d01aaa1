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

/** Spans and bounds of links. */
struct PeerLinksConfig
{
    /** How long a connection may take to prove the secret. */
    Millis handshakeTimeout{3000};
    /** A link that received nothing for this long is asked for a sign of life. */
    Millis pingAfter{5000};
    /** A link that received nothing for this long is given up. */
    Millis silentAfter{10000};
    /** A link that carried no frame for this long is closed. */
    Millis idleAfter{60000};
    /** How soon a connection that failed is tried again. */
    Millis dialAgainAfter{500};
    std::size_t maxLinks = 128;
    /** Accepted connections that have not proved the secret yet. */
    std::size_t maxStrangers = 32;
    /** What may wait for one peer; beyond that the oldest is dropped. */
    std::size_t maxQueuedFrames = 256;
    std::size_t maxQueuedBytes = 512 * 1024;
    /** How much of it is handed to the socket at a time. */
    std::size_t maxSocketBytes = 128 * 1024;
};

/**
    One connection between two instances, from its handshake to its end.

    Belongs to PeerLinks, on one thread.
*/
class PeerLink
{
public:
    enum class State : std::uint8_t {
        Handshake,
        Ready,
        Closed,
    };

    /** What is to be done after bytes arrived. */
    struct Received
    {
        /** An authenticated frame for the instance. */
        std::optional<std::string> frame;
        bool becameReady = false;
        /** The other end is a stranger, or what it sent is not what a peer sends. */
        bool isRefused = false;
    };

    PeerLink(detail::PeerConnection connection, AcceptingHandshake handshake, Millis now);
    PeerLink(detail::PeerConnection connection, ConnectingHandshake handshake, PeerAddress target,
             Millis now);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** The connection is open: an accepting end sends its challenge. */
    void opened();
    Received receive(const std::string &bytes, Millis now);
    /** Anything arrived, be it a pong: the connection makes progress. */
    void noteProgress(Millis now) { lastReceivedAt_ = now; }
    /** Sends a frame over a ready link. */
    void send(const std::string &frame, Millis now);
    /** Asks for a sign of life, which the other end's library gives. */
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
    Received receiveHandshake(const std::string &bytes);
    Received becomeReady(LinkKeys keys);
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
