#include <doctest/doctest.h>

#include "quotas/messages/QuotaMessages.h"

using namespace cuminrail;

TEST_CASE("each quota message decodes to what was encoded")
{
    const auto query = decodeQuotaMessage(encodeQuotaMessage(QuotaQuery{7, "north", 17020}));
    REQUIRE(query);
    CHECK(std::get<QuotaQuery>(*query).number == 7);
    CHECK(std::get<QuotaQuery>(*query).customer == "north");
    CHECK(std::get<QuotaQuery>(*query).cost == 17020);
    const auto reply = decodeQuotaMessage(encodeQuotaMessage(QuotaReply{7, false, 350, 12}));
    REQUIRE(reply);
    CHECK_FALSE(std::get<QuotaReply>(*reply).isGranted);
    CHECK(std::get<QuotaReply>(*reply).retryAfterMillis == 350);
    CHECK(std::get<QuotaReply>(*reply).level == 12);
    const auto charge = decodeQuotaMessage(encodeQuotaMessage(QuotaCharge{"north", 200, true}));
    REQUIRE(charge);
    CHECK(std::get<QuotaCharge>(*charge).cost == 200);
    CHECK(std::get<QuotaCharge>(*charge).isGivenBack);
}

// Guards against truncated, foreign or out-of-bounds frames that would be charged as use.
TEST_CASE("incomplete or out-of-bounds quota messages are rejected")
{
    const std::string good = encodeQuotaMessage(QuotaCharge{"north", 200, false});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeQuotaMessage(good.substr(0, length)));
    CHECK_FALSE(decodeQuotaMessage(good + "x"));
    CHECK_FALSE(decodeQuotaMessage(
        encodeQuotaMessage(QuotaCharge{"north", QuotaMessageLimits::cost + 1, false})));
    CHECK_FALSE(decodeQuotaMessage(encodeQuotaMessage(QuotaCharge{"", 200, false})));
}
