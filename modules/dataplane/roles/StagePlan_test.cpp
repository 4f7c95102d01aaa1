#include <doctest/doctest.h>

#include "dataplane/roles/StagePlan.h"

#include <algorithm>

using namespace cuminrail;

namespace {

/** Returns engines of one domain: 'p' for prefill, 'd' for decode, 'c' for a change in progress. */
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

/** Returns the changes that are decided once a deviation has persisted. */
std::vector<StageChange> changesAfterDelay(const std::vector<StagedEngine> &engines)
{
    StagePlan plan;
    CHECK(plan.decide(engines, false, Millis(0)).empty());
    return plan.decide(engines, false, Millis(10000));
}

std::vector<StagedEngine> concatenate(std::vector<StagedEngine> first,
                                      const std::vector<StagedEngine> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

// Guards against domains without an engine of one stage because the share was rounded down to none.
TEST_CASE(
    "the number of decode engines follows the share, with both stages present from two engines on")
{
    struct Row
    {
        std::size_t engines;
        std::size_t decode;
    };
    const StagePlan plan;
    for (const Row &row : {Row{0, 0}, Row{1, 1}, Row{2, 1}, Row{3, 1}, Row{6, 2}, Row{47, 16}})
        CHECK(plan.targetDecodeCount(row.engines) == row.decode);
}

// Guards against engines that change back and forth just before the first requests arrive:
// upstreams are listed one after the other, and the shares among the first few do not represent the
// rest.
TEST_CASE("only a deviation that persists leads to changes")
{
    StagePlan plan;
    const auto firstListed = concatenate(domain("a", "ddd"), domain("b", "pdd"));
    CHECK(plan.decide(firstListed, false, Millis(0)).empty());
    CHECK(plan.decide(concatenate(domain("a", "ppd"), domain("b", "ppd")), false, Millis(300))
              .empty());
    CHECK(plan.decide(firstListed, false, Millis(600)).empty());
    CHECK(plan.decide(firstListed, false, Millis(1050)).empty());
    CHECK_FALSE(plan.decide(firstListed, false, Millis(1150)).empty());
}

// Guards against a service without prefill or decode engines: every change makes an engine
// unavailable for seconds, so all engines, or the last one of a stage, must not change at once.
TEST_CASE("the last engine of a stage never changes, and only a share of all changes at once")
{
    struct Row
    {
        std::string stages;
        std::size_t changes;
    };
    for (const Row &row : {Row{"ppd", 0}, Row{"d", 0}, Row{"dd", 1}, Row{"pp", 1}, Row{"dddddd", 2},
                           Row{"ddddcc", 0}, Row{"dddddc", 1}}) {
        CAPTURE(row.stages);
        CHECK(changesAfterDelay(domain("a", row.stages)).size() == row.changes);
    }
}

// Guards against an engine that is ordered to change again and again, and is never available.
TEST_CASE("an engine keeps its stage for the minimum time")
{
    StagePlan plan;
    plan.decide(domain("a", "ddd"), false, Millis(0));
    REQUIRE(plan.decide(domain("a", "ddd"), false, Millis(2100)).size() == 1);
    // The engine is listed in another stage again; the same engine is not changed again at once.
    plan.decide(domain("a", "ppp"), false, Millis(3000));
    const auto nextChanges = plan.decide(domain("a", "ppp"), false, Millis(6000));
    REQUIRE(nextChanges.size() == 1);
    CHECK(nextChanges.front().id != "a0");
}

// Guards against waits for engines that are changing their stage: all engines of a failure domain
// are reclaimed at once, and restoring the target shares among the rest would make several of them,
// with their cached parts, unavailable for seconds more.
TEST_CASE("under load stages change only when hardly any engine of one stage is left")
{
    struct Row
    {
        std::string stages;
        std::size_t changes;
        EngineStage to;
    };
    const auto prefill = EngineStage::Prefill;
    const auto decode = EngineStage::Decode;
    // The target for 12 engines is four for decode and eight for prefill.
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

// Guards against hundreds of orders that cost money and have no benefit: there are few prompts, and
// far more engines of each stage than instances that send them.
TEST_CASE("no engine changes if each stage has an engine for every instance")
{
    struct Row
    {
        std::size_t instances;
        bool changes;
    };
    const auto engines = concatenate(domain("a", std::string(20, 'd') + std::string(8, 'p')),
                                     domain("b", std::string(20, 'd') + std::string(8, 'p')));
    for (const Row &row : {Row{4, false}, Row{16, false}, Row{17, true}, Row{90, true}}) {
        CAPTURE(row.instances);
        StagePlan plan;
        plan.setInstances(row.instances);
        CHECK(plan.decide(engines, false, Millis(0)).empty());
        CHECK(plan.decide(engines, false, Millis(10000)).empty() != row.changes);
    }
}

// Guards against hundreds of orders while a fleet is replaced: for some seconds fewer engines are
// listed than there are instances.
TEST_CASE("a fleet that had enough engines of each stage is not divided while it is replaced")
{
    const StagePlanSettings settings;
    const auto before = domain("a", std::string(40, 'd') + std::string(16, 'p'));
    const auto between = domain("a", std::string(9, 'd') + std::string(3, 'p'));
    StagePlan plan;
    plan.setInstances(16);
    CHECK(plan.decide(before, false, Millis(0)).empty());
    for (Millis now(500); now < settings.replacementTime; now += Millis(500))
        CHECK(plan.decide(between, false, now).empty());
    const Millis later = settings.replacementTime + settings.minDeviationDuration;
    plan.decide(between, false, settings.replacementTime);
    CHECK_FALSE(plan.decide(between, false, later).empty());
}

// Guards against streams that cannot go on, as all engines of their version only execute prefill.
TEST_CASE("under load a version without decode engines gets one, and the others keep theirs")
{
    struct Row
    {
        std::string first;
        std::string second;
        std::size_t changes;
    };
    for (const Row &row : {Row{"ppdd", "pppd", 0}, Row{"ppppdddd", "ppp", 1}, Row{"ppddd", "p", 0},
                           Row{"ppddd", "ppc", 0}, Row{"ppp", "ppddd", 1}}) {
        CAPTURE(row.first);
        CAPTURE(row.second);
        auto engines = domain("a", row.first);
        for (StagedEngine &engine : engines)
            engine.softwareVersion = "v1";
        auto others = domain("b", row.second);
        for (StagedEngine &engine : others)
            engine.softwareVersion = "v2";
        const auto all = concatenate(engines, others);
        StagePlan plan;
        const auto changes = plan.decide(all, true, Millis(0));
        REQUIRE(changes.size() == row.changes);
        if (!changes.empty())
            CHECK(changes[0].to == EngineStage::Decode);
    }
}
