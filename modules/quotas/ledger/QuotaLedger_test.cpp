#include <doctest/doctest.h>

#include "quotas/ledger/QuotaLedger.h"

using namespace cuminrail;

namespace {

constexpr Millis start = Millis(50000);
constexpr QuotaTolerance tolerance{Millis(8000), 0.1, 190000};
constexpr CustomerQuota quota{QuotaUnit::Tokens, 50000, 50000, 200};

QuotaLedger ledgerOf(const CustomerQuota &each = quota)
{
    QuotaLedger ledger(tolerance);
    ledger.setQuotas({{"north", each}}, start);
    ledger.setOwnershipStartedAt(start);
    return ledger;
}

} // namespace

// Guards against starvation of long prompts by short ones while their customer exceeds its quota.
TEST_CASE("long requests of a customer over its quota are not starved by short ones")
{
    QuotaLedger ledger = ledgerOf();
    int attempts[2] = {};
    int granted[2] = {};
    for (int i = 0; i < 4000; ++i) {
        const bool isLong = i % 10 == 0;
        const double cost = isLong ? 60000 : 10000;
        ++attempts[isLong];
        granted[isLong] +=
            ledger.take("north", cost, false, start + Millis(100) * i).isGranted ? 1 : 0;
    }
    const double grantedShare = double(granted[0]) / attempts[0];
    CHECK(grantedShare < 0.6);
    CHECK(double(granted[1]) / attempts[1] > grantedShare / 2);
}

// Guards against refused callers that all retry at the same moment.
TEST_CASE("retry times of refused requests are staggered, and a retry at that time is granted")
{
    QuotaLedger ledger = ledgerOf();
    Millis now = start;
    while (ledger.take("north", 20000, false, now).isGranted) { }
    Millis latest;
    for (int i = 0; i < 4; ++i) {
        const QuotaDecision decision = ledger.take("north", 20000, false, now);
        REQUIRE(decision.retryAfter);
        CHECK(*decision.retryAfter > latest);
        latest = *decision.retryAfter;
    }
    CHECK(ledger.take("north", 20000, false, now + latest).isGranted);
}

TEST_CASE("a bucket grants only requests that its quota can cover")
{
    struct Row
    {
        const char *what;
        CustomerQuota quota;
        double cost;
        bool isGranted;
        bool hasRetryAfter;
    };
    const CustomerQuota strict{QuotaUnit::Requests, 1, 2, 1};
    for (const Row &row : {Row{"a typical request", quota, 17000, true, false},
                           Row{"more than the bucket can ever cover", quota, 900000, false, false},
                           Row{"one request", strict, 1, true, false}}) {
        CAPTURE(row.what);
        QuotaLedger ledger = ledgerOf(row.quota);
        const QuotaDecision decision = ledger.take("north", row.cost, false, start + Millis(9000));
        CHECK(decision.isGranted == row.isGranted);
        CHECK(decision.retryAfter.has_value() == row.hasRetryAfter);
        CHECK(ledger.take("south", row.cost, false, start).isGranted);
    }
}

// Guards against a bucket that is overfilled by the return of unused grants.
TEST_CASE("a returned grant counts once, and never fills a bucket above its depth")
{
    QuotaLedger ledger = ledgerOf();
    const Millis now = start + Millis(60000);
    ledger.take("north", 200, false, now);
    const double before = *ledger.level("north", now);
    ledger.take("north", 20000, false, now);
    ledger.charge("north", -20000, false, now);
    CHECK(*ledger.level("north", now) == doctest::Approx(before));
    ledger.charge("north", -500000, false, now);
    CHECK(*ledger.level("north", now) == doctest::Approx(before + 200));
}

// Guards against a lowered quota that takes effect only once the saved burst is used up.
TEST_CASE("a lowered quota cuts the saved burst at once, and a raised one applies at once")
{
    QuotaLedger ledger = ledgerOf();
    const Millis now = start + Millis(60000);
    ledger.take("north", 100, false, now);
    const CustomerQuota low{QuotaUnit::Tokens, 5000, 5000, 200};
    ledger.setQuotas({{"north", low}}, now);
    CHECK(*ledger.level("north", now) <= 5000 + QuotaLedger::depthShare * tolerance.of(low));
    while (ledger.take("north", 10000, false, now).isGranted) { }
    ledger.setQuotas({{"north", quota}}, now);
    CHECK(ledger.take("north", 10000, false, now + Millis(2000)).isGranted);
    ledger.setQuotas({}, now);
    CHECK(ledger.buckets() == 0);
}

// Guards against a slow primary owner and its substitute that both grant the whole quota.
TEST_CASE("a substitute grants at half the rate at first")
{
    const auto granted = [](bool isSubstitute) {
        QuotaLedger ledger = ledgerOf();
        double sum = 0;
        for (Millis at; at < QuotaLedger::substitutePeriod; at = at + Millis(50))
            sum += ledger.take("north", 5000, isSubstitute, start + at).isGranted ? 5000 : 0;
        return sum;
    };
    // Both start with the same small initial level, which is not halved.
    const double fresh = QuotaLedger::initialShare * tolerance.of(quota);
    CHECK(granted(true) <= (granted(false) - fresh) / 2 + fresh + 5000);
}

// An idle customer must not refill at the rate that held when it last sent something.
TEST_CASE("a bucket refills at the full rate from the moment on at which all are in reach")
{
    QuotaLedger ledger = ledgerOf();
    const auto drain = [&](Millis now) {
        while (ledger.take("north", 10000, false, now).isGranted) { }
        return ledger.level("north", now).value();
    };
    const double full = drain(start);
    const double refilled = ledger.level("north", start + Millis(200)).value() - full;
    ledger.setReachableShare(0.5, start + Millis(200));
    const double before = drain(start + Millis(200));
    ledger.setReachableShare(1, start + Millis(200));
    const double after = ledger.level("north", start + Millis(400)).value() - before;
    CHECK(after == doctest::Approx(refilled));
}
