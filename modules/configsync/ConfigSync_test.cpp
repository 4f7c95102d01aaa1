#include "configsync/configsync.h"

#include "core/events/EventCatalogue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

ClusterShape shapeOf(std::size_t instances)
{
    ClusterShape shape;
    shape.instances = instances;
    return shape;
}

std::size_t countServing(ConfigCluster &cluster)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        count += cluster.config(i).freshness(cluster.now()).mayServe ? 1 : 0;
    return count;
}

std::size_t countWatching(ConfigCluster &cluster)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        count += cluster.config(i).isWatching() ? 1 : 0;
    return count;
}

bool onlyRises(const std::vector<std::uint64_t> &generations)
{
    return std::is_sorted(generations.begin(), generations.end())
        && std::adjacent_find(generations.begin(), generations.end()) == generations.end();
}

} // namespace

TEST_CASE("a change is in force everywhere within the second, at a bounded cost to the store")
{
    for (const std::size_t size : {2U, 6U, 24U}) {
        INFO(size);
        const ConfigFigures figures = measureConfigSync(shapeOf(size));
        CHECK(figures.inForceWorst < Millis(1000));
        CHECK(figures.withdrawnWorst < Millis(1000));
        CHECK(figures.ageWorst < Millis(4500));
        CHECK(figures.watchers <= 3 * 6);
        CHECK(figures.storeCallsPerSecond < 3 * 6 * 2);
        CHECK(figures.refusedInOutage == 0);
        CHECK(figures.worstReturnCallsPerSecond < 3 * 6 * 4);
    }
}

// A key is withdrawn while one instance has lost the store, but not its peers. Its caller must
// be refused there too; the peers tell it.
TEST_CASE("a withdrawn key stops at an instance that is cut off from the store")
{
    ConfigCluster cluster(shapeOf(6));
    const std::string key = ConfigCluster::keyHash(1);
    cluster.apply({key}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); ++i)
        CHECK(cluster.accepts(i, key));
    cluster.setStoreCut(4, true);
    cluster.runFor(Millis::seconds(10));
    CHECK(cluster.accepts(4, key));
    cluster.apply({}, {key});
    cluster.runFor(Millis::seconds(1));
    CHECK_FALSE(cluster.accepts(4, key));
}

// An instance loses the store and all peers, its callers not. A key is withdrawn meanwhile. It
// cannot know, and its caller would be served for as long as the cut lasts; so it refuses all
// work from the limit on, says why, and goes on when it is back.
TEST_CASE("an instance that can confirm its settings with nobody refuses work")
{
    ConfigCluster cluster(shapeOf(6));
    const std::string key = ConfigCluster::keyHash(1);
    cluster.apply({key}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    std::size_t stale = 0;
    cluster.instances().at(3).events = [&](const Event &event) {
        stale += event.kind == &events::configurationStale ? 1 : 0;
    };
    cluster.setStoreCut(3, true);
    cluster.instances().setConnected(3, false);
    cluster.apply({}, {key});
    cluster.runFor(Millis(5500));
    CHECK_FALSE(cluster.accepts(3, key));
    CHECK(stale == 1);
    cluster.runFor(Millis::minutes(1));
    CHECK_FALSE(cluster.accepts(3, key));
    CHECK(countServing(cluster) == 5);
    cluster.setStoreCut(3, false);
    cluster.instances().setConnected(3, true);
    cluster.runFor(Millis::seconds(20));
    CHECK(countServing(cluster) == 6);
    CHECK_FALSE(cluster.accepts(3, key));
}

// A failure domain of two is cut off from the store and from the rest. The two still reach each
// other. If it were enough that two agree, both would honour a withdrawn key for an hour.
TEST_CASE("a minority that agrees with itself refuses work")
{
    ConfigCluster cluster(shapeOf(6));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (const std::size_t inside : {0U, 3U}) {
        cluster.setStoreCut(inside, true);
        for (const std::size_t outside : {1U, 2U, 4U, 5U})
            cluster.instances().setPathCut(inside, outside, true);
    }
    cluster.runFor(Millis::seconds(15));
    CHECK(countServing(cluster) == 4);
}

// The store is out for everybody for an hour. Nothing can be withdrawn or changed, so traffic goes
// on; when it is back the instances must not all ask it in the same second.
TEST_CASE("an outage of the store for everybody stops no traffic and ends without a rush")
{
    ConfigCluster cluster(shapeOf(24));
    const std::uint64_t before = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(30));
    cluster.setStoreOut(true);
    for (int minute = 0; minute < 60; ++minute) {
        cluster.runFor(minute == 5 ? Millis::minutes(1) : Millis::seconds(5));
        CHECK(countServing(cluster) == 24);
    }
    CHECK(countWatching(cluster) <= 18);
    CHECK(cluster.countInForce(before) == 24);
    const std::uint64_t calls = cluster.store().counts().gets + cluster.store().counts().watches;
    cluster.setStoreOut(false);
    const std::uint64_t after = cluster.apply({}, {});
    cluster.runFor(Millis(1000));
    CHECK(cluster.store().counts().gets + cluster.store().counts().watches - calls <= 24);
    CHECK(cluster.runUntilInForce(after, Millis::seconds(30)) < Millis::seconds(12));
}

// An instance is replaced while the store is out. It must not wait for the store: its peers have
// the whole tree.
TEST_CASE("an instance that starts while the store is out takes the tree from peers")
{
    ConfigCluster cluster(shapeOf(6));
    const std::uint64_t generation = cluster.apply({ConfigCluster::keyHash(1)}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.setStoreOut(true);
    cluster.runFor(Millis::seconds(20));
    cluster.start(2);
    cluster.runFor(Millis::seconds(5));
    CHECK(cluster.config(2).generation() == generation);
    CHECK(cluster.accepts(2, ConfigCluster::keyHash(1)));
}

// A restarted instance reads the store, and the answer comes from a copy that lags. Before its
// restart it had newer settings in force; now a withdrawn key would work again there.
TEST_CASE("a lagging read after a restart puts nothing older in force")
{
    ConfigCluster cluster(shapeOf(6));
    const std::string key = ConfigCluster::keyHash(1);
    cluster.apply({key}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    const std::uint64_t newest = cluster.apply({}, {key});
    cluster.runFor(Millis::seconds(5));
    cluster.store().setReadLag(VirtualCluster::idOf(1).text(), Millis::seconds(15));
    // The store answers at once, the peers a second later.
    cluster.instances().setConnected(1, false);
    cluster.start(1);
    cluster.runFor(Millis::seconds(1));
    cluster.instances().setConnected(1, true);
    cluster.runFor(Millis::seconds(20));
    CHECK(cluster.config(1).generation() == newest);
    CHECK(cluster.history(1) == std::vector<std::uint64_t>{newest - 1, newest, newest});
    CHECK_FALSE(cluster.accepts(1, key));
}

// The store is put back from a copy of yesterday, or a read of a running instance lags: the head
// has a lower generation than is in force.
TEST_CASE("an older head is refused while running, and an operator can see it")
{
    ConfigCluster cluster(shapeOf(3));
    cluster.apply({}, {});
    cluster.apply({}, {ConfigCluster::keyHash(1)});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    std::size_t refusals = 0;
    cluster.instances().at(0).events = [&](const Event &event) {
        refusals += event.kind == &events::configurationWouldRevert ? 1 : 0;
    };
    SettingsHead old;
    old.generation = 1;
    old.token = "restored";
    cluster.store().write(kSettingsHeadPath, old.toText());
    cluster.runFor(Millis::seconds(5));
    CHECK(refusals >= 1);
    CHECK(cluster.countInForce(2) == 3);
}

// Changes follow each other faster than they spread, and frames get lost. Each instance may skip
// some, but must never show an earlier one after a later one, and must end at the last.
TEST_CASE("versions only move forward through a burst of changes")
{
    ClusterShape shape = shapeOf(24);
    shape.loss = 0.05;
    ConfigCluster cluster(shape);
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    std::uint64_t last = 0;
    for (std::size_t i = 0; i < 40; ++i) {
        last = cluster.apply({ConfigCluster::keyHash(i)}, {});
        cluster.runFor(Millis(7 * (std::int64_t(i) % 5)));
    }
    CHECK(cluster.runUntilInForce(last, Millis::seconds(30)) < Millis::seconds(6));
    for (std::size_t i = 0; i < cluster.size(); ++i)
        CHECK(onlyRises(cluster.history(i)));
}

// An operator's tool of another version writes a tree that does not fit together here. The former
// settings must stay in force as they are, and an event must say why.
TEST_CASE("settings that are not valid here leave the former ones in force")
{
    ConfigCluster cluster(shapeOf(3));
    const std::uint64_t good = cluster.apply({ConfigCluster::keyHash(1)}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    std::string reason;
    cluster.instances().at(1).events = [&](const Event &event) {
        if (event.kind == &events::configurationRefused)
            reason = event.fields.back().second;
    };
    cluster.applySubtrees({{"fleet", R"({"domains":[],"colour":"blue"})"}});
    cluster.runFor(Millis::seconds(10));
    CHECK(cluster.countInForce(good) == 3);
    CHECK(reason == "fleet: /colour: unknown entry");
    CHECK(countServing(cluster) == 3);
    const std::uint64_t next = cluster.apply({}, {});
    CHECK(cluster.runUntilInForce(next, Millis::seconds(10)) < Millis::seconds(3));
}

// A content in the store was damaged, or a peer sends another text than it was asked for. Taken
// unseen, it could be valid JSON and open the wrong customer.
TEST_CASE("a content with another hash than the head names is not taken")
{
    ConfigCluster cluster(shapeOf(3));
    const std::uint64_t good = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    const std::string right = R"({"keys": [ ]})"; // spaces: not the text in force
    const std::string wrong =
        R"({"keys":[{"sha256":")" + ConfigCluster::keyHash(9) + R"(","customer":"c"}]})";
    SettingsHead head;
    head.generation = good + 1;
    for (const auto &subtree : SettingsSubtrees{{"fleet", R"({"domains":[]})"},
                                                {"teams/t", R"({"customers":[{"id":"c"}]})"},
                                                {"keys/t", right}}) {
        const std::string hash = virtualSha256(subtree.second);
        const bool isDamaged = subtree.first == "keys/t";
        cluster.store().write(settingsContentPath(hash), isDamaged ? wrong : subtree.second);
        head.subtrees[subtree.first] = hash;
    }
    cluster.store().write(kSettingsHeadPath, head.toText());
    cluster.runFor(Millis::seconds(10));
    CHECK(cluster.countInForce(good) == 3);
    cluster.store().write(settingsContentPath(virtualSha256(right)), right);
    CHECK(cluster.runUntilInForce(good + 1, Millis::seconds(30)) < Millis::seconds(20));
}

namespace {

/** A head watcher over a store whose answers a test gives. */
class WatcherBench
{
public:
    using Ask = std::function<void(const StoreCompletion &)>;

    explicit WatcherBench(const Ask &onWatch)
    {
        HeadWatcherHooks hooks{ObjectStore(),
                               scheduler.clock(),
                               scheduler.random(),
                               [this](const Event &event) {
                                   replaced += event.kind == &events::watchReplaced ? 1 : 0;
                               },
                               [this](const std::string &text) { newest = text; },
                               [this](Millis querySentAt) { confirmedAt = querySentAt; }};
        hooks.store.get = [this](const std::string &, const StoreCompletion &done) {
            scheduler.after(Millis(2), [done] { done(replyWith("first", 5)); });
        };
        hooks.store.watch = [onWatch](const std::string &, ObjectVersion, Millis,
                                      const StoreCompletion &done) { onWatch(done); };
        watcher_ = std::make_unique<HeadWatcher>(HeadWatcherConfig(), std::move(hooks));
        scheduler.every(Millis(100), [this] { watcher_->tick(true); });
    }

    static StoreReply replyWith(const std::string &text, ObjectVersion version)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        reply.version = version;
        reply.objects.push_back(StoreObject{kSettingsHeadPath, text, version, false});
        return reply;
    }

    FakeScheduler scheduler;
    std::size_t replaced = 0;
    std::string newest;
    Millis confirmedAt;

private:
    std::unique_ptr<HeadWatcher> watcher_;
};

} // namespace

// A watch's connection goes silent for good: no answer, no reset. New connections work. The
// settings would stay as they are, and nobody would notice.
TEST_CASE("a watch that went silent is replaced")
{
    std::size_t asked = 0;
    FakeScheduler *scheduler = nullptr;
    WatcherBench bench([&](const StoreCompletion &done) {
        if (++asked > 1)
            scheduler->after(Millis(500), [done] { done(WatcherBench::replyWith("newer", 6)); });
    });
    scheduler = &bench.scheduler;
    bench.scheduler.runFor(Millis::seconds(6));
    CHECK(bench.replaced == 1);
    CHECK(bench.newest == "newer");
}

// The store is slow for an hour: each answer takes eight seconds. Calls are given up before, but
// what they say in the end is true; if it were thrown away no change would come into force.
TEST_CASE("a slow store's late answers are taken, with the age that they have")
{
    FakeScheduler *scheduler = nullptr;
    WatcherBench bench([&](const StoreCompletion &done) {
        scheduler->after(Millis::seconds(8), [done] { done(WatcherBench::replyWith("newer", 6)); });
    });
    scheduler = &bench.scheduler;
    bench.scheduler.runFor(Millis::seconds(9));
    CHECK(bench.newest == "newer");
    CHECK(bench.scheduler.now() - bench.confirmedAt >= Millis::seconds(8));
}

// A watcher is killed, or stops as planned. Another of its domain must take its place without
// anybody handing over, or the domain would hear of changes last.
TEST_CASE("the duty to watch moves when a watcher goes")
{
    ConfigCluster cluster(shapeOf(24));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::minutes(7)); // substitutes of the start have stepped back
    CHECK(countWatching(cluster) == 6);
    std::size_t victim = 0;
    while (!cluster.config(victim).isWatching())
        ++victim;
    cluster.instances().kill(victim);
    cluster.runFor(Millis::seconds(15));
    CHECK(countWatching(cluster) == 7); // the killed one's state is still there
    std::size_t leaving = victim + 1;
    while (!cluster.config(leaving).isWatching())
        ++leaving;
    cluster.instances().membership(leaving).leave(cluster.now());
    cluster.runFor(Millis::seconds(1));
    CHECK_FALSE(cluster.config(leaving).isWatching());
    CHECK(countWatching(cluster) == 7);
}

// Both watchers of a domain lose the store, and with it the domain's nearest word of it. Others
// of the domain step in.
TEST_CASE("substitutes step in when the watchers confirm nothing")
{
    ConfigCluster cluster(shapeOf(24));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::minutes(7));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (cluster.config(i).isWatching())
            cluster.setStoreCut(i, true);
    }
    cluster.runFor(Millis::seconds(8));
    CHECK(countServing(cluster) == 24);
    const std::uint64_t next = cluster.apply({}, {});
    CHECK(cluster.runUntilInForce(next, Millis::seconds(10)) < Millis::seconds(6));
}

// A tree of many teams is larger than a frame; it must travel in pieces and arrive whole.
TEST_CASE("a large tree travels between peers in pieces")
{
    ConfigCluster cluster(shapeOf(6));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    std::string team = R"({"customers":[{"id":"c0"})";
    for (int i = 1; i < 9000; ++i)
        team += R"(,{"id":"c)" + std::to_string(i) + R"(","weight":2.5})";
    team += "]}";
    REQUIRE(team.size() > 4 * ConfigMessageLimits::chunkBytes);
    const std::uint64_t next =
        cluster.applySubtrees({{"fleet", R"({"domains":[]})"}, {"teams/t", team}});
    CHECK(cluster.runUntilInForce(next, Millis::seconds(10)) < Millis::seconds(3));
}

TEST_CASE("malformed frames change nothing and are counted")
{
    ConfigCluster cluster(shapeOf(2));
    const std::uint64_t generation = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    const std::string chunk =
        encodeConfig(ContentChunkMessage{virtualSha256("x"), 0, 10, "0123456789"});
    REQUIRE(decodeConfig(chunk));
    for (std::size_t length = 0; length < chunk.size(); ++length)
        CHECK_FALSE(cluster.config(0).receive(chunk.substr(0, length)));
    CHECK(cluster.config(0).malformedFrames() == chunk.size());
    CHECK(cluster.config(0).receive(chunk)); // well formed, but nobody asked for it
    CHECK(cluster.config(0).generation() == generation);
}
