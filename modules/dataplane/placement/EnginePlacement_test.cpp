#include <doctest/doctest.h>

#include "dataplane/placement/EnginePlacement.h"

#include <map>

using namespace cuminrail;

namespace {

UpstreamPointer engine(const std::string &id, EngineStage stage, const std::string &domain = "a")
{
    auto record = std::make_shared<UpstreamRecord>();
    record->entry.id = id;
    record->entry.stage = stage;
    record->entry.failureDomain = domain;
    record->entry.slots = 64;
    return record;
}

std::vector<UpstreamPointer> fleet(int prefill, int decode)
{
    std::vector<UpstreamPointer> engines;
    engines.reserve(static_cast<std::size_t>(prefill) + static_cast<std::size_t>(decode));
    for (int i = 0; i < prefill; ++i)
        engines.push_back(engine("p" + std::to_string(i), EngineStage::Prefill));
    for (int i = 0; i < decode; ++i)
        engines.push_back(engine("d" + std::to_string(i), EngineStage::Decode));
    return engines;
}

PromptShape prompt(const std::string &shared, std::uint32_t sharedTokens, std::uint32_t ownTokens,
                   int number = 0)
{
    PromptShape shape;
    shape.model = "m";
    shape.inputTokens = sharedTokens + ownTokens;
    shape.parts = {{shared, sharedTokens}, {"own-" + std::to_string(number), ownTokens}};
    return shape;
}

PlacementQuery query(const PromptShape &shape, Millis now = Millis(0))
{
    PlacementQuery result;
    result.prompt = &shape;
    result.bodyBytes = 1000;
    result.ownDomain = "a";
    result.now = now;
    result.badShare = [](const std::string &) { return 0.0; };
    result.isEjected = [](const std::string &) { return false; };
    return result;
}

std::string prefillEngineOf(const EngineChoice &choice)
{
    return (choice.prefill ? choice.prefill : choice.engine)->entry.id;
}

} // namespace

// Guards against a second prefill of the same part: instances that choose different engines for it
// have it computed and cached once at each of them.
TEST_CASE("all instances choose the same prefill engine for the same shared part, without messages")
{
    const auto engines = fleet(6, 3);
    std::map<std::string, std::string> home;
    for (int part = 0; part < 30; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        for (int instance = 0; instance < 5; ++instance) {
            EnginePlacement placement;
            const auto choice = placement.choose(engines, query(shape));
            REQUIRE(choice);
            const std::string id = prefillEngineOf(*choice);
            CHECK(home.emplace(shape.parts[0].id, id).first->second == id);
        }
    }
    std::map<std::string, int> parts;
    for (const auto &[part, id] : home)
        ++parts[id];
    CHECK(parts.size() >= 4);
}

// Guards against caches that lose their use when one engine leaves: with hashing modulo the number
// of engines nearly all parts would get another home.
TEST_CASE("when an engine leaves, only its parts get a new home")
{
    auto engines = fleet(6, 3);
    std::map<std::string, std::string> previousHomes;
    EnginePlacement placement;
    for (int part = 0; part < 60; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        previousHomes[shape.parts[0].id] =
            prefillEngineOf(*placement.choose(engines, query(shape)));
    }
    engines.erase(engines.begin());
    for (int part = 0; part < 60; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        const std::string now = prefillEngineOf(*placement.choose(engines, query(shape)));
        if (previousHomes[shape.parts[0].id] != "p0")
            CHECK(now == previousHomes[shape.parts[0].id]);
    }
}

// Guards against late responses beside idle engines: a popular part directs a burst of prompts to
// its home, and the next one would miss its latency target behind that queue.
TEST_CASE("prompts avoid a home with a long queue, and return when the queue has ended")
{
    const auto engines = fleet(4, 2);
    EnginePlacement placement;
    const PromptShape first = prompt("hot", 13000, 3000);
    auto home = placement.choose(engines, query(first));
    REQUIRE(home);
    placement.dispatched(*home, first, Millis(0));
    std::vector<EngineChoice> choices{*home};
    bool usedOtherEngine = false;
    for (int i = 1; i < 12 && !usedOtherEngine; ++i) {
        const PromptShape shape = prompt("hot", 13000, 9000, i);
        auto choice = placement.choose(engines, query(shape));
        REQUIRE(choice);
        usedOtherEngine = prefillEngineOf(*choice) != prefillEngineOf(*home);
        placement.dispatched(*choice, shape, Millis(0));
        choices.push_back(*choice);
    }
    CHECK(usedOtherEngine);
    for (EngineChoice &choice : choices)
        placement.finished(choice, false, Millis(0));
    const PromptShape later = prompt("hot", 13000, 3000, 99);
    CHECK(prefillEngineOf(*placement.choose(engines, query(later, Millis(20000))))
          == prefillEngineOf(*home));
}

// Guards against long gaps in streams: prefill on a decode engine delays all its streams, by a
// third of a second at every event. Small prompts do so too, as each step processes a whole chunk
// and there are many such prompts.
TEST_CASE("prefill is disaggregated unless hardly any tokens need prefill")
{
    struct Row
    {
        std::uint32_t ownTokens;
        bool isDisaggregated;
    };
    for (const Row &row : {Row{5, false}, Row{300, true}, Row{1000, true}, Row{20000, true}}) {
        CAPTURE(row.ownTokens);
        EnginePlacement placement;
        const PromptShape shape = prompt("part", 100, row.ownTokens);
        const auto choice = placement.choose(fleet(4, 2), query(shape));
        REQUIRE(choice);
        CHECK((choice->prefill != nullptr) == row.isDisaggregated);
        CHECK(choice->engine->entry.stage == EngineStage::Decode);
    }
}

// Guards against prompts that wait although decode engines are free: after a reclaim a single
// prefill engine is left for a whole fleet, and no prompt behind its queue would meet its latency
// target.
TEST_CASE("decode engines execute prefill while the queue at prefill engines is far longer")
{
    EnginePlacement placement;
    const auto engines = fleet(1, 2);
    for (int i = 0; i < 60; ++i) {
        const PromptShape shape = prompt("part", 100, 20000, i);
        EngineChoice queued{engines.back(), engines.front(), nullptr, 20000, 0, 0, 0, 0, 0};
        placement.dispatched(queued, shape, Millis(0));
    }
    const PromptShape shape = prompt("other", 100, 2000);
    const auto choice = placement.choose(engines, query(shape));
    REQUIRE(choice);
    CHECK((choice->prefill == nullptr));
}

// Guards against rejected prompts when a service has no prefill engine, and against a choice
// without a decode engine.
TEST_CASE("decode engines prefill if there are no prefill engines; without them there is no choice")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 13000, 3000);
    const auto decodeOnly = placement.choose(fleet(0, 2), query(shape));
    REQUIRE(decodeOnly);
    CHECK((decodeOnly->prefill == nullptr));
    CHECK_FALSE(placement.choose(fleet(3, 0), query(shape)));
    CHECK_FALSE(placement.choose({}, query(shape)));
}

// Guards against requests sent to a failing engine while another one is available, and against
// requests rejected while an ejected engine could still be tried.
TEST_CASE("ejected engines are used only when no other is left")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 100, 300);
    PlacementQuery placementQuery = query(shape);
    placementQuery.isEjected = [](const std::string &id) { return id == "d0"; };
    CHECK(placement.choose(fleet(0, 2), placementQuery)->engine->entry.id == "d1");
    CHECK(placement.choose(fleet(0, 1), placementQuery)->engine->entry.id == "d0");
    const std::set<std::string> tried{"d0"};
    placementQuery.tried = &tried;
    CHECK_FALSE(placement.choose(fleet(0, 1), placementQuery));
}

// Guards against requests sent again and again to an engine that changes its stage: it rejects
// everything for seconds, and instances that did not order the change see only the rejections.
TEST_CASE("an engine that rejected a request is avoided for a moment")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 100, 300);
    const auto engines = fleet(0, 2);
    const std::string first = placement.choose(engines, query(shape))->engine->entry.id;
    placement.refused(first, Millis(0));
    CHECK(placement.choose(engines, query(shape, Millis(10)))->engine->entry.id != first);
    CHECK(placement.choose(engines, query(shape, Millis(60000)))->engine->entry.id == first);
}

// Guards against load that is never subtracted, which would keep work away from an idle engine for
// good; requests whose decode engine is replaced are counted at two engines.
TEST_CASE("no load remains once every request has ended")
{
    EnginePlacement placement;
    const auto engines = fleet(3, 3);
    std::vector<EngineChoice> choices;
    for (int i = 0; i < 50; ++i) {
        const PromptShape shape = prompt("part-" + std::to_string(i % 7), 9000, 2500, i);
        auto choice = placement.choose(engines, query(shape));
        placement.dispatched(*choice, shape, Millis(i));
        choices.push_back(*choice);
    }
    for (EngineChoice &choice : choices) {
        if (choice.prefill)
            placement.moved(choice, engines.back(), Millis(0));
        placement.finished(choice, false, Millis(0));
    }
    for (const auto &upstream : engines) {
        const EngineTracker *memory = placement.memory(upstream->entry.id);
        REQUIRE(memory != nullptr);
        CHECK(memory->running() == 0);
        CHECK(memory->openTokens() == doctest::Approx(0.0));
    }
}

// Guards against waits of seconds beside idle engines: six instances send to one engine, and each
// sees only its own few requests there. While the engine processes all of them it sends no
// response, so there is no delay to observe yet, and each new request of the same kind joins the
// queue.
TEST_CASE("an engine with overdue responses gets no more work, before any late response arrived")
{
    struct Row
    {
        Millis elapsed;
        bool staysHome;
    };
    const auto engines = fleet(0, 3);
    for (const Row &row : {Row{Millis(60), true}, Row{Millis(1500), false}}) {
        CAPTURE(row.elapsed.count());
        EnginePlacement placement;
        const PromptShape first = prompt("hot", 3000, 300);
        auto home = placement.choose(engines, query(first));
        REQUIRE(home);
        placement.dispatched(*home, first, Millis(0));
        const PromptShape next = prompt("hot", 3000, 300, 1);
        const auto choice = placement.choose(engines, query(next, row.elapsed));
        REQUIRE(choice);
        const bool isHome = choice->engine == home->engine;
        CHECK(isHome == row.staysHome);
    }
}

// Guards against streams that begin seconds late: prefill is disaggregated and there are too few
// decode engines. They execute no prefill for this instance, so prefill times show nothing of their
// load.
TEST_CASE("a decode engine that begins late after disaggregated prefill gets less work")
{
    const auto engines = fleet(2, 2);
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 100, 6000);
    auto first = placement.choose(engines, query(shape));
    REQUIRE(first);
    REQUIRE((first->prefill != nullptr));
    placement.dispatched(*first, shape, Millis(0));
    placement.promptRead(*first, Millis(0), Millis(200));
    placement.handedOver(*first, shape, Millis(200));
    const PromptShape second = prompt("part", 100, 6000, 1);
    SUBCASE("while its first event is overdue")
    {
        const auto next = placement.choose(engines, query(second, Millis(900)));
        CHECK((next->engine != first->engine));
    }
    SUBCASE("after its first event arrived late")
    {
        placement.runBegan(*first, Millis(1200));
        placement.finished(*first, true, Millis(1210));
        const auto next = placement.choose(engines, query(second, Millis(1300)));
        CHECK((next->engine != first->engine));
    }
}

// Guards against a second prefill of a large part: the engine that has it cached is busy, and
// prefill at a free engine takes five times as long as fetching it, and delays other prompts there.
TEST_CASE("a part that one engine has cached is fetched by another one instead of computed again")
{
    struct Row
    {
        const char *what;
        double heldTokens;
        double waitMillis;
        bool isFetched;
    };
    for (const Row &row : {Row{"the engine that has it is busy", 10000, 2000, true},
                           Row{"the engine that has it is free", 10000, 0, false},
                           Row{"no engine has it cached yet", 0, 2000, false},
                           Row{"too few tokens to be worth a transfer", 1500, 2000, false}}) {
        CAPTURE(row.what);
        EnginePlacement placement;
        const auto engines = fleet(2, 1);
        const PromptShape shape = prompt("part", 10000, 1000);
        PlacementQuery placementQuery = query(shape);
        placementQuery.offer = [&](const std::string &id) -> std::optional<PrefillEstimate> {
            if (id == "p0")
                return PrefillEstimate{row.waitMillis, 1000, row.heldTokens, true};
            return PrefillEstimate{0, 11000, 0, true};
        };
        const auto choice = placement.choose(engines, placementQuery);
        REQUIRE(choice);
        CHECK((choice->prefixFrom != nullptr) == row.isFetched);
        if (!row.isFetched)
            continue;
        CHECK(choice->prefixFrom->entry.id == "p0");
        CHECK(prefillEngineOf(*choice) == "p1");
        CHECK(choice->freshTokens == doctest::Approx(1000));
    }
}

// Guards against response times estimated as a third of the true ones: all engines are new, and
// hundreds of prompts that share parts arrive in the first seconds. If homes are assumed to have
// parts cached that no engine has prefilled yet, prompts queue there and each one is late.
TEST_CASE("a part that is not cached yet is sent to its home, and its tokens count as prefill")
{
    for (const bool isComplete : {false, true}) {
        CAPTURE(isComplete);
        EnginePlacement placement;
        const auto engines = fleet(6, 1);
        const PromptShape shape = prompt("part", 10000, 1000);
        const auto withoutEstimate = placement.choose(engines, query(shape));
        REQUIRE(withoutEstimate);
        PlacementQuery placementQuery = query(shape);
        placementQuery.offer = [&](const std::string &) -> std::optional<PrefillEstimate> {
            return PrefillEstimate{0, 11000, 0, false, isComplete};
        };
        const auto choice = placement.choose(engines, placementQuery);
        REQUIRE(choice);
        CHECK(prefillEngineOf(*choice) == prefillEngineOf(*withoutEstimate));
        const double prefillMillis = 11000 / placement.prefillRate().tokensPerMilli();
        CHECK((choice->freshTokens == doctest::Approx(11000)) == isComplete);
        CHECK((choice->firstEventMillis >= prefillMillis) == isComplete);
    }
}

// Guards against a prefill rate that is too low because the time to fetch a prefix is taken for
// prefill.
TEST_CASE("fetching a prefix does not change the estimated prefill rate")
{
    EnginePlacement placement;
    const auto engines = fleet(2, 1);
    const PromptShape shape = prompt("part", 10000, 3000);
    const double initialRate = placement.prefillRate().tokensPerMilli();
    EngineChoice choice{engines[2], engines[0], engines[1], 3000, 0, 0, 0, 0, 0};
    placement.dispatched(choice, shape, Millis(0));
    placement.promptRead(choice, Millis(0), Millis(900));
    CHECK(placement.prefillRate().tokensPerMilli() == doctest::Approx(initialRate));
}
