#include <doctest/doctest.h>

#include "quotas/book/QuotaBook.h"

using namespace cuminrail;

namespace {

constexpr Millis start = Millis(50000);
constexpr QuotaTolerance tolerance{Millis(8000), 0.1, 190000};
constexpr CustomerQuota quota{QuotaUnit::Tokens, 50000, 50000, 200};

QuotaBook bookOf(const CustomerQuota &each = quota)
{
    QuotaBook book(tolerance);
    book.setQuotas({{"north", each}}, start);
    book.setKeeperSince(start);
    return book;
}

} // namespace

// Guards against prompts that wait for ever behind short ones when their customer is over its
// quota.
TEST_CASE("long requests of a customer over its quota are refused no more often than short ones")
{
    QuotaBook book = bookOf();
    int asked[2] = {};
    int granted[2] = {};
    for (int i = 0; i < 4000; ++i) {
        const bool isLong = i % 10 == 0;
        const double cost = isLong ? 60000 : 10000;
        ++asked[isLong];
        granted[isLong] +=
            book.take("north", cost, false, start + Millis(100) * i).isGranted ? 1 : 0;
    }
    const double part = double(granted[0]) / asked[0];
    CHECK(part < 0.6);
    CHECK(double(granted[1]) / asked[1] > part / 2);
}

// Guards against refused callers that all come back at the same moment.
TEST_CASE("refused requests are told to come back one after another, and find room then")
{
    QuotaBook book = bookOf();
    Millis now = start;
    while (book.take("north", 20000, false, now).isGranted) { }
    Millis last;
    for (int i = 0; i < 4; ++i) {
        const QuotaOffer offer = book.take("north", 20000, false, now);
        REQUIRE(offer.comeBackAfter);
        CHECK(*offer.comeBackAfter > last);
        last = *offer.comeBackAfter;
    }
    CHECK(book.take("north", 20000, false, now + last).isGranted);
}

TEST_CASE("what a bucket grants follows from its quota")
{
    struct Row
    {
        const char *what;
        CustomerQuota quota;
        double cost;
        bool isGranted;
        bool saysWhen;
    };
    const CustomerQuota strict{QuotaUnit::Requests, 1, 2, 1};
    for (const Row &row : {Row{"a usual request", quota, 17000, true, false},
                           Row{"more than a bucket ever holds", quota, 900000, false, false},
                           Row{"one request", strict, 1, true, false}}) {
        CAPTURE(row.what);
        QuotaBook book = bookOf(row.quota);
        const QuotaOffer offer = book.take("north", row.cost, false, start + Millis(9000));
        CHECK(offer.isGranted == row.isGranted);
        CHECK(offer.comeBackAfter.has_value() == row.saysWhen);
        CHECK(book.take("south", row.cost, false, start).isGranted);
    }
}

// Guards against a bucket that fills again when requests give back what they did not use.
TEST_CASE("what is given back counts once, and never above the depth")
{
    QuotaBook book = bookOf();
    const Millis now = start + Millis(60000);
    book.take("north", 200, false, now);
    const double before = *book.level("north", now);
    book.take("north", 20000, false, now);
    book.charge("north", -20000, false, now);
    CHECK(*book.level("north", now) == doctest::Approx(before));
    book.charge("north", -500000, false, now);
    CHECK(*book.level("north", now) == doctest::Approx(before + 200));
}

// Guards against a lowered limit that binds only when what was saved up before is used.
TEST_CASE(
    "a lowered quota takes what was saved up under the former one, a raised one holds at once")
{
    QuotaBook book = bookOf();
    const Millis now = start + Millis(60000);
    book.take("north", 100, false, now);
    const CustomerQuota low{QuotaUnit::Tokens, 5000, 5000, 200};
    book.setQuotas({{"north", low}}, now);
    CHECK(*book.level("north", now) <= 5000 + QuotaBook::depthShare * tolerance.of(low));
    while (book.take("north", 10000, false, now).isGranted) { }
    book.setQuotas({{"north", quota}}, now);
    CHECK(book.take("north", 10000, false, now + Millis(2000)).isGranted);
    book.setQuotas({}, now);
    CHECK(book.buckets() == 0);
}

// Guards against a keeper that is only slow and a stand-in that both grant the whole quota.
TEST_CASE("a stand-in grants at half of the rate at first")
{
    const auto granted = [](bool isStandIn) {
        QuotaBook book = bookOf();
        double sum = 0;
        for (Millis at; at < QuotaBook::standInHoldsBack; at = at + Millis(50))
            sum += book.take("north", 5000, isStandIn, start + at).isGranted ? 5000 : 0;
        return sum;
    };
    // Both begin with the same small bucket, which is not halved.
    const double fresh = QuotaBook::freshShare * tolerance.of(quota);
    CHECK(granted(true) <= (granted(false) - fresh) / 2 + fresh + 5000);
}
