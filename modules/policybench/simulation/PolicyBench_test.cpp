#include "policybench/policybench.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace cuminrail;
using namespace cuminrail::policybench;

namespace {

constexpr std::uint64_t seed = 7;

/** Returns the first part of a workload: long enough for queues, short enough for a test. */
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

TEST_CASE("runs with the same seed give the same results")
{
    const Workload workload = shortened("kerlann-festival", 20000);
    const Score first = runPolicy(workload, PolicyKind::Cuminrail, seed);
    const Score second = runPolicy(workload, PolicyKind::Cuminrail, seed);
    CHECK(first.goodput == second.goodput);
    CHECK(first.firstTokenP95 == second.firstTokenP95);
    CHECK(first.refusedNotRun == second.refusedNotRun);
}

TEST_CASE("worst-served customer is near the overall goodput despite a customer over its limit")
{
    // One customer sends three times its limit, through two of the six instances. Without fair
    // queueing, requests of other customers wait behind its requests.
    const Workload workload = shortened("whale-customer", 120000);
    const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed);
    CHECK(score.worstCustomer >= 0.9 * score.goodput);
}

TEST_CASE("no request is lost when a failure domain goes down, and few fail")
{
    // A third of the engines fail with all their jobs, and the platform's list shows it three
    // seconds later. Interrupted requests are retried on other engines.
    Workload workload = shortened("domain-loss", 100000);
    std::vector<RequestRecord> records;
    const Score score = runPolicy(workload, PolicyKind::Cuminrail, seed, &records);
    CHECK(score.lost == 0);
    CHECK(score.failed <= workload.requests.size() / 200);
}

TEST_CASE("requests that are not repeatable never run on reclaimable engines")
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

TEST_CASE("requests that cannot meet their target are refused before the target passes")
{
    // After the target, a refusal is useless: the caller could have sent the request elsewhere
    // in the meantime.
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

TEST_CASE("balanced roles change less often than roles that follow the mix, with no less goodput")
{
    // The mix oscillates within a minute. Each role change makes an engine unavailable for seconds;
    // roles that followed every oscillation would leave too few engines available to callers.
    const Workload workload = shortened("mix-swing-divided", 180000);
    const Score balanced = runPolicy(workload, PolicyKind::CuminrailRoles, seed);
    const Score following = runPolicy(workload, PolicyKind::CuminrailFollowMix, seed);
    CHECK(balanced.roleChanges * 3 < following.roleChanges);
    CHECK(balanced.goodput >= following.goodput);
    CHECK(balanced.lost + balanced.failed == 0);
}

TEST_CASE("makeWorkload returns nothing for unknown names")
{
    CHECK_FALSE(makeWorkload("no-such", 1).has_value());
}
