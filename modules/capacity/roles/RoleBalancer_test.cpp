#include "capacity/roles/RoleBalancer.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

const ModelId model{"m"};

RoleInput fleetOf(int prefill, int decode, int mixed)
{
    RoleInput input;
    const auto add = [&](int count, EngineRole role) {
        for (int i = 0; i < count; ++i) {
            RoleEngine engine;
            engine.id = UpstreamId("e" + std::to_string(input.engines.size()));
            engine.domain = FailureDomainId("d" + std::to_string(input.engines.size() % 3));
            engine.model = model;
            engine.role = role;
            input.engines.push_back(engine);
        }
    };
    add(prefill, EngineRole::Prefill);
    add(decode, EngineRole::Decode);
    add(mixed, EngineRole::Mixed);
    return input;
}

struct Play
{
    RoleBalancer balancer{RoleTiming{}};
    RoleInput input;
    int changes = 0;

    /** Asks every second and lets each change take effect five seconds later. */
    void run(Millis from, Millis to, const std::function<ModelMix(Millis)> &mix)
    {
        for (Millis now = from; now < to; now += Millis(1000)) {
            for (auto it = due_.begin(); it != due_.end();) {
                if (now < it->first) {
                    ++it;
                    continue;
                }
                finish(it->second);
                it = due_.erase(it);
            }
            input.mix[model] = mix(now);
            for (const RoleChange &change : balancer.decide(now, input)) {
                ++changes;
                mark(change.engine);
                due_.emplace_back(now + Millis::seconds(5), change);
            }
        }
    }

    int count(EngineRole role) const
    {
        int found = 0;
        for (const RoleEngine &engine : input.engines)
            found += engine.role == role ? 1 : 0;
        return found;
    }

private:
    void mark(const UpstreamId &id)
    {
        for (RoleEngine &engine : input.engines)
            engine.changing = engine.changing || engine.id == id;
    }
    void finish(const RoleChange &change)
    {
        for (RoleEngine &engine : input.engines) {
            if (engine.id != change.engine)
                continue;
            engine.changing = false;
            engine.role = change.to;
        }
    }

    std::vector<std::pair<Millis, RoleChange>> due_;
};

} // namespace

TEST_CASE("what routing can place leads to no role change")
{
    struct Row
    {
        const char *name;
        RoleInput fleet;
        ModelMix mix;
    };
    const std::vector<Row> rows = {
        {"all mixed", fleetOf(0, 0, 8), {4, 2.5}},
        {"fits as it is", fleetOf(3, 5, 0), {2, 4}},
        {"decode engines lend to prefill", fleetOf(2, 6, 0), {2.6, 3}},
        {"mixed engines take the rest", fleetOf(2, 4, 2), {2.5, 4}},
    };
    for (const Row &row : rows) {
        INFO(row.name);
        Play play;
        play.input = row.fleet;
        play.run(Millis(0), Millis::minutes(10), [&](Millis) { return row.mix; });
        CHECK(play.changes == 0);
    }
}

TEST_CASE("a lasting shortage is met by as few changes as it takes")
{
    Play play;
    play.input = fleetOf(2, 6, 0);
    play.run(Millis(0), Millis::minutes(10), [](Millis) { return ModelMix{4, 2}; });
    CHECK(play.count(EngineRole::Prefill) >= 3);
    CHECK(play.count(EngineRole::Prefill) <= 5);
    CHECK(play.balancer.shortage(play.input.engines, {4, 2}) < RoleTiming{}.leastGain);
    CHECK(play.changes <= 3);
}

// The mix swings to and fro faster than an engine changes its role. Following it would take
// engines away again and again, and callers would only see them missing.
TEST_CASE("a mix that swings fast is not followed")
{
    Play play;
    play.input = fleetOf(3, 5, 0);
    play.run(Millis(0), Millis::minutes(30), [](Millis now) {
        const bool isPromptHeavy = now.count() / 20000 % 2 == 0;
        return isPromptHeavy ? ModelMix{4.5, 2} : ModelMix{1.5, 5};
    });
    CHECK(play.changes <= 2);
}

// A swing that lasts is followed, but a day of it must not turn into a day of role changes.
TEST_CASE("slow swings cost a bounded number of changes")
{
    Play play;
    play.input = fleetOf(3, 5, 0);
    play.run(Millis(0), Millis::minutes(120), [](Millis now) {
        const bool isPromptHeavy = now.count() / Millis::minutes(20).count() % 2 == 0;
        return isPromptHeavy ? ModelMix{4.5, 2} : ModelMix{1.5, 5.5};
    });
    CHECK(play.changes >= 2);
    CHECK(play.changes <= 6 * 3);
}

// All demand is for one kind of work for an hour. Taking the last engine of the other kind would
// leave the first caller who needs it with nothing.
TEST_CASE("the last engine of a kind of work is never taken")
{
    Play play;
    play.input = fleetOf(1, 3, 0);
    play.run(Millis(0), Millis::minutes(60), [](Millis) { return ModelMix{9, 0}; });
    CHECK(play.count(EngineRole::Decode) >= 1);
    Play other;
    other.input = fleetOf(3, 1, 0);
    other.run(Millis(0), Millis::minutes(60), [](Millis) { return ModelMix{0, 9}; });
    CHECK(other.count(EngineRole::Prefill) >= 1);
}

TEST_CASE("a failure domain never has more engines changing than it may")
{
    RoleBalancer balancer{RoleTiming{}};
    RoleInput input = fleetOf(1, 6, 0);
    for (RoleEngine &engine : input.engines)
        engine.domain = FailureDomainId("d0");
    RoleEngine other = input.engines.front();
    other.id = UpstreamId("x");
    other.model = ModelId("other");
    other.changing = true;
    input.engines.push_back(other);
    input.mix[model] = ModelMix{5, 1};
    std::size_t changes = 0;
    for (Millis now; now < Millis::minutes(5); now += Millis(1000))
        changes += balancer.decide(now, input).size();
    CHECK(changes == 0);
    input.concurrentChanges[FailureDomainId("d0")] = 2;
    for (Millis now = Millis::minutes(5); now < Millis::minutes(10); now += Millis(1000))
        changes += balancer.decide(now, input).size();
    CHECK(changes > 0);
}
