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
    PlacementQuery made;
    made.prompt = &shape;
    made.bodyBytes = 1000;
    made.ownDomain = "a";
    made.now = now;
    made.badShare = [](const std::string &) { return 0.0; };
    made.isSetAside = [](const std::string &) { return false; };
    return made;
}

std::string readerOf(const EngineChoice &choice)
{
    return (choice.prefill ? choice.prefill : choice.engine)->entry.id;
}

} // namespace

TEST_CASE("all instances send requests with the same shared part to the same reader, without talk")
{
    const auto engines = fleet(6, 3);
    std::map<std::string, std::string> home;
    for (int part = 0; part < 30; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        for (int instance = 0; instance < 5; ++instance) {
            EnginePlacement placement;
            const auto choice = placement.choose(engines, query(shape));
            REQUIRE(choice);
            const std::string id = readerOf(*choice);
            CHECK(home.emplace(shape.parts[0].id, id).first->second == id);
        }
    }
    std::map<std::string, int> parts;
    for (const auto &[part, id] : home)
        ++parts[id];
    CHECK(parts.size() >= 4);
}

TEST_CASE("only parts of an engine that went find a new home")
{
    auto engines = fleet(6, 3);
    std::map<std::string, std::string> before;
    EnginePlacement placement;
    for (int part = 0; part < 60; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        before[shape.parts[0].id] = readerOf(*placement.choose(engines, query(shape)));
    }
    engines.erase(engines.begin());
    for (int part = 0; part < 60; ++part) {
        const PromptShape shape = prompt("part-" + std::to_string(part), 13000, 3000);
        const std::string now = readerOf(*placement.choose(engines, query(shape)));
        if (before[shape.parts[0].id] != "p0")
            CHECK(now == before[shape.parts[0].id]);
    }
}

// A hot part draws a burst to its home. Behind a queue of prompts the next one would miss its goal,
// while other readers stand idle.
TEST_CASE("a queue at home sends requests elsewhere, and its end brings them back")
{
    const auto engines = fleet(4, 2);
    EnginePlacement placement;
    const PromptShape first = prompt("hot", 13000, 3000);
    auto home = placement.choose(engines, query(first));
    REQUIRE(home);
    placement.dispatched(*home, first, Millis(0));
    std::vector<EngineChoice> waiting{*home};
    bool wentElsewhere = false;
    for (int i = 1; i < 12 && !wentElsewhere; ++i) {
        const PromptShape shape = prompt("hot", 13000, 9000, i);
        auto choice = placement.choose(engines, query(shape));
        REQUIRE(choice);
        wentElsewhere = readerOf(*choice) != readerOf(*home);
        placement.dispatched(*choice, shape, Millis(0));
        waiting.push_back(*choice);
    }
    CHECK(wentElsewhere);
    for (EngineChoice &choice : waiting)
        placement.finished(choice, false, Millis(0));
    const PromptShape later = prompt("hot", 13000, 3000, 99);
    CHECK(readerOf(*placement.choose(engines, query(later, Millis(20000)))) == readerOf(*home));
}

// A prompt read on a generating engine stretches the pauses of all streams there, and callers see
// them stop for a third of a second at every event. Small prompts do that too: a step reads a whole
// chunk, and there are many of them.
TEST_CASE("prompts are read apart unless next to nothing of them is new")
{
    struct Row
    {
        std::uint32_t ownTokens;
        bool isHandedOver;
    };
    for (const Row &row : {Row{5, false}, Row{300, true}, Row{1000, true}, Row{20000, true}}) {
        CAPTURE(row.ownTokens);
        EnginePlacement placement;
        const PromptShape shape = prompt("part", 100, row.ownTokens);
        const auto choice = placement.choose(fleet(4, 2), query(shape));
        REQUIRE(choice);
        CHECK((choice->prefill != nullptr) == row.isHandedOver);
        CHECK(choice->engine->entry.stage == EngineStage::Decode);
    }
}

// After a reclaim one reader is left with the prompts of a whole fleet. Behind that queue no prompt
// would meet its goal, while generating engines could read it at once.
TEST_CASE("generating engines read while the queue at the readers is far longer than there")
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

TEST_CASE("without readers the generating engines read, and without those nobody can")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 13000, 3000);
    const auto alone = placement.choose(fleet(0, 2), query(shape));
    REQUIRE(alone);
    CHECK((alone->prefill == nullptr));
    CHECK_FALSE(placement.choose(fleet(3, 0), query(shape)));
    CHECK_FALSE(placement.choose({}, query(shape)));
}

TEST_CASE("set aside engines are used only when nobody else is left")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 100, 300);
    PlacementQuery asked = query(shape);
    asked.isSetAside = [](const std::string &id) { return id == "d0"; };
    CHECK(placement.choose(fleet(0, 2), asked)->engine->entry.id == "d1");
    CHECK(placement.choose(fleet(0, 1), asked)->engine->entry.id == "d0");
    const std::set<std::string> tried{"d0"};
    asked.tried = &tried;
    CHECK_FALSE(placement.choose(fleet(0, 1), asked));
}

// An engine that changes its stage refuses everything for seconds; instances that did not order the
// change only see the refusals.
TEST_CASE("an engine that refused is shunned for a moment")
{
    EnginePlacement placement;
    const PromptShape shape = prompt("part", 100, 300);
    const auto engines = fleet(0, 2);
    const std::string first = placement.choose(engines, query(shape))->engine->entry.id;
    placement.refused(first, Millis(0));
    CHECK(placement.choose(engines, query(shape, Millis(10)))->engine->entry.id != first);
    CHECK(placement.choose(engines, query(shape, Millis(60000)))->engine->entry.id == first);
}

TEST_CASE("accounts are even once every request is over")
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
    for (const auto &one : engines) {
        const EngineMemory *memory = placement.memory(one->entry.id);
        REQUIRE(memory != nullptr);
        CHECK(memory->running() == 0);
        CHECK(memory->openTokens() == doctest::Approx(0.0));
    }
}

// Six instances send to one engine, and each sees only its own few requests there. While the engine
// works through all of them it answers none, so no measured delay says anything yet; and each new
// request of the same kind joins the queue. Callers wait seconds beside idle engines.
TEST_CASE("an engine whose answers are overdue draws no more work, before any late answer came")
{
    struct Row
    {
        Millis silentFor;
        bool staysHome;
    };
    const auto engines = fleet(0, 3);
    for (const Row &row : {Row{Millis(60), true}, Row{Millis(1500), false}}) {
        CAPTURE(row.silentFor.count());
        EnginePlacement placement;
        const PromptShape first = prompt("hot", 3000, 300);
        auto home = placement.choose(engines, query(first));
        REQUIRE(home);
        placement.dispatched(*home, first, Millis(0));
        const PromptShape next = prompt("hot", 3000, 300, 1);
        const auto choice = placement.choose(engines, query(next, row.silentFor));
        REQUIRE(choice);
        const bool isHome = choice->engine == home->engine;
        CHECK(isHome == row.staysHome);
    }
}

// Prompts are read apart, and the engines that generate are too few. Those never read a prompt for
// this instance, so the delay of readings says nothing of them; streams begin seconds late.
TEST_CASE("an engine that is late to begin what was handed over gets less of it")
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
    SUBCASE("while nothing has come")
    {
        const auto next = placement.choose(engines, query(second, Millis(900)));
        CHECK((next->engine != first->engine));
    }
    SUBCASE("after it came late")
    {
        placement.runBegan(*first, Millis(1200));
        placement.finished(*first, true, Millis(1210));
        const auto next = placement.choose(engines, query(second, Millis(1300)));
        CHECK((next->engine != first->engine));
    }
}

// The engine that holds a large part is busy, and the same part is read again at a free one, which
// takes five times as long as having it fetched, and keeps others waiting there.
TEST_CASE("a part that one engine holds is fetched by another one rather than read again")
{
    struct Row
    {
        const char *what;
        double heldTokens;
        double holderWaitMillis;
        bool isFetched;
    };
    for (const Row &row :
         {Row{"the holder is busy", 10000, 2000, true}, Row{"the holder is free", 10000, 0, false},
          Row{"nobody has read it yet", 0, 2000, false},
          Row{"too little to be worth a transfer", 1500, 2000, false}}) {
        CAPTURE(row.what);
        EnginePlacement placement;
        const auto engines = fleet(2, 1);
        const PromptShape shape = prompt("part", 10000, 1000);
        PlacementQuery asked = query(shape);
        asked.offer = [&](const std::string &id) -> std::optional<ReadingOffer> {
            if (id == "p0")
                return ReadingOffer{row.holderWaitMillis, 1000, row.heldTokens, true};
            return ReadingOffer{0, 11000, 0, true};
        };
        const auto choice = placement.choose(engines, asked);
        REQUIRE(choice);
        CHECK((choice->prefixFrom != nullptr) == row.isFetched);
        if (!row.isFetched)
            continue;
        CHECK(choice->prefixFrom->entry.id == "p0");
        CHECK(readerOf(*choice) == "p1");
        CHECK(choice->freshTokens == doctest::Approx(1000));
    }
}

// All engines are new, and hundreds of prompts that share parts arrive in the first seconds.
// Trusted to hold what nobody has had them read, the homes of those parts are expected to answer in
// a third of the time that they take; prompts pile up there, and each is late.
TEST_CASE("a part that nobody has read yet is sent to its home and counted as to be read")
{
    for (const bool isComplete : {false, true}) {
        CAPTURE(isComplete);
        EnginePlacement placement;
        const auto engines = fleet(6, 1);
        const PromptShape shape = prompt("part", 10000, 1000);
        const auto blind = placement.choose(engines, query(shape));
        REQUIRE(blind);
        PlacementQuery asked = query(shape);
        asked.offer = [&](const std::string &) -> std::optional<ReadingOffer> {
            return ReadingOffer{0, 11000, 0, false, isComplete};
        };
        const auto choice = placement.choose(engines, asked);
        REQUIRE(choice);
        CHECK(readerOf(*choice) == readerOf(*blind));
        const double reading = 11000 / placement.prefillRate().tokensPerMilli();
        CHECK((choice->freshTokens == doctest::Approx(11000)) == isComplete);
        CHECK((choice->firstEventMillis >= reading) == isComplete);
    }
}

TEST_CASE("fetching does not count as reading when engines' speed is learned")
{
    EnginePlacement placement;
    const auto engines = fleet(2, 1);
    const PromptShape shape = prompt("part", 10000, 3000);
    const double before = placement.prefillRate().tokensPerMilli();
    EngineChoice choice{engines[2], engines[0], engines[1], 3000, 0, 0, 0, 0, 0};
    placement.dispatched(choice, shape, Millis(0));
    placement.promptRead(choice, Millis(0), Millis(900));
    CHECK(placement.prefillRate().tokensPerMilli() == doctest::Approx(before));
}
