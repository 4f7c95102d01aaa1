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

/** Means over all seeds. */
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

TEST_CASE("every request has one outcome, and a seed always gives the same results")
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

// Guards against prefill on decode engines under heavy load: each prompt lengthens every step of
// the batch, and streams pause for a third of a second.
TEST_CASE("replay: separate prefill shortens stream pauses while the request mix varies")
{
    const LoadPlan plan = exampleLoad("mix-swings");
    LoadChoices localPrefill;
    localPrefill.decisions.placement.ownReadFactor = 1;
    localPrefill.decisions.placement.ownReadMillis = 0;
    localPrefill.decisions.placement.leastHandOverTokens = 1200;
    const Means baseline = play(plan, localPrefill);
    const Means current = play(plan);
    CHECK(current.earned > baseline.earned + 0.05);
    CHECK(current.pauseP90Ms < baseline.pauseP90Ms / 2);
}

// Guards against placement that ignores shared parts: they are far larger than the rest of a
// prompt, and every engine would prefill each of them.
TEST_CASE("replay: affinity for shared parts earns more than least-busy and round-robin placement")
{
    struct Row
    {
        const char *name;
        /** Required ratio to round-robin; lower for copyists, whose fleet has spare capacity. */
        double minRatioToRoundRobin;
    };
    for (const Row &row : {Row{"mix-swings", 1.3}, Row{"crashes", 1.3}, Row{"copyists", 1.08}}) {
        CAPTURE(row.name);
        const LoadPlan plan = exampleLoad(row.name);
        LoadChoices leastBusy;
        leastBusy.placement = PlacementKind::LeastBusy;
        LoadChoices roundRobin;
        roundRobin.placement = PlacementKind::RoundRobin;
        const double earned = play(plan).earned;
        CHECK(earned > play(plan, leastBusy).earned + 0.08);
        CHECK(earned > row.minRatioToRoundRobin * play(plan, roundRobin).earned);
    }
}

// Guards against stage changes while engines are missing: after a failure domain is reclaimed, the
// split into stages is wrong, but correcting it makes even more engines unavailable.
TEST_CASE("replay: stages are not changed while engines are missing")
{
    const LoadPlan plan = exampleLoad("reclaim-in-a-swing");
    LoadChoices correcting;
    correcting.decisions.stages.grossShortage = 1;
    const Means corrected = play(plan, correcting);
    const Means current = play(plan);
    CHECK(current.earned > corrected.earned + 0.05);
    CHECK(current.worstWindows > corrected.worstWindows + 0.1);
}

// Guards against strict affinity: the preferred engine of a part is overloaded, or lost with its
// whole domain, and requests keep queueing for it while other engines are idle.
TEST_CASE("replay: requests leave a queue at the preferred engine when engines are lost")
{
    for (const char *name : {"crashes", "reclaim-in-a-swing"}) {
        CAPTURE(name);
        const LoadPlan plan = exampleLoad(name);
        LoadChoices affinityOnly;
        affinityOnly.placement = PlacementKind::CacheAffinity;
        CHECK(play(plan).earned > play(plan, affinityOnly).earned + 0.03);
    }
}

// Guards against dispatch without deferral: a domain's cheap engines are reclaimed while planners
// send three times their usual prompts. If all are dispatched at once, nearly all of them are late,
// and callers time out after three seconds.
TEST_CASE("replay: prompts that would be late are deferred, so that others are on time")
{
    const LoadPlan plan = exampleLoad("rosters-reclaimed");
    LoadChoices withoutDeferral;
    REQUIRE(withoutDeferral.decisions.set("on-time-share=1000", nullptr));
    const Means baseline = play(plan, withoutDeferral);
    const Means current = play(plan);
    CHECK(current.earned > baseline.earned + 0.05);
    CHECK(current.worstWindows > baseline.worstWindows + 0.2);
}

// Guards against placement by local knowledge only: each of nine instances sees a ninth of the
// load. An engine that looks idle to one has just received the prompts of all others, and a part
// that it caches is prefilled a second time elsewhere.
TEST_CASE("replay: instances that query each other's trackers place prompts where capacity is free")
{
    struct Row
    {
        const char *load;
        double minEarnedGain;
        double minWorstWindowsGain;
    };
    for (const Row &row : {Row{"rosters-reclaimed", 0.05, 0.15},
                           Row{"reclaim-in-a-swing", 0.03, 0.1}, Row{"crashes", 0.01, 0.03}}) {
        CAPTURE(row.load);
        const LoadPlan plan = exampleLoad(row.load);
        LoadChoices withoutQueries;
        REQUIRE(withoutQueries.decisions.set("books-asked=0", nullptr));
        REQUIRE(withoutQueries.decisions.set("short-books-asked=0", nullptr));
        const Means baseline = play(plan, withoutQueries);
        const Means current = play(plan);
        CHECK(current.earned > baseline.earned + row.minEarnedGain);
        CHECK(current.worstWindows > baseline.worstWindows + row.minWorstWindowsGain);
    }
}

// Guards against repeated prefill after crashes: the parts cached by lost engines are needed at
// once, and computing them again on each replacement delays requests while engines are short.
TEST_CASE("replay: parts are fetched from engines that cache them instead of prefilled again")
{
    for (const char *load : {"crashes", "reclaim-in-a-swing"}) {
        CAPTURE(load);
        const LoadPlan plan = exampleLoad(load);
        LoadChoices withoutFetch;
        REQUIRE(withoutFetch.decisions.set("least-fetch-tokens=1000000", nullptr));
        const Means baseline = play(plan, withoutFetch);
        const Means current = play(plan);
        CHECK(current.earned > baseline.earned + 0.005);
        CHECK(current.worstWindows > baseline.worstWindows + 0.015);
    }
}
