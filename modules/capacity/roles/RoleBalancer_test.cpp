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

struct Simulation
{
    RoleBalancer balancer{RoleBalancerOptions{}};
    RoleInput input;
    int changes = 0;

    /** Decides every second; each change takes effect five seconds later. */
    void run(Millis from, Millis to, const std::function<ModelDemand(Millis)> &demand)
    {
        for (Millis now = from; now < to; now += Millis(1000)) {
            for (auto it = pendingChanges_.begin(); it != pendingChanges_.end();) {
                if (now < it->first) {
                    ++it;
                    continue;
                }
                finishChange(it->second);
                it = pendingChanges_.erase(it);
            }
            input.demand[model] = demand(now);
            for (const RoleChange &change : balancer.decide(now, input)) {
                ++changes;
                markChanging(change.engine);
                pendingChanges_.emplace_back(now + Millis::seconds(5), change);
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
    void markChanging(const UpstreamId &id)
    {
        for (RoleEngine &engine : input.engines)
            engine.changing = engine.changing || engine.id == id;
    }
    void finishChange(const RoleChange &change)
    {
        for (RoleEngine &engine : input.engines) {
            if (engine.id != change.engine)
                continue;
            engine.changing = false;
            engine.role = change.to;
        }
    }

    std::vector<std::pair<Millis, RoleChange>> pendingChanges_;
};

} // namespace

TEST_CASE("demand that routing can place leads to no role change")
{
    struct Row
    {
        const char *name;
        RoleInput fleet;
        ModelDemand demand;
    };
    const std::vector<Row> rows = {
        {"all mixed", fleetOf(0, 0, 8), {4, 2.5}},
        {"each role fits its demand", fleetOf(3, 5, 0), {2, 4}},
        {"decode engines do prefill work", fleetOf(2, 6, 0), {2.6, 3}},
        {"mixed engines do the remaining work", fleetOf(2, 4, 2), {2.5, 4}},
    };
    for (const Row &row : rows) {
        INFO(row.name);
        Simulation simulation;
        simulation.input = row.fleet;
        simulation.run(Millis(0), Millis::minutes(10), [&](Millis) { return row.demand; });
        CHECK(simulation.changes == 0);
    }
}

TEST_CASE("a lasting shortage is resolved with the fewest changes")
{
    Simulation simulation;
    simulation.input = fleetOf(2, 6, 0);
    simulation.run(Millis(0), Millis::minutes(10), [](Millis) { return ModelDemand{4, 2}; });
    CHECK(simulation.count(EngineRole::Prefill) >= 3);
    CHECK(simulation.count(EngineRole::Prefill) <= 5);
    CHECK(simulation.balancer.shortage(simulation.input.engines, {4, 2})
          < RoleBalancerOptions{}.minGain);
    CHECK(simulation.changes <= 3);
}

// Demand shifts between prefill and decode faster than an engine can change its role. Following it
// would repeatedly make engines unavailable, and callers would only notice the missing capacity.
TEST_CASE("fast oscillations of the demand lead to no role changes")
{
    Simulation simulation;
    simulation.input = fleetOf(3, 5, 0);
    simulation.run(Millis(0), Millis::minutes(30), [](Millis now) {
        const bool isPromptHeavy = now.count() / 20000 % 2 == 0;
        return isPromptHeavy ? ModelDemand{4.5, 2} : ModelDemand{1.5, 5};
    });
    CHECK(simulation.changes <= 2);
}

// A shift that lasts leads to role changes, but a day of slow shifts must not lead to a day of
// continuous changes.
TEST_CASE("slow oscillations lead to a limited number of changes")
{
    Simulation simulation;
    simulation.input = fleetOf(3, 5, 0);
    simulation.run(Millis(0), Millis::minutes(120), [](Millis now) {
        const bool isPromptHeavy = now.count() / Millis::minutes(20).count() % 2 == 0;
        return isPromptHeavy ? ModelDemand{4.5, 2} : ModelDemand{1.5, 5.5};
    });
    CHECK(simulation.changes >= 2);
    CHECK(simulation.changes <= 6 * 3);
}

// All demand is for one kind of work for an hour. If the last engine for the other kind changed its
// role, the next caller that needs it could not be served.
TEST_CASE("the last engine for a kind of work keeps its role")
{
    Simulation simulation;
    simulation.input = fleetOf(1, 3, 0);
    simulation.run(Millis(0), Millis::minutes(60), [](Millis) { return ModelDemand{9, 0}; });
    CHECK(simulation.count(EngineRole::Decode) >= 1);
    Simulation other;
    other.input = fleetOf(3, 1, 0);
    other.run(Millis(0), Millis::minutes(60), [](Millis) { return ModelDemand{0, 9}; });
    CHECK(other.count(EngineRole::Prefill) >= 1);
}

TEST_CASE("a failure domain never exceeds its limit of concurrent role changes")
{
    RoleBalancer balancer{RoleBalancerOptions{}};
    RoleInput input = fleetOf(1, 6, 0);
    for (RoleEngine &engine : input.engines)
        engine.domain = FailureDomainId("d0");
    RoleEngine other = input.engines.front();
    other.id = UpstreamId("x");
    other.model = ModelId("other");
    other.changing = true;
    input.engines.push_back(other);
    input.demand[model] = ModelDemand{5, 1};
    std::size_t changes = 0;
    for (Millis now; now < Millis::minutes(5); now += Millis(1000))
        changes += balancer.decide(now, input).size();
    CHECK(changes == 0);
    input.concurrentChanges[FailureDomainId("d0")] = 2;
    for (Millis now = Millis::minutes(5); now < Millis::minutes(10); now += Millis(1000))
        changes += balancer.decide(now, input).size();
    CHECK(changes > 0);
}
