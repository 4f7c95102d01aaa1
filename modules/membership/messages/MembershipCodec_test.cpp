#include "membership/membership.h"
#include "membership/messages/CborArrayReader.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

MessageSender sender()
{
    MessageSender result;
    result.self.id = InstanceId("a-1");
    result.self.incarnation = 4;
    result.self.address = "10.0.0.1:7100";
    result.settings = SettingsDigest{12, Millis(800)};
    return result;
}

std::vector<MembershipMessage> examples()
{
    MemberRecord other = sender().self;
    other.id = InstanceId("b-1");
    other.status = MemberStatus::Suspect;
    const Gossip gossip{{other}, {UrgentFact{UrgentFactKind::UpstreamLeaving, "engine-1", 3}}};
    return {PingMessage{sender(), 5, gossip},
            AckMessage{sender(), 5, InstanceId("a-1"), gossip},
            PingRequestMessage{sender(), 6, InstanceId("b-1")},
            SyncRequestMessage{sender(), {TableSummaryEntry{1, 2}, TableSummaryEntry{3, 4}}, false},
            SyncReplyMessage{sender(), gossip},
            UrgentMessage{sender(), gossip}};
}

} // namespace

TEST_CASE("messages survive encoding and decoding unchanged")
{
    for (const MembershipMessage &message : examples()) {
        const std::string frame = encodeMembership(message);
        CHECK(frameChannel(frame) == FrameChannel::Membership);
        const auto decoded = decodeMembership(frame);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encodeMembership(*decoded) == frame);
    }
}

// A peer of another version, or a faulty one, sends a corrupted frame. If a part of it were
// accepted, the message could remove a member or announce a wrong key as withdrawn.
TEST_CASE("a corrupted frame is rejected as a whole")
{
    std::mt19937_64 random(3);
    std::size_t rejected = 0;
    std::size_t total = 0;
    for (const MembershipMessage &message : examples()) {
        const std::string frame = encodeMembership(message);
        for (std::size_t length = 0; length < frame.size(); ++length)
            CHECK_FALSE(decodeMembership(frame.substr(0, length)));
        CHECK_FALSE(decodeMembership(frame + '\0'));
        for (int i = 0; i < 300; ++i) {
            std::string corrupted = frame;
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
            const auto decoded = decodeMembership(corrupted);
            ++total;
            rejected += decoded ? 0 : 1;
        }
    }
    CHECK(rejected * 4
          > total); // the rest decode as other valid messages: one digit or letter differs
}

TEST_CASE("frames beyond the limits are rejected before they are decoded")
{
    const std::string nested(60000, '\x81');
    const std::string longArray = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
    const std::string longText = "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff";
    const std::string endless(40000, '\x9f');
    const std::string large(FrameLimits::bytes + 1, '\0');
    const std::string map = "\xa1\x01\x02";
    const std::string indefinite = "\x9f\x01\xff";
    for (const std::string &frame : {nested, longArray, longText, endless, large, map})
        CHECK_FALSE(decodeCbor(frame));
    for (const std::string &frame : {nested, longArray, map, indefinite, std::string()})
        CHECK_FALSE(decodeMembership(frame));
}
