#include <doctest/doctest.h>

#include "quotas/messages/QuotaMessages.h"

using namespace cuminrail;

TEST_CASE("each message reads back as it was written")
{
    const auto question = decodeQuotaMessage(encodeQuotaMessage(QuotaQuestion{7, "north", 17020}));
    REQUIRE(question);
    CHECK(std::get<QuotaQuestion>(*question).number == 7);
    CHECK(std::get<QuotaQuestion>(*question).customer == "north");
    CHECK(std::get<QuotaQuestion>(*question).cost == 17020);
    const auto answer = decodeQuotaMessage(encodeQuotaMessage(QuotaAnswer{7, false, 350, 12}));
    REQUIRE(answer);
    CHECK_FALSE(std::get<QuotaAnswer>(*answer).isGranted);
    CHECK(std::get<QuotaAnswer>(*answer).comeBackMillis == 350);
    CHECK(std::get<QuotaAnswer>(*answer).level == 12);
    const auto charge = decodeQuotaMessage(encodeQuotaMessage(QuotaCharge{"north", 200, true}));
    REQUIRE(charge);
    CHECK(std::get<QuotaCharge>(*charge).cost == 200);
    CHECK(std::get<QuotaCharge>(*charge).isGivenBack);
}

// Guards against frames of other formats, cut short or out of bounds, that would be taken for use.
TEST_CASE("what is no whole message within bounds is refused")
{
    const std::string good = encodeQuotaMessage(QuotaCharge{"north", 200, false});
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK_FALSE(decodeQuotaMessage(good.substr(0, length)));
    CHECK_FALSE(decodeQuotaMessage(good + "x"));
    CHECK_FALSE(decodeQuotaMessage(
        encodeQuotaMessage(QuotaCharge{"north", QuotaMessageLimits::cost + 1, false})));
    CHECK_FALSE(decodeQuotaMessage(encodeQuotaMessage(QuotaCharge{"", 200, false})));
}
