#include <doctest/doctest.h>

#include "emulation/engine/EmulatedEngine.h"

using namespace cuminrail;
using namespace cuminrail::emulation;

namespace {

PromptChain chain(const std::string &shared, std::uint32_t sharedTokens, std::uint32_t ownTokens,
                  int number = 0)
{
    PromptShape shape;
    shape.model = "m";
    shape.parts = {{shared, sharedTokens}, {"own-" + std::to_string(number), ownTokens}};
    shape.inputTokens = sharedTokens + ownTokens;
    return PromptChain::of(shape);
}

EngineJob job(std::uint64_t id, PromptChain prompt, int events = 3)
{
    EngineJob made;
    made.id = id;
    made.chain = std::move(prompt);
    made.events = events;
    return made;
}

/** What became of a run, and when. */
struct Played
{
    double firstAt = 0;
    double doneAt = 0;
    int events = 0;
};

/** Steps an engine until it has no more work; returns what came for one job. */
Played play(EmulatedEngine &engine, std::uint64_t id)
{
    Played played;
    double now = 0;
    for (double millis = engine.beginStep(now); millis > 0; millis = engine.beginStep(now)) {
        now += millis;
        for (const EngineOutput &output : engine.endStep(now)) {
            if (output.job != id)
                continue;
            const double at = now + output.delayMs;
            played.events += output.sign == EngineSign::Event ? 1 : 0;
            if (played.firstAt == 0)
                played.firstAt = at;
            played.doneAt = at;
        }
    }
    return played;
}

} // namespace

TEST_CASE("a prompt takes the time that the figures say")
{
    const EngineFigures figures;
    EmulatedEngine engine(figures, EngineStage::Decode);
    CHECK_FALSE(engine.offer(job(1, chain("a", 1000, 835), 4)).has_value());
    const Played played = play(engine, 1);
    CHECK(played.events == 4);
    // 1,835 tokens at half of 36.7 a millisecond are 100 ms; four steps, one that writes, the
    // start.
    CHECK(played.firstAt > 100);
    CHECK(played.firstAt < 160);
    // Three more events of eight steps each.
    CHECK(played.doneAt - played.firstAt > 3 * 8 * figures.stepMs - 25);
    CHECK(played.doneAt - played.firstAt < 3 * 8 * figures.stepMs + 10);
}

TEST_CASE("parts that were read are not read again, until memory yields the oldest")
{
    EngineFigures figures;
    figures.memoryTokens = 10000;
    EmulatedEngine engine(figures, EngineStage::Decode);
    engine.offer(job(1, chain("a", 4000, 100, 1)));
    const double cold = play(engine, 1).firstAt;
    engine.offer(job(2, chain("a", 4000, 100, 2)));
    const double warm = play(engine, 2).firstAt;
    CHECK(warm < cold / 3);
    engine.offer(job(3, chain("b", 8000, 100, 3)));
    play(engine, 3);
    engine.offer(job(4, chain("a", 4000, 100, 4)));
    CHECK(play(engine, 4).firstAt == doctest::Approx(cold).epsilon(0.05));
}

TEST_CASE("an engine takes what fits its stage, and a cache is fetched once")
{
    const EngineFigures figures;
    EmulatedEngine reader(figures, EngineStage::Prefill);
    EngineJob reading = job(1, chain("a", 4000, 100));
    CHECK(reader.offer(reading) == EngineRefusal::WrongStage);
    reading.isPrefillOnly = true;
    CHECK_FALSE(reader.offer(reading).has_value());
    CHECK(play(reader, 1).firstAt > 0);
    CHECK(reader.memory().reserved() > 4000);
    CHECK(reader.takeHandle(1, 100));
    CHECK_FALSE(reader.takeHandle(1, 100));
    CHECK(reader.memory().reserved() == 0);
}

TEST_CASE("a change of stage refuses what waits, and lets running work end")
{
    EngineFigures figures;
    figures.slots = 1;
    EmulatedEngine engine(figures, EngineStage::Decode);
    engine.offer(job(1, chain("a", 100, 100)));
    engine.offer(job(2, chain("a", 100, 100)));
    engine.beginStep(0);
    const auto refused = engine.orderStage(EngineStage::Prefill);
    REQUIRE(refused);
    CHECK(*refused == std::vector<std::uint64_t>{2});
    CHECK(engine.offer(job(3, chain("a", 100, 100))) == EngineRefusal::Changing);
    CHECK_FALSE(engine.beginChange().has_value());
    engine.endStep(50);
    CHECK(play(engine, 1).events > 0);
    CHECK(engine.beginChange() == figures.stageSwitchMs);
    engine.endChange();
    CHECK(engine.stage() == EngineStage::Prefill);
}

// Reading in the engine's batch lengthens each step, so streams pause.
TEST_CASE("a long prompt stretches the pauses of a stream beside it")
{
    const EngineFigures figures;
    EmulatedEngine alone(figures, EngineStage::Decode);
    alone.offer(job(1, chain("a", 100, 100), 20));
    const double calm = play(alone, 1).doneAt;
    EmulatedEngine beside(figures, EngineStage::Decode);
    beside.offer(job(1, chain("a", 100, 100), 20));
    beside.offer(job(2, chain("b", 20000, 100), 1));
    CHECK(play(beside, 1).doneAt > calm + 900);
}
