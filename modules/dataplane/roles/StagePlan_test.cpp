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
    CHECK(plan.decide(engines, false, Millis(0)).empty());
    return plan.decide(engines, false, Millis(10000));
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

// Upstreams are listed one after the other. The division of the first few says nothing of the rest;
// corrected at once, engines would be ordered to and fro just before the first requests come.
TEST_CASE("only lasting deviations lead to orders")
{
    StagePlan plan;
    const auto few = both(domain("a", "ddd"), domain("b", "pdd"));
    CHECK(plan.decide(few, false, Millis(0)).empty());
    CHECK(plan.decide(both(domain("a", "ppd"), domain("b", "ppd")), false, Millis(300)).empty());
    CHECK(plan.decide(few, false, Millis(600)).empty());
    CHECK(plan.decide(few, false, Millis(1050)).empty());
    CHECK_FALSE(plan.decide(few, false, Millis(1150)).empty());
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
    plan.decide(domain("a", "ddd"), false, Millis(0));
    REQUIRE(plan.decide(domain("a", "ddd"), false, Millis(2100)).size() == 1);
    // It comes back as it was; the same engine is not ordered again at once.
    plan.decide(domain("a", "ppp"), false, Millis(3000));
    const auto back = plan.decide(domain("a", "ppp"), false, Millis(6000));
    REQUIRE(back.size() == 1);
    CHECK(back.front().id != "a0");
}

// A whole failure domain's engines are reclaimed in a burst. Bringing the rest back to the usual
// division would take several of them away for seconds more, with the parts that they hold; callers
// then wait for readers that are busy changing.
TEST_CASE(
    "under load a lopsided fleet is left as it is, unless hardly any engine of a stage is left")
{
    struct Row
    {
        std::string stages;
        std::size_t changes;
        EngineStage to;
    };
    const auto prefill = EngineStage::Prefill;
    const auto decode = EngineStage::Decode;
    // Of 12 engines four should generate and eight read.
    for (const Row &row : {Row{"pppppppppddd", 0, decode}, Row{"ppppppppppdd", 0, decode},
                           Row{"pppppppppppd", 1, decode}, Row{"ppppdddddddd", 0, prefill},
                           Row{"pppddddddddd", 1, prefill}, Row{"pddddddddddd", 3, prefill},
                           Row{"pppcdddddddd", 0, prefill}, Row{"d", 0, decode}}) {
        CAPTURE(row.stages);
        StagePlan plan;
        const auto changes = plan.decide(domain("a", row.stages), true, Millis(0));
        CHECK(changes.size() == row.changes);
        for (const StageChange &change : changes)
            CHECK(change.to == row.to);
    }
}

// Guards against hundreds of orders that are paid for and earn nothing: few prompts, and far more
// engines of each stage than there are instances to send them.
TEST_CASE("engines are left as they are where each stage has one for every instance")
{
    struct Row
    {
        std::size_t instances;
        bool changes;
    };
    const auto engines = both(domain("a", std::string(20, 'd') + std::string(8, 'p')),
                              domain("b", std::string(20, 'd') + std::string(8, 'p')));
    for (const Row &row : {Row{4, false}, Row{16, false}, Row{17, true}, Row{90, true}}) {
        CAPTURE(row.instances);
        StagePlan plan;
        plan.setInstances(row.instances);
        CHECK(plan.decide(engines, false, Millis(0)).empty());
        CHECK(plan.decide(engines, false, Millis(10000)).empty() != row.changes);
    }
}
