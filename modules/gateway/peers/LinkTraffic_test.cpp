#include <doctest/doctest.h>

#include "gateway/peers/LinkTraffic.h"

#include <string>

using namespace cuminrail;

// Guards against control traffic that grows with the system and shows in no metric.
TEST_CASE("frames are counted by purpose and direction, and sent unchanged")
{
    LinkTraffic traffic;
    std::string lastFrame;
    PeerTransport transport;
    transport.send = [&](const PeerAddress &, std::string frame) { lastFrame = std::move(frame); };
    const PeerTransport feeds = traffic.counted(LinkPurpose::Feeds, transport);
    feeds.send("a:1", "four");
    feeds.send("b:1", "sevenbs");
    traffic.recordReceived(LinkPurpose::Usage, 10);
    CHECK(lastFrame == "sevenbs");
    CHECK(traffic.sent(LinkPurpose::Feeds).frames == 2);
    CHECK(traffic.sent(LinkPurpose::Feeds).bytes == 11);
    CHECK(traffic.sent(LinkPurpose::Usage).frames == 0);
    CHECK(traffic.received(LinkPurpose::Usage).bytes == 10);
}
