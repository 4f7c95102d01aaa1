#include <doctest/doctest.h>

#include "emulation/emulation.h"

#include <fstream>
#include <sstream>

using namespace cuminrail;
using namespace cuminrail::emulation;

namespace {

constexpr std::uint64_t seeds = 4;

LoadPlan exampleLoad(const std::string &name)
{
    std::ifstream file("examples/loads/" + name + ".json");
    std::ostringstream text;
    text << file.rdbuf();
    Reason reason;
    auto plan = parseLoadFile(text.str(), &reason);
    REQUIRE(plan);
    return std::move(*plan);
}

LoadReport playOnce(const LoadPlan &plan, const LoadChoices &choices, std::uint64_t seed)
{
    const auto requests = drawArrivals(plan, seed);
    LoadRun run(plan, requests, choices);
    run.play();
    return run.report();
}

/** Means over the first few seeds. */
struct Means
{
    double earned = 0;
    double worstWindows = 0;
    double pauseP90Ms = 0;
};

Means play(const LoadPlan &plan, const LoadChoices &choices = {})
{
    Means means;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const LoadReport report = playOnce(plan, choices, seed);
        means.earned += report.earned / double(seeds);
        means.worstWindows += report.worstWindows / double(seeds);
        for (const KindFigures &kind : report.kinds)
            means.pauseP90Ms = std::max(means.pauseP90Ms, kind.pauseP90Ms);
    }
    return means;
}

} // namespace

TEST_CASE("every request ends once, and a seed always gives the same figures")
{
    const LoadPlan plan = exampleLoad("reclaim-in-a-swing");
    for (const auto &entry : placementNames.entries) {
        CAPTURE(std::string(entry.second));
        LoadChoices choices;
        choices.placement = entry.first;
        const LoadReport report = playOnce(plan, choices, 1);
        const LoadReport again = playOnce(plan, choices, 1);
        CHECK(report.earned == again.earned);
        CHECK(report.engines.readTokens == again.engines.readTokens);
        for (const KindFigures &figures : report.kinds)
            CHECK(figures.asked
                  == figures.onTime + figures.late + figures.refused + figures.failed);
    }
}

// Prompts of a busy mix come faster than generating engines can read them between their streams.
// Read there, each one lengthens every step, and callers see pauses of a third of a second.
TEST_CASE("replay: reading prompts apart keeps streams flowing while the mix swings")
{
    const LoadPlan plan = exampleLoad("mix-swings");
    LoadChoices whereTheyRun;
    whereTheyRun.decisions.placement.ownReadFactor = 1;
    whereTheyRun.decisions.placement.ownReadMillis = 0;
    whereTheyRun.decisions.placement.leastHandOverTokens = 1200;
    const Means before = play(plan, whereTheyRun);
    const Means now = play(plan);
    CHECK(now.earned > before.earned + 0.05);
    CHECK(now.pauseP90Ms < before.pauseP90Ms / 2);
}

// Shared parts of prompts are far larger than the rest. Sent anywhere, each is read everywhere.
TEST_CASE("replay: homes for shared parts earn more than the least busy engine and than turns")
{
    struct Row
    {
        const char *name;
        /** What turns earn must be this many times less; the copyists' fleet has room to spare. */
        double timesTurns;
    };
    for (const Row &row : {Row{"mix-swings", 1.3}, Row{"crashes", 1.3}, Row{"copyists", 1.08}}) {
        CAPTURE(row.name);
        const LoadPlan plan = exampleLoad(row.name);
        LoadChoices leastBusy;
        leastBusy.placement = PlacementKind::LeastBusy;
        LoadChoices turns;
        turns.placement = PlacementKind::RoundRobin;
        const double earned = play(plan).earned;
        CHECK(earned > play(plan, leastBusy).earned + 0.08);
        CHECK(earned > row.timesTurns * play(plan, turns).earned);
    }
}

// A failure domain's engines are reclaimed while the mix swings. The remaining ones have the wrong
// division, and correcting it takes more of them away.
TEST_CASE("replay: stages stay as they are while engines are missing")
{
    const LoadPlan plan = exampleLoad("reclaim-in-a-swing");
    LoadChoices correcting;
    correcting.decisions.stages.grossShortage = 1;
    const Means corrected = play(plan, correcting);
    const Means now = play(plan);
    CHECK(now.earned > corrected.earned + 0.05);
    CHECK(now.worstWindows > corrected.worstWindows + 0.1);
}

// A part's home is full of work, or was taken away with its whole domain, and requests go on
// queueing for it beside engines that stand idle.
TEST_CASE("replay: a queue at home is left behind when engines are lost")
{
    for (const char *name : {"crashes", "reclaim-in-a-swing"}) {
        CAPTURE(name);
        const LoadPlan plan = exampleLoad(name);
        LoadChoices affinityOnly;
        affinityOnly.placement = PlacementKind::CacheAffinity;
        CHECK(play(plan).earned > play(plan, affinityOnly).earned + 0.03);
    }
}

// A domain's cheap engines are reclaimed while planners send three times their usual prompts. Sent
// to engines at once, nearly all of them get there in time to be late, and callers leave after
// three seconds with nothing.
TEST_CASE("replay: prompts that would be late are kept back, and others are on time")
{
    const LoadPlan plan = exampleLoad("rosters-reclaimed");
    LoadChoices atOnce;
    REQUIRE(atOnce.decisions.set("on-time-share=1000", nullptr));
    const Means before = play(plan, atOnce);
    const Means now = play(plan);
    CHECK(now.earned > before.earned + 0.05);
    CHECK(now.worstWindows > before.worstWindows + 0.2);
}

// Nine instances each see a ninth of the load. What looks idle to one is where all others have just
// sent their prompts, and the part that it holds is read a second time elsewhere.
TEST_CASE("replay: instances that ask each other's books place prompts where there is room")
{
    struct Row
    {
        const char *load;
        double earnedMore;
        double worstWindowsMore;
    };
    for (const Row &row : {Row{"rosters-reclaimed", 0.05, 0.15},
                           Row{"reclaim-in-a-swing", 0.03, 0.1}, Row{"crashes", 0.01, 0.03}}) {
        CAPTURE(row.load);
        const LoadPlan plan = exampleLoad(row.load);
        LoadChoices blind;
        REQUIRE(blind.decisions.set("books-asked=0", nullptr));
        REQUIRE(blind.decisions.set("short-books-asked=0", nullptr));
        const Means before = play(plan, blind);
        const Means now = play(plan);
        CHECK(now.earned > before.earned + row.earnedMore);
        CHECK(now.worstWindows > before.worstWindows + row.worstWindowsMore);
    }
}

// Engines crash, and the parts that they held are wanted at once. Read again at each engine that
// takes their place, they keep everybody waiting just when engines are short.
TEST_CASE("replay: parts are fetched from engines that hold them rather than read again")
{
    for (const char *load : {"crashes", "reclaim-in-a-swing"}) {
        CAPTURE(load);
        const LoadPlan plan = exampleLoad(load);
        LoadChoices reading;
        REQUIRE(reading.decisions.set("least-fetch-tokens=1000000", nullptr));
        const Means before = play(plan, reading);
        const Means now = play(plan);
        CHECK(now.earned > before.earned + 0.005);
        CHECK(now.worstWindows > before.worstWindows + 0.015);
    }
}
