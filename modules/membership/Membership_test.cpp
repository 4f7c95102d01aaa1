#include "membership/membership.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace cuminrail;

namespace {

ClusterShape shapeOf(std::size_t instances, std::size_t domains = 3, std::size_t regions = 1)
{
    ClusterShape shape;
    shape.instances = instances;
    shape.domains = domains;
    shape.regions = regions;
    return shape;
}

std::size_t countWhere(VirtualCluster &cluster, std::size_t about,
                       const std::function<bool(const MemberView &)> &predicate)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (i == about || !cluster.at(i).process->isAlive())
            continue;
        const auto view = cluster.membership(i).member(VirtualCluster::idOf(about));
        count += view && predicate(*view) ? 1 : 0;
    }
    return count;
}

std::size_t deadAt(VirtualCluster &cluster, std::size_t about)
{
    return countWhere(cluster, about, [](const MemberView &view) {
        return view.record.status == MemberStatus::Dead;
    });
}

std::uint64_t evictions(VirtualCluster &cluster)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        sum += cluster.membership(i).stats().declaredDead;
    return sum;
}

} // namespace

TEST_CASE("instances find each other from three seeds and stay within their budget")
{
    for (const std::size_t size : {2U, 6U, 24U, 96U}) {
        INFO(size);
        const MembershipFigures figures = measureMembership(shapeOf(size, 3, 1));
        CHECK(figures.timeToSettle < Millis::seconds(30));
        CHECK(figures.bytesPerSecond < 2000);
        CHECK(figures.worstBytesPerSecond < 6000);
        CHECK(figures.factWorst < Millis(100));
        CHECK(figures.wrongEvictions == 0);
    }
}

// Frames get lost, one in twenty. A membership that believed each missing answer would evict
// healthy instances all day, and their duties would move for nothing.
TEST_CASE("lost frames evict nobody")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        ClusterShape shape = shapeOf(24);
        shape.loss = 0.05;
        shape.seed = seed;
        VirtualCluster cluster(shape);
        cluster.startAll();
        cluster.runFor(Millis::minutes(3));
        CHECK(evictions(cluster) == 0);
        CHECK(cluster.isSettled());
    }
}

// One path between two instances is broken while all others work. Probing each other they get no
// answer, but a third reaches both; so nobody is even suspected.
TEST_CASE("a silence that others do not confirm raises no suspicion")
{
    VirtualCluster cluster(shapeOf(6));
    std::size_t suspicions = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).events = [&](const Event &event) {
            suspicions += event.kind == &events::peerSuspected ? 1 : 0;
        };
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    cluster.setPathCut(0, 1, true);
    cluster.runFor(Millis::minutes(1));
    CHECK(suspicions == 0);
}

// A process is killed. Its peers must notice within seconds, all of them, or its duties stay
// undone; and when it is started again under its name it must count at once.
TEST_CASE("a crash is noticed by all, and the next life is welcome")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.kill(7);
    cluster.runFor(Millis::seconds(10));
    CHECK(deadAt(cluster, 7) == 23);
    cluster.start(7);
    cluster.runFor(Millis::seconds(10));
    CHECK(deadAt(cluster, 7) == 0);
    CHECK(cluster.isSettled());
}

// An instance begins its planned stop. The platform's list will show it for minutes; if peers
// went by that list they would hand it new duties. They hear it from itself within a moment, and
// its later silence raises no alarm.
TEST_CASE("a planned stop is known everywhere at once and cannot be taken back")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.membership(3).leave(cluster.now());
    cluster.runFor(Millis(50));
    const auto isLeaving = [](const MemberView &view) { return view.record.leaving; };
    CHECK(countWhere(cluster, 3, isLeaving) == 23);

    // An older message, sent before the stop began, arrives late.
    UrgentMessage late;
    late.sender.self = cluster.membership(3).self();
    late.sender.self.leaving = false;
    late.sender.self.refutation += 1;
    cluster.membership(9).receive(cluster.now(), encodeMembership(late));
    cluster.runFor(Millis::seconds(5));
    CHECK(countWhere(cluster, 3, isLeaving) == 23);

    std::size_t alarms = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).events = [&](const Event &event) {
            alarms += event.kind == &events::peerDeclaredDead ? 1 : 0;
        };
    cluster.kill(3);
    cluster.runFor(Millis::seconds(10));
    CHECK(deadAt(cluster, 3) == 23);
    CHECK(alarms == 0);
}

// A process stands still for half a minute, as a suspended machine does. When it goes on, every
// probe of its own is overdue. It must not declare the others dead for its own absence, and the
// others, who may have declared it dead, must take it back.
TEST_CASE("a paused instance blames nobody and comes back")
{
    VirtualCluster cluster(shapeOf(6));
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    const std::uint64_t before = cluster.membership(2).stats().declaredDead;
    std::size_t suspicions = 0;
    cluster.at(2).events = [&](const Event &event) {
        suspicions += event.kind == &events::peerSuspected ? 1 : 0;
    };
    // Two lost answers see to it that probes are out when the pause begins.
    cluster.setConnected(2, false);
    cluster.runFor(Millis(800));
    cluster.setConnected(2, true);
    cluster.at(2).process->pauseUntil(cluster.now() + Millis::seconds(30));
    cluster.runFor(Millis::seconds(30));
    CHECK(deadAt(cluster, 2) == 5);
    cluster.runFor(Millis::seconds(15));
    CHECK(cluster.membership(2).stats().declaredDead == before);
    CHECK(suspicions == 0);
    CHECK(cluster.isSettled());
}

// One instance loses its network. It sees all others silent; they see only it. It must keep them
// as unreachable, since declaring five of six dead would let it think it holds the field alone.
TEST_CASE("an instance cut off alone declares nobody dead")
{
    VirtualCluster cluster(shapeOf(6));
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    cluster.setConnected(0, false);
    cluster.runFor(Millis::minutes(2));
    CHECK(deadAt(cluster, 0) == 5);
    CHECK(cluster.membership(0).stats().declaredDead == 0);
    CHECK_FALSE(cluster.membership(0).reach().isMajority());
    CHECK(cluster.membership(1).reach().isMajority());
    for (const MemberView &view : cluster.membership(0).members())
        CHECK(view.unreachable);
    cluster.setConnected(0, true);
    cluster.runFor(Millis::seconds(30));
    CHECK(cluster.isSettled());
}

// Two regions lose each other for ten minutes. Each keeps all its own, declares nobody of the
// other dead, still notices a crash in its own ranks, and the reunion is no storm of messages.
TEST_CASE("regions that lose each other evict nobody and reunite quietly")
{
    VirtualCluster cluster(shapeOf(24, 4, 2));
    cluster.startAll();
    cluster.runFor(Millis::seconds(30));
    cluster.setRegionsCut(true);
    cluster.runFor(Millis::minutes(10));
    CHECK(evictions(cluster) == 0);
    CHECK_FALSE(cluster.membership(0).reach().isMajority());

    cluster.kill(4);
    cluster.runFor(Millis::seconds(20));
    CHECK(deadAt(cluster, 4) == 11); // its own region, where the others of it are

    cluster.setRegionsCut(false);
    cluster.resetCounts();
    cluster.runFor(Millis::seconds(30));
    std::uint64_t worst = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        worst = std::max(worst, cluster.at(i).bytesSent);
    CHECK(worst < 30 * 6000);
    CHECK(deadAt(cluster, 4) == 23);
    CHECK(cluster.isSettled());
}

// A failure domain is lost at once, a third of all. That is within what may be declared dead, or
// its duties would wait for an operator.
TEST_CASE("a lost failure domain is declared dead by the survivors")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); i += 3)
        cluster.kill(i);
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); i += 3)
        CHECK(deadAt(cluster, i) == 16);
}

// An instance was cut off while a key was withdrawn. When it is back it must hear of that, though
// nobody repeats the news of an hour ago.
TEST_CASE("facts that were missed are caught up with by comparing")
{
    VirtualCluster cluster(shapeOf(6));
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    cluster.setConnected(5, false);
    const UrgentFact fact{UrgentFactKind::KeyWithdrawn, std::string(64, 'b'), 9};
    cluster.membership(1).broadcast(cluster.now(), fact);
    cluster.runFor(Millis::minutes(5));
    CHECK(cluster.membership(5).facts().size() == 0);
    cluster.setConnected(5, true);
    cluster.runFor(Millis::seconds(30));
    CHECK(cluster.membership(5).facts().number(fact.kind, fact.subject) == 9);
}

// News must not wait for the next probe, half a second a hop: a withdrawn key would work on for
// seconds at the far end.
TEST_CASE("an urgent fact reaches everybody before the next probe")
{
    VirtualCluster cluster(shapeOf(96, 7, 2));
    cluster.startAll();
    cluster.runFor(Millis::minutes(2));
    cluster.membership(11).broadcast(cluster.now(),
                                     UrgentFact{UrgentFactKind::UpstreamLeaving, "engine-3", 2});
    cluster.runFor(Millis(100));
    for (std::size_t i = 0; i < cluster.size(); ++i)
        CHECK(cluster.membership(i).facts().size() == 1);
}

// A frame from a faulty peer cannot be read. It must change nothing and show in the counters.
TEST_CASE("a malformed frame changes nothing and is counted")
{
    VirtualCluster cluster(shapeOf(3));
    cluster.startAll();
    cluster.runFor(Millis::seconds(5));
    const std::uint64_t hash = cluster.membership(0).tableHash();
    for (const char *frame : {"", "x", "\x81\x01", "\x83\x01\x01\x80"})
        CHECK_FALSE(cluster.membership(0).receive(cluster.now(), frame));
    CHECK(cluster.membership(0).stats().malformedFrames == 4);
    CHECK(cluster.membership(0).tableHash() == hash);
}

TEST_CASE("a member known from the platform's list alone is contacted")
{
    VirtualCluster cluster(shapeOf(5));
    for (std::size_t i = 0; i < 5; ++i)
        cluster.start(i);
    cluster.membership(4).setSeeds({});
    ListedInstance listed;
    listed.address = VirtualCluster::addressOf(2);
    listed.isOwn = true;
    cluster.membership(4).setListed({listed});
    cluster.runFor(Millis::seconds(20));
    CHECK(cluster.isSettled());
}
