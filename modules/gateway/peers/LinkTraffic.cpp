#include "gateway/peers/LinkTraffic.h"

#include <utility>

namespace cuminrail {

namespace {

void record(FrameCount &count, std::size_t bytes)
{
    ++count.frames;
    count.bytes += bytes;
}

} // namespace

PeerTransport LinkTraffic::counted(LinkPurpose purpose, const PeerTransport &transport)
{
    PeerTransport counting;
    counting.send = [this, purpose, send = transport.send](const PeerAddress &to,
                                                           std::string frame) {
        record(sent_[indexOf(purpose)], frame.size());
        send(to, std::move(frame));
    };
    return counting;
}

void LinkTraffic::recordReceived(LinkPurpose purpose, std::size_t bytes)
{
    record(received_[indexOf(purpose)], bytes);
}

} // namespace cuminrail
