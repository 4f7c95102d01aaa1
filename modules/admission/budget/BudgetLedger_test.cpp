#include "admission/budget/BudgetLedger.h"

#include "core/core.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis::seconds(1000);

/** Instances with one limited customer, and a network that loses, duplicates or delays messages. */
struct Group
{
    struct Instance
    {
        InstanceId id;
        std::unique_ptr<BudgetLedger> ledger;
        CustomerUse use;
        LocalShare share;
        LocalShare credit;
    };
    struct InFlightMessage
    {
        std::size_t to;
        std::string frame;
        Millis arrives;
    };
    /** Returns the delay of each copy of a message that arrives; none when it is lost. */
    using Network = std::function<std::vector<Millis>(std::size_t from, std::size_t to)>;

    Group(std::size_t count, const CustomerLimits &limits)
    {
        AdmissionCustomer customer;
        customer.id = CustomerId("one");
        customer.limits = limits;
        customer.present = true;
        for (std::size_t i = 0; i < count; ++i) {
            instances.push_back(std::make_unique<Instance>());
            instances[i]->id = InstanceId("i" + std::to_string(i));
            ids.push_back(instances[i]->id);
        }
        for (std::size_t i = 0; i < count; ++i)
            startLedger(i, 1);
        for (auto &instance : instances) {
            instance->ledger->setMembers(ids, now);
            instance->ledger->setCustomers({customer}, now);
        }
    }

    void startLedger(std::size_t i, Incarnation incarnation)
    {
        Instance &self = *instances[i];
        BudgetHooks hooks;
        hooks.send = [this, i](const InstanceId &to, const std::string &frame) {
            const auto entry = std::find(ids.begin(), ids.end(), to);
            const auto target = static_cast<std::size_t>(entry - ids.begin());
            for (Millis delay : network(i, target))
                inFlight.push_back({target, frame, now + delay});
        };
        hooks.use = [&self](CustomerIndex) { return self.use; };
        hooks.setShare = [&self](CustomerIndex, const LocalShare &share) { self.share = share; };
        hooks.takeCredit = [&self](CustomerIndex, const LocalShare &wanted) {
            LocalShare removed;
            removed.requestsPerSecond =
                std::min(self.credit.requestsPerSecond, wanted.requestsPerSecond);
            self.credit.requestsPerSecond -= removed.requestsPerSecond;
            return removed;
        };
        hooks.addCredit = [&self](CustomerIndex, const LocalShare &credit) {
            self.credit.requestsPerSecond += credit.requestsPerSecond;
        };
        self.ledger = std::make_unique<BudgetLedger>(self.id, incarnation, BudgetOptions(), hooks,
                                                     seededRandom(50 + i));
    }

    void run(
        Millis time, const std::function<void()> &check = [] {})
    {
        const Millis end = now + time;
        for (; now < end; now += Millis(10)) {
            const std::vector<InFlightMessage> before = std::move(inFlight);
            inFlight.clear();
            for (const InFlightMessage &message : before) {
                if (message.arrives > now)
                    inFlight.push_back(message);
                else
                    instances[message.to]->ledger->handleFrame(message.frame, now);
            }
            if (now.count() % 100 == 0) {
                for (auto &instance : instances)
                    instance->ledger->poll(now);
            }
            check();
        }
    }

    double sum(double LocalShare::*part) const
    {
        double total = 0;
        for (const auto &instance : instances)
            total += instance->share.*part;
        return total;
    }

    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<InstanceId> ids;
    std::vector<InFlightMessage> inFlight;
    Network network = [](std::size_t, std::size_t) { return std::vector<Millis>{Millis(2)}; };
    Millis now = start;
};

constexpr auto concurrency = &LocalShare::concurrentRequests;
constexpr auto rate = &LocalShare::requestsPerSecond;

} // namespace

TEST_CASE("the parts of a limit add up to the limit for any number of instances")
{
    // Rounding, or instances that disagree on the holders of a small limit, would waste a part of
    // the limit or exceed it.
    for (std::size_t count : {1U, 2U, 3U, 6U, 24U}) {
        for (std::uint32_t limit : {1U, 2U, 7U, 10U, 100U}) {
            CAPTURE(count);
            CAPTURE(limit);
            Group group(count, {static_cast<double>(limit), limit, limit * 1000.0});
            CHECK(group.sum(concurrency) == doctest::Approx(limit));
            CHECK(group.sum(rate) == doctest::Approx(limit));
            CHECK(group.sum(&LocalShare::tokensPerSecond) == doctest::Approx(limit * 1000.0));
        }
    }
}

TEST_CASE("budget moves to the instance with the demand")
{
    // The load balancer sends all connections of a customer to one of six instances. With fixed
    // parts, requests would be refused above a sixth of the customer's limit.
    Group group(6, {600, 60, 0});
    group.instances[2]->use = {50, 0, 500, 0, true};
    group.run(Millis::seconds(3));
    CHECK(group.instances[2]->share.concurrentRequests >= 50);
    CHECK(group.instances[2]->share.requestsPerSecond >= 480);
    CHECK(group.sum(concurrency) <= 60);
    CHECK(group.sum(rate) <= 600.001);

    SUBCASE("and moves back when the demand ends")
    {
        group.instances[2]->use = {};
        group.run(Millis::seconds(7));
        for (const auto &instance : group.instances)
            CHECK(instance->share.concurrentRequests == doctest::Approx(10));
    }
    SUBCASE("and stays while the demand lasts")
    {
        group.run(Millis::seconds(20),
                  [&] { CHECK(group.instances[2]->share.concurrentRequests >= 50); });
    }
}

TEST_CASE("lost, duplicate and late messages never raise the sum above the limit")
{
    // A grant is lost, arrives twice, or arrives after the lender's loan has expired. Counted on
    // arrival, it would let a customer exceed its limit at the expense of others.
    struct Row
    {
        const char *what;
        Group::Network network;
    };
    auto random = std::make_shared<RandomHook>(seededRandom(3));
    const Row rows[] = {
        {"lost",
         [random](std::size_t, std::size_t) {
             return (*random)() % 2 == 0 ? std::vector<Millis>{} : std::vector<Millis>{Millis(5)};
         }},
        {"repeated",
         [](std::size_t, std::size_t) {
             return std::vector<Millis>{Millis(5), Millis(30), Millis(900)};
         }},
        {"late",
         [random](std::size_t, std::size_t) {
             return std::vector<Millis>{Millis(static_cast<std::int64_t>((*random)() % 7000))};
         }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Group group(5, {500, 50, 0});
        group.network = row.network;
        for (int phase = 0; phase < 6; ++phase) {
            for (std::size_t i = 0; i < 5; ++i) {
                const bool busy = (*random)() % 2 == 0;
                group.instances[i]->use = {busy ? 25U : 1U, 0, busy ? 200.0 : 5.0, 0, busy};
            }
            double greatestSum = 0;
            double greatestRateSum = 0;
            group.run(Millis::seconds(4), [&] {
                greatestSum = std::max(greatestSum, group.sum(concurrency));
                greatestRateSum = std::max(greatestRateSum, group.sum(rate));
            });
            CHECK(greatestSum <= 50);
            CHECK(greatestRateSum <= 500.001);
        }
    }
}

TEST_CASE("a delayed grant expires no later than the lender's record of the loan")
{
    // The network delays a grant by four seconds. Counted from its arrival, the borrower's loan
    // would last three seconds longer than the lender's, and both would use the same budget.
    Group group(2, {0, 40, 0});
    group.network = [](std::size_t from, std::size_t) {
        return std::vector<Millis>{from == 0 ? Millis(2) : Millis(4000)};
    };
    group.instances[0]->use = {20, 15, 0, 0, true};
    group.run(Millis(150));
    group.instances[0]->use = {};
    double greatestSum = 0;
    double greatestShare = 0;
    group.run(Millis::seconds(12), [&] {
        greatestSum = std::max(greatestSum, group.sum(concurrency));
        greatestShare = std::max(greatestShare, group.instances[0]->share.concurrentRequests);
    });
    CHECK(greatestShare > 30);
    CHECK(greatestSum <= 40);
}

TEST_CASE("a small rate is transferred one request at a time")
{
    // Two requests a second can't be divided into 24 useful parts. One instance holds the limit and
    // transfers credit to the others, so that a caller is served at whichever instance it reaches.
    Group group(24, {2, 0, 0});
    std::size_t holder = 0;
    for (std::size_t i = 0; i < 24; ++i) {
        if (group.instances[i]->share.requestsPerSecond > 0)
            holder = i;
    }
    group.instances[holder]->credit.requestsPerSecond = 4;
    const std::size_t other = (holder + 1) % 24;
    group.instances[other]->use = {0, 1, 0.5, 0, true};
    group.run(Millis(150));
    CHECK(group.instances[other]->credit.requestsPerSecond == doctest::Approx(1));
    CHECK(group.instances[holder]->credit.requestsPerSecond == doctest::Approx(3));
    CHECK(group.sum(rate) == doctest::Approx(2));
}

TEST_CASE("each partition uses at most the whole limit, and only after the hold-down")
{
    // The network splits six instances in two partitions. Both keep serving; the customer may get
    // up to twice its limit, but not before the hold-down has passed.
    Group group(6, {0, 60, 0});
    group.network = [](std::size_t from, std::size_t to) {
        return from / 3 == to / 3 ? std::vector<Millis>{Millis(2)} : std::vector<Millis>{};
    };
    for (std::size_t i = 0; i < 6; ++i) {
        const std::size_t first = i / 3 * 3;
        const std::vector<InstanceId> half(group.ids.begin() + static_cast<long>(first),
                                           group.ids.begin() + static_cast<long>(first) + 3);
        group.instances[i]->ledger->setMembers(half, group.now);
        group.instances[i]->use = {60, 5, 0, 0, true};
    }
    double greatestSum = 0;
    const auto watch = [&] { greatestSum = std::max(greatestSum, group.sum(concurrency)); };
    group.run(Millis::seconds(9), watch);
    CHECK(greatestSum <= 60);
    group.run(Millis::seconds(5), watch);
    CHECK(greatestSum <= 120);
    CHECK(greatestSum > 60);
}

TEST_CASE("a restarted instance does not use loans of its previous incarnation")
{
    // A grant for the previous incarnation would be counted without the request that it belongs to.
    Group group(3, {0, 30, 0});
    group.instances[1]->use = {20, 5, 0, 0, true};
    group.run(Millis::seconds(1));
    REQUIRE(group.instances[1]->share.concurrentRequests > 20);
    group.startLedger(1, 2);
    group.instances[1]->ledger->setMembers(group.ids, group.now);
    AdmissionCustomer customer;
    customer.id = CustomerId("one");
    customer.limits.concurrentRequests = 30;
    customer.present = true;
    group.instances[1]->ledger->setCustomers({customer}, group.now);
    CHECK(group.sum(concurrency) <= 30);
    group.run(Millis::seconds(2), [&] { CHECK(group.sum(concurrency) <= 30); });
}

TEST_CASE("malformed frames have no effect")
{
    // A faulty peer must neither crash the instance nor change a limit.
    Group group(2, {0, 10, 0});
    for (const char *frame : {"", "\xff", "{}", "\xa1\x61\x74\x01"}) {
        CHECK_FALSE(decodeBudgetMessage(frame).has_value());
        group.instances[0]->ledger->handleFrame(frame, group.now);
    }
    CHECK(group.sum(concurrency) == doctest::Approx(10));
}
