#include "routing/routing.h"

#include "core/core.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis::seconds(1000);

/** Three instances with the same two engines, which have different indexes at the second one. */
struct ThreeInstances
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

    ThreeInstances()
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

    UpstreamLoad &live(std::size_t instance, const char *engine)
    {
        Instance &self = *instances[instance];
        return self.loads.upstream(self.indexes.upstreams.find(UpstreamId(engine)));
    }

    /** Polls one instance and delivers the message to another one. */
    void deliver(std::size_t from, std::size_t to, Millis now)
    {
        instances[from]->sent.clear();
        instances[from]->exchange.poll(instances[from]->loads, now);
        REQUIRE(instances[from]->sent.size() == 2);
        instances[to]->exchange.handleFrame(instances[from]->sent[0], instances[to]->loads, now);
    }

    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace

TEST_CASE("the sum over peers replaces an old load report, matched by upstream name")
{
    // Instances assign upstream indexes independently. Matching by index would add a peer's load to
    // the wrong engine.
    ThreeInstances group;
    group.live(0, "x").requests = 3;
    group.live(1, "x").requests = 4;
    group.live(1, "y").promptTokens = 900;
    group.instances[2]->loads.applyReport(0, {20, 0, 0}, Millis(500), start);
    group.deliver(0, 2, start);
    CHECK(group.live(2, "x").othersRequests == 20);
    group.deliver(1, 2, start);
    CHECK(group.live(2, "x").othersRequests == 7);
    CHECK(group.live(2, "y").othersPromptTokens == 900);
    group.instances[2]->loads.applyReport(0, {20, 0, 0}, Millis(500), start + Millis(100));
    CHECK(group.live(2, "x").othersRequests == 7);
}

TEST_CASE("load reports count again when a peer is unresponsive")
{
    // A partitioned instance still sends requests to the engines. If its load counted as zero, the
    // engines would look idle to the other instances, whose requests would queue there.
    ThreeInstances group;
    group.deliver(0, 2, start);
    group.deliver(1, 2, start);
    CHECK(group.instances[2]->exchange.hasAllPeerLoads(start));
    const Millis later = start + Millis(700);
    group.deliver(0, 2, later);
    CHECK_FALSE(group.instances[2]->exchange.hasAllPeerLoads(later));
    group.instances[2]->loads.applyReport(0, {20, 0, 0}, Millis(300), later);
    CHECK(group.live(2, "x").othersRequests == 20);
}

TEST_CASE("messages that are out of order or malformed are dropped")
{
    // An old message delivered late must not replace the newer load of the same peer.
    ThreeInstances group;
    group.live(0, "x").requests = 9;
    group.deliver(0, 2, start);
    const std::string old = group.instances[0]->sent[0];
    group.live(0, "x").requests = 1;
    group.deliver(0, 2, start + Millis(100));
    group.deliver(1, 2, start + Millis(100));
    auto &receiver = *group.instances[2];
    receiver.exchange.handleFrame(old, receiver.loads, start + Millis(110));
    receiver.exchange.handleFrame("nonsense", receiver.loads, start + Millis(110));
    CHECK(group.live(2, "x").othersRequests == 1);
    CHECK_FALSE(decodeLoadMessage("\x80").has_value());
}

TEST_CASE("nothing is sent above the maximum number of peers")
{
    // Traffic grows with the square of the number of instances.
    ThreeInstances group;
    std::vector<InstanceId> many;
    many.reserve(40);
    for (int i = 0; i < 40; ++i)
        many.emplace_back("peer-" + std::to_string(i));
    group.instances[0]->exchange.setPeers(many);
    group.instances[0]->exchange.poll(group.instances[0]->loads, start);
    CHECK(group.instances[0]->sent.empty());
    CHECK_FALSE(group.instances[0]->exchange.hasAllPeerLoads(start));
}
