#include "routing/routing.h"

#include "core/core.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis::seconds(1000);

/** Three instances that see the same two engines, each numbering them in its own order. */
struct Trio
{
    struct Instance
    {
        StableIndexes indexes;
        RoutingTable table;
        LiveLoads loads{8, 2};
        std::vector<std::string> sent;
        LoadExchange exchange;

        explicit Instance(const InstanceId &self)
            : exchange(self, 1, {}, [this](const InstanceId &, const std::string &frame) {
                  sent.push_back(frame);
              })
        { }
    };

    Trio()
    {
        const std::vector<InstanceId> all = {InstanceId("a"), InstanceId("b"), InstanceId("c")};
        Settings settings;
        settings.fleet.domains = {{FailureDomainId("d"), RegionId("r"), 1}};
        for (const char *name : {"x", "y"}) {
            EngineSettings engine;
            engine.id = UpstreamId(name);
            engine.domain = FailureDomainId("d");
            settings.fleet.engines.push_back(engine);
        }
        for (const InstanceId &id : all) {
            instances.push_back(std::make_unique<Instance>(id));
            Instance &self = *instances.back();
            if (instances.size() == 2)
                self.indexes.upstreams.indexOf(UpstreamId("y"));
            self.table = buildRoutingTable(settings, {}, self.indexes);
            self.exchange.setTable(self.table);
            self.exchange.setPeers(all);
        }
    }

    UpstreamLive &live(std::size_t instance, const char *engine)
    {
        Instance &self = *instances[instance];
        return self.loads.upstream(self.indexes.upstreams.find(UpstreamId(engine)));
    }

    /** Polls one instance and delivers what it sent to another. */
    void tell(std::size_t from, std::size_t to, Millis now)
    {
        instances[from]->sent.clear();
        instances[from]->exchange.poll(instances[from]->loads, now);
        REQUIRE(instances[from]->sent.size() == 2);
        instances[to]->exchange.receive(instances[from]->sent[0], instances[to]->loads, now);
    }

    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace

TEST_CASE("the sum over peers replaces a lagging report, by name and not by index")
{
    Trio trio;
    trio.live(0, "x").requests = 3;
    trio.live(1, "x").requests = 4;
    trio.live(1, "y").promptTokens = 900;
    trio.instances[2]->loads.report(0, {20, 0, 0}, Millis(500), start);
    trio.tell(0, 2, start);
    CHECK(trio.live(2, "x").othersRequests == 20);
    trio.tell(1, 2, start);
    CHECK(trio.live(2, "x").othersRequests == 7);
    CHECK(trio.live(2, "y").othersPromptTokens == 900);
    trio.instances[2]->loads.report(0, {20, 0, 0}, Millis(500), start + Millis(100));
    CHECK(trio.live(2, "x").othersRequests == 7);
}

TEST_CASE("when a peer falls silent the reports count again")
{
    // One instance is cut off and still sends work to the engines. Counted as nothing, its
    // engines would look idle to the others, and their callers would wait there.
    Trio trio;
    trio.tell(0, 2, start);
    trio.tell(1, 2, start);
    CHECK(trio.instances[2]->exchange.isComplete(start));
    const Millis later = start + Millis(700);
    trio.tell(0, 2, later);
    CHECK_FALSE(trio.instances[2]->exchange.isComplete(later));
    trio.instances[2]->loads.report(0, {20, 0, 0}, Millis(300), later);
    CHECK(trio.live(2, "x").othersRequests == 20);
}

TEST_CASE("an overtaken message is dropped, and so is one that makes no sense")
{
    Trio trio;
    trio.live(0, "x").requests = 9;
    trio.tell(0, 2, start);
    const std::string old = trio.instances[0]->sent[0];
    trio.live(0, "x").requests = 1;
    trio.tell(0, 2, start + Millis(100));
    trio.tell(1, 2, start + Millis(100));
    auto &receiver = *trio.instances[2];
    receiver.exchange.receive(old, receiver.loads, start + Millis(110));
    receiver.exchange.receive("nonsense", receiver.loads, start + Millis(110));
    CHECK(trio.live(2, "x").othersRequests == 1);
    CHECK_FALSE(decodeSharedLoads("\x80").has_value());
}

TEST_CASE("with many peers nothing is sent")
{
    Trio trio;
    std::vector<InstanceId> many;
    many.reserve(40);
    for (int i = 0; i < 40; ++i)
        many.emplace_back("peer-" + std::to_string(i));
    trio.instances[0]->exchange.setPeers(many);
    trio.instances[0]->exchange.poll(trio.instances[0]->loads, start);
    CHECK(trio.instances[0]->sent.empty());
    CHECK_FALSE(trio.instances[0]->exchange.isComplete(start));
}
