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

void PeerLink::handleOpen()
{
    if (accepting_)
        write(accepting_->challenge());
}

PeerLink::MessageResult PeerLink::handleMessage(const std::string &bytes, Millis now)
{
    recordActivity(now);
    if (state_ == State::Handshake)
        return handleHandshakeMessage(bytes);
    MessageResult result;
    if (state_ == State::Closed)
        return result;
    result.frame = keys_.incoming->open(bytes);
    result.isRefused = !result.frame;
    if (result.frame)
        lastFrameAt_ = now;
    return result;
}

PeerLink::MessageResult PeerLink::handleHandshakeMessage(const std::string &bytes)
{
    MessageResult refused;
    refused.isRefused = true;
    if (accepting_) {
        auto result = accepting_->accept(bytes);
        if (!result)
            return refused;
        write(result->proof);
        return becomeReady(std::move(result->keys));
    }
    if (!hasAnsweredChallenge_) {
        const auto response = connecting_->respond(bytes);
        if (!response)
            return refused;
        hasAnsweredChallenge_ = true;
        write(*response);
        return {};
    }
    auto keys = connecting_->finish(bytes);
    return keys ? becomeReady(std::move(*keys)) : std::move(refused);
}

PeerLink::MessageResult PeerLink::becomeReady(LinkKeys keys)
{
    keys_ = std::move(keys);
    peer_ = keys_.peer;
    state_ = State::Ready;
    MessageResult result;
    result.becameReady = true;
    return result;
}

void PeerLink::send(const std::string &frame, Millis now)
{
    lastFrameAt_ = now;
    write(keys_.outgoing->seal(frame));
}

void PeerLink::write(const std::string &bytes)
{
    websocketpp::lib::error_code ignored; // a closing connection may lose frames
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
