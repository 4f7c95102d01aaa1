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

/** Outputs of one job and their times. */
struct JobOutcome
{
    double firstAt = 0;
    double doneAt = 0;
    int events = 0;
};

/** Steps an engine until it is idle; returns the outputs of one job. */
JobOutcome play(EmulatedEngine &engine, std::uint64_t id)
{
    JobOutcome outcome;
    double now = 0;
    for (double millis = engine.beginStep(now); millis > 0; millis = engine.beginStep(now)) {
        now += millis;
        for (const EngineOutput &output : engine.endStep(now)) {
            if (output.job != id)
                continue;
            const double at = now + output.delayMs;
            outcome.events += output.sign == EngineSign::Event ? 1 : 0;
            if (outcome.firstAt == 0)
                outcome.firstAt = at;
            outcome.doneAt = at;
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("prefill and decoding take the modelled time")
{
    const EngineFigures figures;
    EmulatedEngine engine(figures, EngineStage::Decode);
    CHECK_FALSE(engine.offer(job(1, chain("a", 1000, 835), 4)).has_value());
    const JobOutcome outcome = play(engine, 1);
    CHECK(outcome.events == 4);
    // 1,835 tokens at half of 36.7 per ms take 100 ms, plus four prefill steps, one decode step
    // and the delay of the first event.
    CHECK(outcome.firstAt > 100);
    CHECK(outcome.firstAt < 160);
    // Three more events of eight steps each.
    CHECK(outcome.doneAt - outcome.firstAt > 3 * 8 * figures.stepMs - 25);
    CHECK(outcome.doneAt - outcome.firstAt < 3 * 8 * figures.stepMs + 10);
}

TEST_CASE("cached parts skip prefill until they are evicted as least recently used")
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

TEST_CASE("an engine accepts only jobs of its stage, and a cache is fetched once")
{
    const EngineFigures figures;
    EmulatedEngine prefillEngine(figures, EngineStage::Prefill);
    EngineJob prefillJob = job(1, chain("a", 4000, 100));
    CHECK(prefillEngine.offer(prefillJob) == EngineRefusal::WrongStage);
    prefillJob.isPrefillOnly = true;
    CHECK_FALSE(prefillEngine.offer(prefillJob).has_value());
    CHECK(play(prefillEngine, 1).firstAt > 0);
    CHECK(prefillEngine.memory().reserved() > 4000);
    CHECK(prefillEngine.takeHandle(1, 100));
    CHECK_FALSE(prefillEngine.takeHandle(1, 100));
    CHECK(prefillEngine.memory().reserved() == 0);
}

TEST_CASE("a stage change rejects queued jobs and lets running work finish")
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

// Prefill in the same batch lengthens each step, which delays the events of running streams.
TEST_CASE("a long prompt lengthens the pauses of a concurrent stream")
{
    const EngineFigures figures;
    EmulatedEngine alone(figures, EngineStage::Decode);
    alone.offer(job(1, chain("a", 100, 100), 20));
    const double aloneDoneAt = play(alone, 1).doneAt;
    EmulatedEngine beside(figures, EngineStage::Decode);
    beside.offer(job(1, chain("a", 100, 100), 20));
    beside.offer(job(2, chain("b", 20000, 100), 1));
    CHECK(play(beside, 1).doneAt > aloneDoneAt + 900);
}
