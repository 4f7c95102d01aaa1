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

/** One instance with one pool and customers 0, 1, 2…; running requests finish in order. */
struct TestInstance
{
    explicit TestInstance(std::size_t customers, AdmissionOptions options = {})
        : controller(options)
    {
        settings.pools.resize(1);
        for (std::size_t i = 0; i < customers; ++i) {
            AdmissionCustomer customer;
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
        customerOf[decision.ticket] = customer;
        if (decision.kind == AdmissionKind::Admitted)
            running.push_back(decision.ticket);
        return decision;
    }

    /** Finishes the oldest running request. Returns the customers of the requests then admitted. */
    std::vector<CustomerIndex> finishOne(Millis now, std::uint32_t outputTokens = 100)
    {
        const AdmissionTicket done = running.front();
        running.pop_front();
        return recordAdmitted(controller.finished(done, outputTokens, now));
    }

    std::vector<CustomerIndex> recordAdmitted(const AdmissionChanges &changes)
    {
        std::vector<CustomerIndex> customers;
        for (AdmissionTicket ticket : changes.admitted) {
            running.push_back(ticket);
            customers.push_back(customerOf[ticket]);
        }
        return customers;
    }

    AdmissionSettings settings;
    AdmissionController controller;
    std::map<AdmissionTicket, CustomerIndex> customerOf;
    std::deque<AdmissionTicket> running;
};

} // namespace

TEST_CASE("a burst of one customer does not delay another customer")
{
    // One customer sends 200 requests at once, and another one sends 20 right after. In a FIFO
    // queue the second customer would wait behind the whole burst.
    TestInstance instance(2);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 200; ++i)
        instance.submit(0, start);
    for (int i = 0; i < 20; ++i)
        instance.submit(1, start);
    int servedOfSecond = 0;
    for (int i = 0; i < 44; ++i) {
        for (CustomerIndex customer : instance.finishOne(start + Millis(i)))
            servedOfSecond += customer == 1 ? 1 : 0;
    }
    CHECK(servedOfSecond >= 19);
}

TEST_CASE("customers share capacity by cost and weight, not by number of requests")
{
    // Customer 0 sends prompts that are ten times as long. If requests were counted, it would get
    // ten times the capacity.
    TestInstance instance(2);
    instance.settings.customers[1].weight = 2;
    instance.controller.configure(instance.settings, start);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 300; ++i) {
        instance.submit(0, start, Priority::Batch, 4000);
        instance.submit(1, start, Priority::Batch, 400);
    }
    double cost[2] = {0, 0};
    for (int i = 0; i < 250; ++i) {
        for (CustomerIndex customer : instance.finishOne(start))
            cost[customer] += customer == 0 ? 4400 : 800;
    }
    CHECK(cost[1] / cost[0] > 1.7);
    CHECK(cost[1] / cost[0] < 2.3);
}

TEST_CASE("an idle customer accumulates no credit")
{
    // Customer 1 was idle while 500 requests of customer 0 were served. If its unused share
    // accumulated, customer 0 would get no service until that credit was used up.
    TestInstance instance(2);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 600; ++i)
        instance.submit(0, start);
    for (int i = 0; i < 500; ++i)
        instance.finishOne(start);
    for (int i = 0; i < 100; ++i)
        instance.submit(1, start);
    int servedOfFirst = 0;
    for (int i = 0; i < 40; ++i) {
        for (CustomerIndex customer : instance.finishOne(start))
            servedOfFirst += customer == 0 ? 1 : 0;
    }
    CHECK(servedOfFirst >= 18);
}

TEST_CASE("no capacity is idle while requests are queued")
{
    // Fair queueing must be work-conserving: a single customer may use the whole capacity.
    TestInstance instance(3);
    instance.controller.setCapacity(0, {4, 0, 0, 0});
    for (int i = 0; i < 50; ++i)
        instance.submit(2, start);
    for (int i = 0; i < 46; ++i) {
        CHECK(instance.running.size() == 4);
        instance.finishOne(start);
    }
}

TEST_CASE("output tokens beyond the estimate are charged when the request ends")
{
    // The responses of customer 0 are longer than estimated. Charged by the estimate alone, it
    // would get far more than its share.
    TestInstance instance(2);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 400; ++i) {
        instance.submit(0, start);
        instance.submit(1, start);
    }
    std::map<CustomerIndex, int> served;
    for (int i = 0; i < 200; ++i) {
        const CustomerIndex current = instance.customerOf[instance.running.front()];
        ++served[current];
        instance.finishOne(start, current == 0 ? 1000 : 100);
    }
    CHECK(served[1] > 5 * served[0]);
}

TEST_CASE("a request that cannot meet its target is refused on arrival")
{
    // The queue already holds three seconds of prefill. Without early refusal an interactive
    // caller would wait and be refused in the end.
    TestInstance instance(2);
    instance.controller.setCapacity(0, {0, 1000, 0, 8000});
    for (int i = 0; i < 30; ++i)
        instance.submit(0, start, Priority::Batch, 100);
    const AdmissionDecision own = instance.submit(0, start, Priority::Interactive, 100);
    CHECK(own.kind == AdmissionKind::Queued);
    for (int i = 0; i < 5; ++i)
        instance.submit(0, start, Priority::Interactive, 300);
    const AdmissionDecision late = instance.submit(0, start, Priority::Interactive, 100);
    CHECK(late.kind == AdmissionKind::Refused);
    CHECK(late.code == RefusalCode::Overloaded);
    CHECK(late.retryAfter >= Millis::seconds(1));
    // Another customer's queue is short, so its request can still meet the target.
    CHECK(instance.submit(1, start, Priority::Interactive, 100).kind == AdmissionKind::Queued);
}

TEST_CASE("a queued request that can no longer meet its target is refused at once")
{
    // An engine stalls, so no more requests are admitted. Callers must not wait until their
    // deadline for a refusal that is already certain.
    TestInstance instance(1);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    instance.submit(0, start, Priority::Interactive);
    const AdmissionDecision waiting = instance.submit(0, start, Priority::Interactive);
    REQUIRE(waiting.kind == AdmissionKind::Queued);
    CHECK(instance.controller.tick(start + Millis(600)).refused.empty());
    const AdmissionChanges changes = instance.controller.tick(start + Millis(700));
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].ticket == waiting.ticket);
    CHECK(changes.refused[0].retryAfter >= Millis::seconds(1));
    CHECK(instance.controller.queued() == 0);
}

TEST_CASE("deadlines")
{
    // A request that cannot meet its deadline is refused on arrival: running it would take capacity
    // for a response that is of no use.
    TestInstance instance(1);
    instance.controller.setCapacity(0, {1, 1000, 0, 1000});
    instance.submit(0, start, Priority::Standard, 100);
    // 100 output tokens take about three seconds, prefill two.
    CHECK(instance.submit(0, start, Priority::Batch, 2000, start + Millis::seconds(2)).code
          == RefusalCode::DeadlineUnreachable);
    CHECK(instance.submit(0, start, Priority::Batch, 2000, start + Millis::seconds(60)).kind
          == AdmissionKind::Queued);
}

TEST_CASE("requests of one customer are admitted by priority")
{
    // In order of arrival an interactive request would wait behind the customer's other work.
    TestInstance instance(1);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    instance.submit(0, start, Priority::Standard);
    const auto later = instance.submit(0, start, Priority::Standard).ticket;
    const auto urgent = instance.submit(0, start, Priority::Interactive).ticket;
    instance.finishOne(start + Millis(10));
    CHECK(instance.running.front() == urgent);
    instance.finishOne(start + Millis(20));
    CHECK(instance.running.front() == later);
}

TEST_CASE("batch work yields to other work without starving")
{
    // With strict priorities, a steady load of standard requests would stop all batch work.
    TestInstance instance(2);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    for (int i = 0; i < 200; ++i) {
        instance.submit(0, start, Priority::Batch);
        instance.submit(1, start, Priority::Standard);
    }
    int batch = 0;
    for (int i = 0; i < 180; ++i) {
        for (CustomerIndex customer : instance.finishOne(start))
            batch += customer == 0 ? 1 : 0;
    }
    CHECK(batch >= 10);
    CHECK(batch <= 40);
}

TEST_CASE("a customer's limits defer and refuse its requests")
{
    // A customer above its rate, concurrency or token limit would take capacity from others.
    TestInstance instance(1);
    SUBCASE("rate")
    {
        instance.limit(0, {10, 0, 0});
        int admitted = 0;
        AdmissionDecision last;
        for (int i = 0; i < 60; ++i) {
            last = instance.submit(0, start);
            admitted += last.kind == AdmissionKind::Admitted ? 1 : 0;
        }
        CHECK(admitted == 20);
        CHECK(last.kind == AdmissionKind::Refused);
        CHECK(last.code == RefusalCode::RateLimited);
        const auto more = instance.recordAdmitted(instance.controller.tick(start + Millis(150)));
        CHECK(more.size() == 1);
    }
    SUBCASE("concurrency")
    {
        instance.limit(0, {0, 3, 0});
        for (int i = 0; i < 5; ++i)
            instance.submit(0, start);
        CHECK(instance.running.size() == 3);
        CHECK(instance.finishOne(start + Millis(100)).size() == 1);
        CHECK(instance.running.size() == 3);
        const AdmissionChanges late = instance.controller.tick(start + Millis(700));
        REQUIRE(late.refused.size() == 1);
        CHECK(late.refused[0].code == RefusalCode::ConcurrencyLimited);
    }
    SUBCASE("tokens")
    {
        instance.limit(0, {0, 0, 1000});
        double admitted = 0;
        for (int tenth = 0; tenth < 200; ++tenth) {
            const Millis now = start + Millis(tenth * 100);
            if (instance.submit(0, now).kind == AdmissionKind::Admitted)
                ++admitted;
            admitted +=
                static_cast<double>(instance.recordAdmitted(instance.controller.tick(now)).size());
        }
        // 20 seconds of 1,000 tokens at 200 per request, and two seconds of burst.
        CHECK(admitted >= 100);
        CHECK(admitted <= 112);
    }
}

TEST_CASE("a ticket has no effect after its request has ended")
{
    // The slot may hold another caller's request by then, which must not be ended.
    TestInstance instance(1);
    instance.controller.setCapacity(0, {1, 0, 0, 0});
    const auto first = instance.submit(0, start).ticket;
    instance.controller.cancel(first, start);
    const auto second = instance.submit(0, start).ticket;
    CHECK(first != second);
    instance.controller.finished(first, 10, start);
    CHECK(instance.controller.running() == 1);
    instance.controller.cancel(second, start);
    CHECK(instance.controller.running() == 0);
}

TEST_CASE("an instance gets at least its equal share, and a part of the free capacity")
{
    // With equal shares alone, capacity would idle when the load balancer distributes unevenly.
    const AdmissionCapacity whole{100, 10000, 0, 0};
    CHECK(instanceCapacity(whole, {100, 4500}, {10, 200}, 10).slots == doctest::Approx(10));
    CHECK(instanceCapacity(whole, {20, 0}, {15, 0}, 10).slots == doctest::Approx(47));
    CHECK(instanceCapacity(whole, {100, 4500}, {10, 450}, 10).prefillTokensPerSecond
          == doctest::Approx(1000));
    CHECK(instanceCapacity(whole, {0, 900}, {0, 900}, 1).slots == doctest::Approx(100));
}
