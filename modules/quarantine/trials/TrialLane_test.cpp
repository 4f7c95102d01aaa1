#include "quarantine/trials/TrialLane.h"

#include "keepers/testing/FrameNetwork.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using cuminrail::testing::FrameNetwork;

// Guards against two trials at once, as a replaced owner's grant comes late.
TEST_CASE("a grant of an owner that was replaced is returned")
{
    Millis now(1000);
    OwnerRanking owners;
    owners.setPeers(FrameNetwork::peersOf(0, 24));
    std::vector<PeerAddress> asked;
    std::vector<PeerAddress> returned;
    TrialLane lane(
        Clock([&now] { return now; }), owners,
        {[&asked](const PeerAddress &owner, const ContentFingerprint &) { asked.push_back(owner); },
         [&returned](const PeerAddress &owner, const ContentFingerprint &) {
             returned.push_back(owner);
         }});
    const ContentFingerprint content = ContentFingerprint::ofPart("m", "9");
    const auto isOtherAsked = [&] { return !asked.empty() && asked.back() != asked.front(); };
    for (int i = 0; i < 20 && !isOtherAsked(); ++i) {
        CHECK_FALSE(lane.take(content));
        now = now + TrialLane::replyTimeout;
    }
    REQUIRE(isOtherAsked());
    lane.onReply(asked.back(), content, true);
    CHECK(lane.take(content));
    lane.onReply(asked.front(), content, true);
    CHECK(returned == std::vector<PeerAddress>{asked.front()});
    CHECK_FALSE(lane.take(content));
}
