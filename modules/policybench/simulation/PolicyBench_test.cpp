#include "policybench/policybench.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace cuminrail;
using namespace cuminrail::policybench;

namespace {

constexpr std::uint64_t seed = 7;

/** The first part of a workload: long enough for queues and short enough for a test. */
Workload shortened(const std::string &name, double durationMs)
{
    Workload workload = *makeWorkload(name, seed);
    workload.duration = durationMs;
    const auto end = std::find_if(
        workload.requests.begin(), workload.requests.end(),
        [durationMs](const WorkloadRequest &request) { return request.arrival >= durationMs; });
    workload.requests.erase(end, workload.requests.end());
    return workload;
}

} // namespace

TEST_CASE("every request of every workload gets a final answer")
{
    for (const std::string &name : workloadNames()) {
        CAPTURE(name);
        const Workload workload = shortened(name, 60000);
        const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed);
        CHECK(score.requests == workload.requests.size());
        CHECK(score.lost == 0);
        CHECK(score.goodput > 0.4);
        CHECK(score.goodput <= score.goodputBound);
    }
}

TEST_CASE("a run depends on its seed alone")
{
    const Workload workload = shortened("kerlann-festival", 20000);
    const Score first = runPolicy(workload, PolicyKind::Cuminrail, seed);
    const Score second = runPolicy(workload, PolicyKind::Cuminrail, seed);
    CHECK(first.goodput == second.goodput);
    CHECK(first.firstTokenP95 == second.firstTokenP95);
    CHECK(first.refusedNotRun == second.refusedNotRun);
}

TEST_CASE("the worst-served customer fares nearly as well as all, with a whale present")
{
    // One customer sends three times what it may, through two of the six instances. Without fair
    // queueing the others' people wait behind its requests.
    const Workload workload = shortened("whale-customer", 120000);
    const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed);
    CHECK(score.worstCustomer >= 0.9 * score.goodput);
}

TEST_CASE("a lost failure domain loses no request, and nothing that may not run twice does")
{
    // A third of the engines vanish with all that runs there, and the platform's list tells of it
    // three seconds later. Callers whose answers broke get them from elsewhere.
    Workload workload = shortened("domain-loss", 100000);
    std::vector<RequestRecord> records;
    const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed, &records);
    CHECK(score.lost == 0);
    CHECK(score.failed <= workload.requests.size() / 200);
}

TEST_CASE("work that may not be repeated never runs on reclaimable engines")
{
    const Workload workload = shortened("cheap-reclaim", 120000);
    std::vector<RequestRecord> records;
    const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed, &records);
    CHECK(score.cheapShare > 0.1);
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (!workload.requests[i].repeatable)
            CHECK_FALSE(records[i].onReclaimable);
    }
}

TEST_CASE("requests that are given up are answered at once, not at their deadline")
{
    // A refusal that comes when the target is long past helps nobody; the caller could have gone
    // elsewhere.
    const Workload workload = shortened("inteko-court-day", 200000);
    std::vector<RequestRecord> records;
    runPolicy(workload, PolicyKind::Cuminrail, seed, &records);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const WorkloadRequest &request = workload.requests[i];
        if (records[i].ending != Ending::Refused || request.priority != Priority::Interactive)
            continue;
        ++refused;
        const double target = std::max(750.0, request.promptTokens * 0.25);
        CHECK(records[i].endedAt - request.arrival <= target);
    }
    CHECK(refused > 50);
}

TEST_CASE("roles under control change seldom, and serve better than roles that follow the mix")
{
    // The mix swings within a minute. Each change takes an engine away for seconds; were roles to
    // follow every swing, engines would change all the time and callers would find them away.
    const Workload workload = shortened("mix-swing-divided", 180000);
    const Score balanced = runPolicy(workload, PolicyKind::CuminrailRoles, seed);
    const Score following = runPolicy(workload, PolicyKind::CuminrailFollowMix, seed);
    CHECK(balanced.roleChanges * 3 < following.roleChanges);
    CHECK(balanced.goodput >= following.goodput);
    CHECK(balanced.lost + balanced.failed == 0);
}

TEST_CASE("unknown workloads are refused")
{
    CHECK_FALSE(makeWorkload("no-such", 1).has_value());
}
