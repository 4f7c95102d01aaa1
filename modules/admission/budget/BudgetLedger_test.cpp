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

/** Instances with one limited customer, and messages that a test can lose, repeat or delay. */
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
    struct Flying
    {
        std::size_t to;
        std::string frame;
        Millis arrives;
    };
    /** Returns the delays at which a message arrives: none for lost, two for repeated. */
    using Network = std::function<std::vector<Millis>(std::size_t from, std::size_t to)>;

    Group(std::size_t count, const CustomerLimits &limits)
    {
        AdmittedCustomer customer;
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
                flying.push_back({target, frame, now + delay});
        };
        hooks.use = [&self](CustomerIndex) { return self.use; };
        hooks.setShare = [&self](CustomerIndex, const LocalShare &share) { self.share = share; };
        hooks.takeCredit = [&self](CustomerIndex, const LocalShare &wanted) {
            LocalShare taken;
            taken.requestsPerSecond =
                std::min(self.credit.requestsPerSecond, wanted.requestsPerSecond);
            self.credit.requestsPerSecond -= taken.requestsPerSecond;
            return taken;
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
            const std::vector<Flying> before = std::move(flying);
            flying.clear();
            for (const Flying &message : before) {
                if (message.arrives > now)
                    flying.push_back(message);
                else
                    instances[message.to]->ledger->receive(message.frame, now);
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
    std::vector<Flying> flying;
    Network network = [](std::size_t, std::size_t) { return std::vector<Millis>{Millis(2)}; };
    Millis now = start;
};

constexpr auto concurrency = &LocalShare::concurrentRequests;
constexpr auto rate = &LocalShare::requestsPerSecond;

} // namespace

TEST_CASE("the parts of a limit add up to the whole, whatever the number of instances")
{
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

TEST_CASE("budget moves to where the demand is")
{
    // The balancer sends all of a customer's connections to one instance. With fixed parts it
    // would be refused at a sixth of what it pays for.
    Group group(6, {600, 60, 0});
    group.instances[2]->use = {50, 0, 500, 0, true};
    group.run(Millis::seconds(3));
    CHECK(group.instances[2]->share.concurrentRequests >= 50);
    CHECK(group.instances[2]->share.requestsPerSecond >= 480);
    CHECK(group.sum(concurrency) <= 60);
    CHECK(group.sum(rate) <= 600.001);

    SUBCASE("and back when the demand is over")
    {
        group.instances[2]->use = {};
        group.run(Millis::seconds(7));
        for (const auto &instance : group.instances)
            CHECK(instance->share.concurrentRequests == doctest::Approx(10));
    }
    SUBCASE("and stays while the work goes on")
    {
        group.run(Millis::seconds(20),
                  [&] { CHECK(group.instances[2]->share.concurrentRequests >= 50); });
    }
}

TEST_CASE("lost, repeated and late messages never raise the sum above the limit")
{
    // A grant is lost, comes twice, or comes after the lender has taken the loan back. Were it
    // counted on arrival, customers would run more than they may, at the cost of others.
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
            double worst = 0;
            double worstRate = 0;
            group.run(Millis::seconds(4), [&] {
                worst = std::max(worst, group.sum(concurrency));
                worstRate = std::max(worstRate, group.sum(rate));
            });
            CHECK(worst <= 50);
            CHECK(worstRate <= 500.001);
        }
    }
}

TEST_CASE("a grant that was long on its way ends no later than the lender's part of it")
{
    // The network holds a grant back for four seconds. Counted from its arrival, the loan would
    // go on for three seconds after the lender had taken it back, and both would use it.
    Group group(2, {0, 40, 0});
    group.network = [](std::size_t from, std::size_t) {
        return std::vector<Millis>{from == 0 ? Millis(2) : Millis(4000)};
    };
    group.instances[0]->use = {20, 15, 0, 0, true};
    group.run(Millis(150));
    group.instances[0]->use = {};
    double worst = 0;
    double most = 0;
    group.run(Millis::seconds(12), [&] {
        worst = std::max(worst, group.sum(concurrency));
        most = std::max(most, group.instances[0]->share.concurrentRequests);
    });
    CHECK(most > 30);
    CHECK(worst <= 40);
}

TEST_CASE("a small rate is handed over request by request")
{
    // Two requests a second cannot be cut into 24 useful parts. They lie at one instance, and the
    // others get credit from there, so that a caller is served wherever the balancer sends it.
    Group group(24, {2, 0, 0});
    std::size_t home = 0;
    for (std::size_t i = 0; i < 24; ++i) {
        if (group.instances[i]->share.requestsPerSecond > 0)
            home = i;
    }
    group.instances[home]->credit.requestsPerSecond = 4;
    const std::size_t other = (home + 1) % 24;
    group.instances[other]->use = {0, 1, 0.5, 0, true};
    group.run(Millis(150));
    CHECK(group.instances[other]->credit.requestsPerSecond == doctest::Approx(1));
    CHECK(group.instances[home]->credit.requestsPerSecond == doctest::Approx(3));
    CHECK(group.sum(rate) == doctest::Approx(2));
}

TEST_CASE("instances that are cut off use at most the limit once per group")
{
    // The network splits six instances in two groups. Each group keeps serving; the customer may
    // get up to twice its limit, and not before the hold-down is over.
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
    double worst = 0;
    const auto watch = [&] { worst = std::max(worst, group.sum(concurrency)); };
    group.run(Millis::seconds(9), watch);
    CHECK(worst <= 60);
    group.run(Millis::seconds(5), watch);
    CHECK(worst <= 120);
    CHECK(worst > 60);
}

TEST_CASE("a restarted instance neither answers nor uses what its earlier life was lent")
{
    Group group(3, {0, 30, 0});
    group.instances[1]->use = {20, 5, 0, 0, true};
    group.run(Millis::seconds(1));
    REQUIRE(group.instances[1]->share.concurrentRequests > 20);
    group.startLedger(1, 2);
    group.instances[1]->ledger->setMembers(group.ids, group.now);
    AdmittedCustomer customer;
    customer.id = CustomerId("one");
    customer.limits.concurrentRequests = 30;
    customer.present = true;
    group.instances[1]->ledger->setCustomers({customer}, group.now);
    CHECK(group.sum(concurrency) <= 30);
    group.run(Millis::seconds(2), [&] { CHECK(group.sum(concurrency) <= 30); });
}

TEST_CASE("malformed frames change nothing")
{
    Group group(2, {0, 10, 0});
    for (const char *frame : {"", "\xff", "{}", "\xa1\x61\x74\x01"}) {
        CHECK_FALSE(decodeBudgetMessage(frame).has_value());
        group.instances[0]->ledger->receive(frame, group.now);
    }
    CHECK(group.sum(concurrency) == doctest::Approx(10));
}
