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
    const auto home = placement.choose(engines, query(first));
    REQUIRE(home);
    placement.dispatched(*home, first, Millis(0));
    std::vector<EngineChoice> waiting{*home};
    bool wentElsewhere = false;
    for (int i = 1; i < 12 && !wentElsewhere; ++i) {
        const PromptShape shape = prompt("hot", 13000, 9000, i);
        const auto choice = placement.choose(engines, query(shape));
        REQUIRE(choice);
        wentElsewhere = readerOf(*choice) != readerOf(*home);
        placement.dispatched(*choice, shape, Millis(0));
        waiting.push_back(*choice);
    }
    CHECK(wentElsewhere);
    for (const EngineChoice &choice : waiting)
        placement.finished(choice, false);
    const PromptShape later = prompt("hot", 13000, 3000, 99);
    CHECK(readerOf(*placement.choose(engines, query(later, Millis(20000)))) == readerOf(*home));
}

// A prompt read on a generating engine stretches the pauses of all streams there, and callers see
// them stop for seconds.
TEST_CASE("large prompts are read apart, small ones where they run")
{
    struct Row
    {
        std::uint32_t ownTokens;
        bool isHandedOver;
    };
    for (const Row &row : {Row{300, false}, Row{1000, false}, Row{3000, true}, Row{20000, true}}) {
        EnginePlacement placement;
        const PromptShape shape = prompt("part", 100, row.ownTokens);
        const auto choice = placement.choose(fleet(4, 2), query(shape));
        REQUIRE(choice);
        CHECK((choice->prefill != nullptr) == row.isHandedOver);
        CHECK(choice->engine->entry.stage == EngineStage::Decode);
    }
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
        const auto choice = placement.choose(engines, query(shape));
        placement.dispatched(*choice, shape, Millis(i));
        choices.push_back(*choice);
    }
    for (EngineChoice &choice : choices) {
        if (choice.prefill)
            placement.moved(choice, engines.back());
        placement.finished(choice, false);
    }
    for (const auto &one : engines) {
        const EngineMemory *memory = placement.memory(one->entry.id);
        REQUIRE(memory != nullptr);
        CHECK(memory->running() == 0);
        CHECK(memory->openTokens() == doctest::Approx(0.0));
    }
}
