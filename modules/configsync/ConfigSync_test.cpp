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

bool isStrictlyIncreasing(const std::vector<std::uint64_t> &generations)
{
    return std::is_sorted(generations.begin(), generations.end())
        && std::adjacent_find(generations.begin(), generations.end()) == generations.end();
}

} // namespace

TEST_CASE("a change is in force on all instances within one second, with few calls to the store")
{
    for (const std::size_t size : {2U, 6U, 24U}) {
        INFO(size);
        const ConfigSyncMeasurement measurement = measureConfigSync(shapeOf(size));
        CHECK(measurement.inForceWorst < Millis(1000));
        CHECK(measurement.withdrawnWorst < Millis(1000));
        CHECK(measurement.ageWorst < Millis(4500));
        CHECK(measurement.watchers <= 3 * 6);
        CHECK(measurement.storeCallsPerSecond < 3 * 6 * 2);
        CHECK(measurement.refusedInOutage == 0);
        CHECK(measurement.worstCallsPerSecondAfterOutage < 3 * 6 * 4);
    }
}

// A key is withdrawn while one instance has lost the store but not its peers. The withdrawal has to
// reach it through them, or it would go on accepting the key.
TEST_CASE("an instance cut off from the store refuses a withdrawn key")
{
    ConfigCluster cluster(shapeOf(6));
    const std::string key = ConfigCluster::keyHash(1);
    cluster.apply({key}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); ++i)
        CHECK(cluster.accepts(i, key));
    cluster.setStoreUnreachable(4, true);
    cluster.runFor(Millis::seconds(10));
    CHECK(cluster.accepts(4, key));
    cluster.apply({}, {key});
    cluster.runFor(Millis::seconds(1));
    CHECK_FALSE(cluster.accepts(4, key));
}

// An instance loses the store and all peers, but not its callers, and a key is withdrawn meanwhile.
// The instance cannot know this and would accept the key until it reconnects. It therefore has to
// refuse all requests once the staleness limit is exceeded, emit an event with the reason, and
// resume after reconnecting.
TEST_CASE("an instance that cannot confirm its settings refuses requests")
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
    cluster.setStoreUnreachable(3, true);
    cluster.instances().setConnected(3, false);
    cluster.apply({}, {key});
    cluster.runFor(Millis(5500));
    CHECK_FALSE(cluster.accepts(3, key));
    CHECK(stale == 1);
    cluster.runFor(Millis::minutes(1));
    CHECK_FALSE(cluster.accepts(3, key));
    CHECK(countServing(cluster) == 5);
    cluster.setStoreUnreachable(3, false);
    cluster.instances().setConnected(3, true);
    cluster.runFor(Millis::seconds(20));
    CHECK(countServing(cluster) == 6);
    CHECK_FALSE(cluster.accepts(3, key));
}

// A failure domain of two instances is cut off from the store and from all other instances, but the
// two reach each other. If agreement between the two were sufficient, both would accept a withdrawn
// key for an hour.
TEST_CASE("a minority of instances that agree with each other refuses requests")
{
    ConfigCluster cluster(shapeOf(6));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (const std::size_t inside : {0U, 3U}) {
        cluster.setStoreUnreachable(inside, true);
        for (const std::size_t outside : {1U, 2U, 4U, 5U})
            cluster.instances().setLinkCut(inside, outside, true);
    }
    cluster.runFor(Millis::seconds(15));
    CHECK(countServing(cluster) == 4);
}

// The store is unavailable to all instances for an hour. Nothing can be withdrawn or changed, so
// requests must still be served. Afterwards the instances must not all call the store within the
// same second.
TEST_CASE(
    "an outage of the store for all instances stops no requests and ends without a burst of calls")
{
    ConfigCluster cluster(shapeOf(24));
    const std::uint64_t before = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(30));
    cluster.setStoreUnavailable(true);
    for (int minute = 0; minute < 60; ++minute) {
        cluster.runFor(minute == 5 ? Millis::minutes(1) : Millis::seconds(5));
        CHECK(countServing(cluster) == 24);
    }
    CHECK(countWatching(cluster) <= 18);
    CHECK(cluster.countInForce(before) == 24);
    const std::uint64_t calls = cluster.store().counts().gets + cluster.store().counts().watches;
    cluster.setStoreUnavailable(false);
    const std::uint64_t after = cluster.apply({}, {});
    cluster.runFor(Millis(1000));
    CHECK(cluster.store().counts().gets + cluster.store().counts().watches - calls <= 24);
    CHECK(cluster.runUntilInForce(after, Millis::seconds(30)) < Millis::seconds(12));
}

// An instance is replaced during an outage of the store. It has to start without the store,
// since its peers have the whole tree.
TEST_CASE("an instance started during a store outage fetches the settings from peers")
{
    ConfigCluster cluster(shapeOf(6));
    const std::uint64_t generation = cluster.apply({ConfigCluster::keyHash(1)}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.setStoreUnavailable(true);
    cluster.runFor(Millis::seconds(20));
    cluster.start(2);
    cluster.runFor(Millis::seconds(5));
    CHECK(cluster.config(2).generation() == generation);
    CHECK(cluster.accepts(2, ConfigCluster::keyHash(1)));
}

// A restarted instance reads the store and gets a reply from a lagging replica. Before its restart
// it had newer settings in force; with the older ones it would accept a withdrawn key again.
TEST_CASE("a lagging read after a restart puts no older settings in force")
{
    ConfigCluster cluster(shapeOf(6));
    const std::string key = ConfigCluster::keyHash(1);
    cluster.apply({key}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    const std::uint64_t newest = cluster.apply({}, {key});
    cluster.runFor(Millis::seconds(5));
    cluster.store().setReadLag(VirtualCluster::idOf(1).text(), Millis::seconds(15));
    // The store replies immediately, the peers one second later.
    cluster.instances().setConnected(1, false);
    cluster.start(1);
    cluster.runFor(Millis::seconds(1));
    cluster.instances().setConnected(1, true);
    cluster.runFor(Millis::seconds(20));
    CHECK(cluster.config(1).generation() == newest);
    CHECK(cluster.history(1) == std::vector<std::uint64_t>{newest - 1, newest, newest});
    CHECK_FALSE(cluster.accepts(1, key));
}

// The store is restored from an old backup, or a read of a running instance lags: the head has
// a lower generation than the one in force.
TEST_CASE("a running instance refuses an older head and emits an event")
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
    SettingsHead restored;
    restored.generation = 1;
    restored.token = "restored";
    cluster.store().write(kSettingsHeadPath, restored.toText());
    cluster.runFor(Millis::seconds(5));
    CHECK(refusals >= 1);
    CHECK(cluster.countInForce(2) == 3);
}

// Changes follow each other faster than they propagate, and frames are lost. An instance may skip
// generations, but must never put an older one in force after a newer one, and has to reach the
// last.
TEST_CASE("generations only increase during a burst of changes")
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
        CHECK(isStrictlyIncreasing(cluster.history(i)));
}

// An operator's tool of another version writes a tree that is not valid here. The settings in force
// have to stay unchanged, and an event has to contain the reason.
TEST_CASE("invalid settings leave the previous ones in force")
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

// A content in the store is corrupted, or a peer sends another text than requested. Without a check
// it could be valid JSON and grant access to the wrong customer.
TEST_CASE("a content with another hash than the one in the head is rejected")
{
    ConfigCluster cluster(shapeOf(3));
    const std::uint64_t good = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    const std::string right =
        R"({"keys": [ ]})"; // the spaces make it differ from the text in force
    const std::string wrong =
        R"({"keys":[{"sha256":")" + ConfigCluster::keyHash(9) + R"(","customer":"c"}]})";
    SettingsHead head;
    head.generation = good + 1;
    for (const auto &subtree : SettingsSubtrees{{"fleet", R"({"domains":[]})"},
                                                {"teams/t", R"({"customers":[{"id":"c"}]})"},
                                                {"keys/t", right}}) {
        const std::string hash = virtualSha256(subtree.second);
        const bool isCorrupted = subtree.first == "keys/t";
        cluster.store().write(settingsContentPath(hash), isCorrupted ? wrong : subtree.second);
        head.subtrees[subtree.first] = hash;
    }
    cluster.store().write(kSettingsHeadPath, head.toText());
    cluster.runFor(Millis::seconds(10));
    CHECK(cluster.countInForce(good) == 3);
    cluster.store().write(settingsContentPath(virtualSha256(right)), right);
    CHECK(cluster.runUntilInForce(good + 1, Millis::seconds(30)) < Millis::seconds(20));
}

namespace {

/** A HeadWatcher with a store whose replies the test provides. */
class HeadWatcherFixture
{
public:
    using WatchHandler = std::function<void(const StoreCompletion &)>;

    explicit HeadWatcherFixture(const WatchHandler &onWatch)
    {
        HeadWatcherHooks hooks{ObjectStore(),
                               scheduler.clock(),
                               scheduler.random(),
                               [this](const Event &event) {
                                   replacements += event.kind == &events::watchReplaced ? 1 : 0;
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
    std::size_t replacements = 0;
    std::string newest;
    Millis confirmedAt;

private:
    std::unique_ptr<HeadWatcher> watcher_;
};

} // namespace

// The connection of a watch hangs: no reply and no reset, while new connections work. Without a
// replacement the settings would stay outdated unnoticed.
TEST_CASE("a watch without a reply is replaced")
{
    std::size_t watchCalls = 0;
    FakeScheduler *scheduler = nullptr;
    HeadWatcherFixture fixture([&](const StoreCompletion &done) {
        if (++watchCalls > 1)
            scheduler->after(Millis(500),
                             [done] { done(HeadWatcherFixture::replyWith("newer", 6)); });
    });
    scheduler = &fixture.scheduler;
    fixture.scheduler.runFor(Millis::seconds(6));
    CHECK(fixture.replacements == 1);
    CHECK(fixture.newest == "newer");
}

// The store takes eight seconds for each reply, for an hour. The calls time out earlier, but the
// late replies are still correct; if they were dropped, no change would come into force.
TEST_CASE("late replies of a slow store are accepted with their actual age")
{
    FakeScheduler *scheduler = nullptr;
    HeadWatcherFixture fixture([&](const StoreCompletion &done) {
        scheduler->after(Millis::seconds(8),
                         [done] { done(HeadWatcherFixture::replyWith("newer", 6)); });
    });
    scheduler = &fixture.scheduler;
    fixture.scheduler.runFor(Millis::seconds(9));
    CHECK(fixture.newest == "newer");
    CHECK(fixture.scheduler.now() - fixture.confirmedAt >= Millis::seconds(8));
}

// A watcher crashes, or stops as planned. Another instance of its domain has to take over without a
// handover, or the domain would receive changes last.
TEST_CASE("another instance takes over when a watcher stops")
{
    ConfigCluster cluster(shapeOf(24));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::minutes(7)); // the terms of the substitutes from the start have ended
    CHECK(countWatching(cluster) == 6);
    std::size_t victim = 0;
    while (!cluster.config(victim).isWatching())
        ++victim;
    cluster.instances().kill(victim);
    cluster.runFor(Millis::seconds(15));
    CHECK(countWatching(cluster) == 7); // includes the last state of the stopped instance
    std::size_t leaving = victim + 1;
    while (!cluster.config(leaving).isWatching())
        ++leaving;
    cluster.instances().membership(leaving).leave(cluster.now());
    cluster.runFor(Millis::seconds(1));
    CHECK_FALSE(cluster.config(leaving).isWatching());
    CHECK(countWatching(cluster) == 7);
}

// Both watchers of a domain lose the store, and with it the domain its closest source of
// confirmations. Other instances of the domain have to step in.
TEST_CASE("substitutes step in when the watchers confirm nothing")
{
    ConfigCluster cluster(shapeOf(24));
    cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::minutes(7));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (cluster.config(i).isWatching())
            cluster.setStoreUnreachable(i, true);
    }
    cluster.runFor(Millis::seconds(8));
    CHECK(countServing(cluster) == 24);
    const std::uint64_t next = cluster.apply({}, {});
    CHECK(cluster.runUntilInForce(next, Millis::seconds(10)) < Millis::seconds(6));
}

// A tree with many teams is larger than a frame, so peers have to send it in chunks that are
// reassembled completely.
TEST_CASE("a large tree is transferred between peers in chunks")
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

TEST_CASE("malformed frames change no state and are counted")
{
    ConfigCluster cluster(shapeOf(2));
    const std::uint64_t generation = cluster.apply({}, {});
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    const std::string chunk =
        encodeConfig(ContentChunkMessage{virtualSha256("x"), 0, 10, "0123456789"});
    REQUIRE(decodeConfig(chunk));
    for (std::size_t length = 0; length < chunk.size(); ++length)
        CHECK_FALSE(cluster.config(0).handleFrame(chunk.substr(0, length)));
    CHECK(cluster.config(0).malformedFrames() == chunk.size());
    CHECK(cluster.config(0).handleFrame(chunk)); // well-formed, but not requested
    CHECK(cluster.config(0).generation() == generation);
}
