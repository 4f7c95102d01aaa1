#include "peerlink/link/PeerLink.h"

#include <utility>

namespace cuminrail {

PeerLink::PeerLink(detail::PeerConnection connection, AcceptingHandshake handshake, Millis now)
    : connection_(std::move(connection)), accepting_(std::move(handshake)), createdAt_(now),
      lastReceivedAt_(now), lastFrameAt_(now)
{ }

PeerLink::PeerLink(detail::PeerConnection connection, ConnectingHandshake handshake,
                   PeerAddress target, Millis now)
    : connection_(std::move(connection)), connecting_(std::move(handshake)),
      peer_(std::move(target)), createdAt_(now), lastReceivedAt_(now), lastFrameAt_(now)
{ }

void PeerLink::opened()
{
    if (accepting_)
        write(accepting_->challenge());
}

PeerLink::Received PeerLink::receive(const std::string &bytes, Millis now)
{
    noteProgress(now);
    if (state_ == State::Handshake)
        return receiveHandshake(bytes);
    Received received;
    if (state_ == State::Closed)
        return received;
    received.frame = keys_.incoming->open(bytes);
    received.isRefused = !received.frame;
    if (received.frame)
        lastFrameAt_ = now;
    return received;
}

PeerLink::Received PeerLink::receiveHandshake(const std::string &bytes)
{
    Received refused;
    refused.isRefused = true;
    if (accepting_) {
        auto result = accepting_->accept(bytes);
        if (!result)
            return refused;
        write(result->answer);
        return becomeReady(std::move(result->keys));
    }
    if (!hasAnsweredChallenge_) {
        const auto answer = connecting_->answer(bytes);
        if (!answer)
            return refused;
        hasAnsweredChallenge_ = true;
        write(*answer);
        return {};
    }
    auto keys = connecting_->finish(bytes);
    return keys ? becomeReady(std::move(*keys)) : std::move(refused);
}

PeerLink::Received PeerLink::becomeReady(LinkKeys keys)
{
    keys_ = std::move(keys);
    peer_ = keys_.peer;
    state_ = State::Ready;
    Received received;
    received.becameReady = true;
    return received;
}

void PeerLink::send(const std::string &frame, Millis now)
{
    lastFrameAt_ = now;
    write(keys_.outgoing->seal(frame));
}

void PeerLink::write(const std::string &bytes)
{
    websocketpp::lib::error_code ignored; // a connection that is going away loses frames
    ignored = connection_->send(bytes, websocketpp::frame::opcode::binary);
}

void PeerLink::ping(Millis now)
{
    lastPingAt_ = now;
    websocketpp::lib::error_code ignored;
    connection_->ping("", ignored);
}

void PeerLink::close()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    websocketpp::lib::error_code ignored;
    connection_->close(websocketpp::close::status::normal, "", ignored);
}

} // namespace cuminrail
