#include "admission/admission.h"

#include "core/core.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis::seconds(1000);

/** One instance with customers 0, 1, 2… at one pool, and requests that run one after another. */
struct Bench
{
    explicit Bench(std::size_t customers, AdmissionOptions options = {}) : controller(options)
    {
        settings.pools.resize(1);
        for (std::size_t i = 0; i < customers; ++i) {
            AdmittedCustomer customer;
            customer.id = CustomerId("c" + std::to_string(i));
            customer.present = true;
            settings.customers.push_back(customer);
        }
        controller.configure(settings, start);
    }

    void limit(CustomerIndex customer, const CustomerLimits &limits)
    {
        settings.customers[customer].limits = limits;
        controller.configure(settings, start);
    }

    AdmissionDecision submit(CustomerIndex customer, Millis now,
                             Priority priority = Priority::Batch, std::uint32_t tokens = 100,
                             Millis deadline = Millis::never())
    {
        AdmissionRequest request;
        request.customer = customer;
        request.pool = 0;
        request.priority = priority;
        request.promptTokens = tokens;
        request.maxOutputTokens = 100;
        request.deadline = deadline;
        const AdmissionDecision decision = controller.submit(request, now);
        owner[decision.ticket] = customer;
        if (decision.kind == AdmissionKind::Admitted)
            running.push_back(decision.ticket);
        return decision;
    }

    /** Finishes the oldest running request. Returns the customers admitted by that. */
    std::vector<CustomerIndex> finishOne(Millis now, std::uint32_t outputTokens = 100)
    {
        const AdmissionTicket done = running.front();
        running.pop_front();
        return take(controller.finished(done, outputTokens, now));
    }

    std::vector<CustomerIndex> take(const AdmissionChanges &changes)
    {
        std::vector<CustomerIndex> customers;
        for (AdmissionTicket ticket : changes.admitted) {
            running.push_back(ticket);
            customers.push_back(owner[ticket]);
        }
        return customers;
    }

    AdmissionSettings settings;
    AdmissionController controller;
    std::map<AdmissionTicket, CustomerIndex> owner;
    std::deque<AdmissionTicket> running;
};

} // namespace

TEST_CASE("a burst of one customer does not take the queue")
{
    // One customer sends 200 requests at once, another one sends 20 a moment later. First come,
    // first served would let the second one's people wait behind the whole burst.
    Bench bench(2);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 200; ++i)
        bench.submit(0, start);
    for (int i = 0; i < 20; ++i)
        bench.submit(1, start);
    int servedOfSecond = 0;
    for (int i = 0; i < 44; ++i) {
        for (CustomerIndex customer : bench.finishOne(start + Millis(i)))
            servedOfSecond += customer == 1 ? 1 : 0;
    }
    CHECK(servedOfSecond >= 19);
}

TEST_CASE("shares follow cost and weight, not the number of requests")
{
    // Customer 0 sends prompts ten times as long. By number of requests it would get ten times
    // the work done.
    Bench bench(2);
    bench.settings.customers[1].weight = 2;
    bench.controller.configure(bench.settings, start);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 300; ++i) {
        bench.submit(0, start, Priority::Batch, 4000);
        bench.submit(1, start, Priority::Batch, 400);
    }
    double cost[2] = {0, 0};
    for (int i = 0; i < 250; ++i) {
        for (CustomerIndex customer : bench.finishOne(start))
            cost[customer] += customer == 0 ? 4400 : 800;
    }
    CHECK(cost[1] / cost[0] > 1.7);
    CHECK(cost[1] / cost[0] < 2.3);
}

TEST_CASE("an idle customer saves up no credit")
{
    // Customer 1 was away while customer 0 had 500 requests served. If its unused share counted
    // on, customer 0 would get nothing at all until it is used up.
    Bench bench(2);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 600; ++i)
        bench.submit(0, start);
    for (int i = 0; i < 500; ++i)
        bench.finishOne(start);
    for (int i = 0; i < 100; ++i)
        bench.submit(1, start);
    int servedOfFirst = 0;
    for (int i = 0; i < 40; ++i) {
        for (CustomerIndex customer : bench.finishOne(start))
            servedOfFirst += customer == 0 ? 1 : 0;
    }
    CHECK(servedOfFirst >= 18);
}

TEST_CASE("capacity is not left idle while anybody waits")
{
    Bench bench(3);
    bench.controller.setCapacity(0, {4, 0, 0, 0});
    for (int i = 0; i < 50; ++i)
        bench.submit(2, start);
    for (int i = 0; i < 46; ++i) {
        CHECK(bench.running.size() == 4);
        bench.finishOne(start);
    }
}

TEST_CASE("an estimate that was too low is charged afterwards")
{
    // Customer 0 says little and its answers come out long; by estimates alone it would get far
    // more than its share.
    Bench bench(2);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 400; ++i) {
        bench.submit(0, start);
        bench.submit(1, start);
    }
    std::map<CustomerIndex, int> served;
    for (int i = 0; i < 200; ++i) {
        const CustomerIndex current = bench.owner[bench.running.front()];
        ++served[current];
        bench.finishOne(start, current == 0 ? 1000 : 100);
    }
    CHECK(served[1] > 5 * served[0]);
}

TEST_CASE("a request that cannot meet its target is refused at once, and truthfully early")
{
    // The queue already holds three seconds of prompts. A paralegal at the desk would wait, and
    // be told no in the end.
    Bench bench(2);
    bench.controller.setCapacity(0, {0, 1000, 0, 8000});
    for (int i = 0; i < 30; ++i)
        bench.submit(0, start, Priority::Batch, 100);
    const AdmissionDecision own = bench.submit(0, start, Priority::Interactive, 100);
    CHECK(own.kind == AdmissionKind::Queued);
    for (int i = 0; i < 5; ++i)
        bench.submit(0, start, Priority::Interactive, 300);
    const AdmissionDecision late = bench.submit(0, start, Priority::Interactive, 100);
    CHECK(late.kind == AdmissionKind::Refused);
    CHECK(late.code == RefusalCode::Overloaded);
    CHECK(late.retryAfter >= Millis::seconds(1));
    // Another customer's queue is short, so its request has a chance.
    CHECK(bench.submit(1, start, Priority::Interactive, 100).kind == AdmissionKind::Queued);
}

TEST_CASE("a waiting request that became hopeless is answered at once")
{
    // An engine stalls, so nothing is admitted any more. Requests must not wait for their
    // deadline to be told what is known already.
    Bench bench(1);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    bench.submit(0, start, Priority::Interactive);
    const AdmissionDecision waiting = bench.submit(0, start, Priority::Interactive);
    REQUIRE(waiting.kind == AdmissionKind::Queued);
    CHECK(bench.controller.tick(start + Millis(600)).refused.empty());
    const AdmissionChanges changes = bench.controller.tick(start + Millis(700));
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].ticket == waiting.ticket);
    CHECK(changes.refused[0].retryAfter >= Millis::seconds(1));
    CHECK(bench.controller.queued() == 0);
}

TEST_CASE("deadlines")
{
    Bench bench(1);
    bench.controller.setCapacity(0, {1, 1000, 0, 1000});
    bench.submit(0, start, Priority::Standard, 100);
    // 100 output tokens take about three seconds, reading two.
    CHECK(bench.submit(0, start, Priority::Batch, 2000, start + Millis::seconds(2)).code
          == RefusalCode::DeadlineUnreachable);
    CHECK(bench.submit(0, start, Priority::Batch, 2000, start + Millis::seconds(60)).kind
          == AdmissionKind::Queued);
}

TEST_CASE("within a customer the more urgent goes first")
{
    Bench bench(1);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    bench.submit(0, start, Priority::Standard);
    const auto later = bench.submit(0, start, Priority::Standard).ticket;
    const auto urgent = bench.submit(0, start, Priority::Interactive).ticket;
    bench.finishOne(start + Millis(10));
    CHECK(bench.running.front() == urgent);
    bench.finishOne(start + Millis(20));
    CHECK(bench.running.front() == later);
}

TEST_CASE("batch work yields, and still gets on")
{
    Bench bench(2);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 200; ++i) {
        bench.submit(0, start, Priority::Batch);
        bench.submit(1, start, Priority::Standard);
    }
    int batch = 0;
    for (int i = 0; i < 180; ++i) {
        for (CustomerIndex customer : bench.finishOne(start))
            batch += customer == 0 ? 1 : 0;
    }
    CHECK(batch >= 10);
    CHECK(batch <= 40);
}

TEST_CASE("limits of a customer")
{
    Bench bench(1);
    SUBCASE("rate")
    {
        bench.limit(0, {10, 0, 0});
        int admitted = 0;
        AdmissionDecision last;
        for (int i = 0; i < 60; ++i) {
            last = bench.submit(0, start);
            admitted += last.kind == AdmissionKind::Admitted ? 1 : 0;
        }
        CHECK(admitted == 20);
        CHECK(last.kind == AdmissionKind::Refused);
        CHECK(last.code == RefusalCode::RateLimited);
        const auto more = bench.take(bench.controller.tick(start + Millis(150)));
        CHECK(more.size() == 1);
    }
    SUBCASE("concurrency")
    {
        bench.limit(0, {0, 3, 0});
        for (int i = 0; i < 5; ++i)
            bench.submit(0, start);
        CHECK(bench.running.size() == 3);
        CHECK(bench.finishOne(start + Millis(100)).size() == 1);
        CHECK(bench.running.size() == 3);
        const AdmissionChanges late = bench.controller.tick(start + Millis(700));
        REQUIRE(late.refused.size() == 1);
        CHECK(late.refused[0].code == RefusalCode::ConcurrencyLimited);
    }
    SUBCASE("tokens")
    {
        bench.limit(0, {0, 0, 1000});
        double admitted = 0;
        for (int tenth = 0; tenth < 200; ++tenth) {
            const Millis now = start + Millis(tenth * 100);
            if (bench.submit(0, now).kind == AdmissionKind::Admitted)
                ++admitted;
            admitted += static_cast<double>(bench.take(bench.controller.tick(now)).size());
        }
        // 20 seconds of 1,000 tokens at 200 each, and two seconds of burst.
        CHECK(admitted >= 100);
        CHECK(admitted <= 112);
    }
}

TEST_CASE("a ticket that is over does nothing")
{
    Bench bench(1);
    bench.controller.setCapacity(0, {1, 0, 0, 0});
    const auto first = bench.submit(0, start).ticket;
    bench.controller.cancel(first, start);
    const auto second = bench.submit(0, start).ticket;
    CHECK(first != second);
    bench.controller.finished(first, 10, start);
    CHECK(bench.controller.running() == 1);
    bench.controller.cancel(second, start);
    CHECK(bench.controller.running() == 0);
}

TEST_CASE("an instance may use what others leave free, and its own share in any case")
{
    const AdmissionCapacity whole{100, 10000, 0, 0};
    CHECK(instanceCapacity(whole, {100, 4500}, {10, 200}, 10).slots == doctest::Approx(10));
    CHECK(instanceCapacity(whole, {20, 0}, {15, 0}, 10).slots == doctest::Approx(47));
    CHECK(instanceCapacity(whole, {100, 4500}, {10, 450}, 10).prefillTokensPerSecond
          == doctest::Approx(1000));
    CHECK(instanceCapacity(whole, {0, 900}, {0, 900}, 1).slots == doctest::Approx(100));
}
