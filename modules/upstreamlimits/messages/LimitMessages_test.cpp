#include <doctest/doctest.h>

#include "upstreamlimits/messages/LimitMessages.h"

using namespace cuminrail;

TEST_CASE("each limit message decodes to what was encoded")
{
    for (const std::optional<double> rate :
         {std::optional<double>(1.125), std::optional<double>()}) {
        const LimitAnnouncement written{true,
                                        {{7, 3.0, Millis(1)}, {UINT64_MAX, rate, Millis(70)}}};
        const auto read = decodeLimitMessage(encodeLimitMessage(written));
        REQUIRE(read);
        const auto &announcement = std::get<LimitAnnouncement>(*read);
        CHECK(announcement.isReport);
        REQUIRE(announcement.limits.size() == 2);
        CHECK(announcement.limits[0].perSecond == 3.0);
        CHECK(announcement.limits[1].incarnation == UINT64_MAX);
        CHECK(announcement.limits[1].perSecond == rate);
        CHECK(announcement.limits[1].age == Millis(70));
    }
    const std::string bytes("\0\xff\x41 any", 7);
    const auto quota = decodeLimitMessage(encodeLimitMessage(LimitQuotaFrame{bytes}));
    REQUIRE(quota);
    CHECK(std::get<LimitQuotaFrame>(*quota).frame == bytes);
}

// Guards against truncated, foreign or out-of-bounds frames that would limit an upstream.
TEST_CASE("incomplete or out-of-bounds limit messages are rejected")
{
    const std::string good = encodeLimitMessage(LimitAnnouncement{false, {{7, 1.0, Millis(70)}}});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeLimitMessage(good.substr(0, length)));
    CHECK_FALSE(decodeLimitMessage(good + "x"));
    CHECK_FALSE(decodeLimitMessage(
        encodeLimitMessage(LimitQuotaFrame{std::string(LimitMessageLimits::frameBytes + 1, 'x')})));
    CHECK_FALSE(decodeLimitMessage(encodeLimitMessage(
        LimitAnnouncement{false, std::vector<AnnouncedLimit>(LimitMessageLimits::limits + 1)})));
}
