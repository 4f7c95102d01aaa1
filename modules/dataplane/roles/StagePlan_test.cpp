#include <doctest/doctest.h>

#include "dataplane/roles/StagePlan.h"

#include <algorithm>

using namespace cuminrail;

namespace {

/** Engines of one domain: 'p' reads prompts, 'd' generates, 'c' is changing. */
std::vector<StagedEngine> domain(const std::string &name, const std::string &stages)
{
    std::vector<StagedEngine> engines;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        engines.push_back({name + std::to_string(i), name,
                           stages[i] == 'p' ? EngineStage::Prefill : EngineStage::Decode,
                           stages[i] == 'c'});
    }
    return engines;
}

/** What is ordered once a deviation has lasted. */
std::vector<StageChange> settled(const std::vector<StagedEngine> &engines)
{
    StagePlan plan;
    CHECK(plan.decide(engines, Millis(0)).empty());
    return plan.decide(engines, Millis(10000));
}

std::vector<StagedEngine> both(std::vector<StagedEngine> left,
                               const std::vector<StagedEngine> &right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

} // namespace

TEST_CASE("a domain is divided by the plan's share")
{
    struct Row
    {
        std::size_t engines;
        std::size_t decode;
    };
    const StagePlan plan;
    for (const Row &row : {Row{0, 0}, Row{1, 1}, Row{2, 1}, Row{3, 1}, Row{6, 2}, Row{47, 16}})
        CHECK(plan.wantedDecode(row.engines) == row.decode);
}

TEST_CASE("only lasting deviations lead to orders")
{
    StagePlan plan;
    const auto few = both(domain("a", "ddd"), domain("b", "pdd"));
    CHECK(plan.decide(few, Millis(0)).empty());
    CHECK(plan.decide(both(domain("a", "ppd"), domain("b", "ppd")), Millis(1000)).empty());
    CHECK(plan.decide(few, Millis(1500)).empty());
    CHECK(plan.decide(few, Millis(3400)).empty());
    CHECK_FALSE(plan.decide(few, Millis(3600)).empty());
}

// Every change takes an engine away for seconds. If all changed at once, or the last engine of a
// stage did, callers would find nobody who could read or generate.
TEST_CASE("never the last of a stage, and only a part of all at the same time")
{
    struct Row
    {
        std::string stages;
        std::size_t changes;
    };
    for (const Row &row : {Row{"ppd", 0}, Row{"d", 0}, Row{"dd", 1}, Row{"pp", 1}, Row{"dddddd", 2},
                           Row{"ddddcc", 0}, Row{"dddddc", 1}}) {
        CAPTURE(row.stages);
        CHECK(settled(domain("a", row.stages)).size() == row.changes);
    }
}

TEST_CASE("an engine keeps its stage for a while")
{
    StagePlan plan;
    plan.decide(domain("a", "ddd"), Millis(0));
    REQUIRE(plan.decide(domain("a", "ddd"), Millis(2100)).size() == 1);
    // It comes back as it was; the same engine is not ordered again at once.
    plan.decide(domain("a", "ppp"), Millis(3000));
    const auto back = plan.decide(domain("a", "ppp"), Millis(6000));
    REQUIRE(back.size() == 1);
    CHECK(back.front().id != "a0");
}
