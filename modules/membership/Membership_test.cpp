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

std::size_t countDeclaredDead(VirtualCluster &cluster, std::size_t about)
{
    return countWhere(cluster, about, [](const MemberView &view) {
        return view.record.status == MemberStatus::Dead;
    });
}

std::uint64_t countDeadDeclarations(VirtualCluster &cluster)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        sum += cluster.membership(i).stats().declaredDead;
    return sum;
}

} // namespace

TEST_CASE("instances discover each other from three seeds within the time and traffic budget")
{
    for (const std::size_t size : {2U, 6U, 24U, 96U}) {
        INFO(size);
        const MembershipMeasurement measurement = measureMembership(shapeOf(size, 3, 1));
        CHECK(measurement.convergenceTime < Millis::seconds(30));
        CHECK(measurement.bytesPerSecond < 2000);
        CHECK(measurement.worstBytesPerSecond < 6000);
        CHECK(measurement.factWorst < Millis(100));
        CHECK(measurement.falseDeadDeclarations == 0);
    }
}

// One frame in twenty is lost. If every missing ack counted as a failure, healthy instances would
// be declared dead all the time and their duties reassigned for no reason.
TEST_CASE("lost frames cause no dead declarations")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        ClusterShape shape = shapeOf(24);
        shape.loss = 0.05;
        shape.seed = seed;
        VirtualCluster cluster(shape);
        cluster.startAll();
        cluster.runFor(Millis::minutes(3));
        CHECK(countDeadDeclarations(cluster) == 0);
        CHECK(cluster.isConverged());
    }
}

// The link between two instances is broken while all others work. Their probes of each other fail,
// but indirect probes through a third instance succeed, so no suspicion may be raised.
TEST_CASE("a failed probe that indirect probes contradict raises no suspicion")
{
    VirtualCluster cluster(shapeOf(6));
    std::size_t suspicions = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).events = [&](const Event &event) {
            suspicions += event.kind == &events::peerSuspected ? 1 : 0;
        };
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    cluster.setLinkCut(0, 1, true);
    cluster.runFor(Millis::minutes(1));
    CHECK(suspicions == 0);
}

// A process crashes. All peers have to detect it within seconds, or its duties stay unassigned;
// restarted under the same name it has to be a full member again immediately.
TEST_CASE("all peers detect a crash and accept the next incarnation")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.kill(7);
    cluster.runFor(Millis::seconds(10));
    CHECK(countDeclaredDead(cluster, 7) == 23);
    cluster.start(7);
    cluster.runFor(Millis::seconds(10));
    CHECK(countDeclaredDead(cluster, 7) == 0);
    CHECK(cluster.isConverged());
}

// An instance announces its planned stop. The platform's list still contains it for minutes, and
// peers that relied on the list would assign it new duties. The announcement has to reach all of
// them within moments, and the later loss of contact must not be reported as a failure.
TEST_CASE("a planned stop reaches all members immediately and cannot be revoked")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    cluster.membership(3).leave(cluster.now());
    cluster.runFor(Millis(50));
    const auto isLeaving = [](const MemberView &view) { return view.record.leaving; };
    CHECK(countWhere(cluster, 3, isLeaving) == 23);

    // A delayed message from before the stop arrives.
    UrgentMessage late;
    late.sender.self = cluster.membership(3).self();
    late.sender.self.leaving = false;
    late.sender.self.refutation += 1;
    cluster.membership(9).handleFrame(cluster.now(), encodeMembership(late));
    cluster.runFor(Millis::seconds(5));
    CHECK(countWhere(cluster, 3, isLeaving) == 23);

    std::size_t failureEvents = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.at(i).events = [&](const Event &event) {
            failureEvents += event.kind == &events::peerDeclaredDead ? 1 : 0;
        };
    cluster.kill(3);
    cluster.runFor(Millis::seconds(10));
    CHECK(countDeclaredDead(cluster, 3) == 23);
    CHECK(failureEvents == 0);
}

// A process is paused for 30 s, as on a suspended machine. When it resumes, all its probes are
// overdue. It must not declare its peers dead because of its own pause, and the peers that declared
// it dead have to accept it again.
TEST_CASE("a resumed instance declares no peer dead and is accepted again")
{
    VirtualCluster cluster(shapeOf(6));
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    const std::uint64_t previous = cluster.membership(2).stats().declaredDead;
    std::size_t suspicions = 0;
    cluster.at(2).events = [&](const Event &event) {
        suspicions += event.kind == &events::peerSuspected ? 1 : 0;
    };
    // Two lost acks ensure that probes are outstanding when the pause begins.
    cluster.setConnected(2, false);
    cluster.runFor(Millis(800));
    cluster.setConnected(2, true);
    cluster.at(2).process->pauseUntil(cluster.now() + Millis::seconds(30));
    cluster.runFor(Millis::seconds(30));
    CHECK(countDeclaredDead(cluster, 2) == 5);
    cluster.runFor(Millis::seconds(15));
    CHECK(cluster.membership(2).stats().declaredDead == previous);
    CHECK(suspicions == 0);
    CHECK(cluster.isConverged());
}

// One instance loses its network: to it all others are unresponsive, to the others only it is. It
// has to keep them as unreachable, since declaring five of six dead would make it believe that it
// is the only instance.
TEST_CASE("an isolated instance declares no other member dead")
{
    VirtualCluster cluster(shapeOf(6));
    cluster.startAll();
    cluster.runFor(Millis::seconds(10));
    cluster.setConnected(0, false);
    cluster.runFor(Millis::minutes(2));
    CHECK(countDeclaredDead(cluster, 0) == 5);
    CHECK(cluster.membership(0).stats().declaredDead == 0);
    CHECK_FALSE(cluster.membership(0).reachability().isMajority());
    CHECK(cluster.membership(1).reachability().isMajority());
    for (const MemberView &view : cluster.membership(0).members())
        CHECK(view.unreachable);
    cluster.setConnected(0, true);
    cluster.runFor(Millis::seconds(30));
    CHECK(cluster.isConverged());
}

// Two regions are partitioned for ten minutes. Each has to keep its members, must not declare
// members of the other region dead and still has to detect a crash among its own; reconnecting must
// not cause a burst of messages.
TEST_CASE("partitioned regions declare no member dead and reconnect without a traffic burst")
{
    VirtualCluster cluster(shapeOf(24, 4, 2));
    cluster.startAll();
    cluster.runFor(Millis::seconds(30));
    cluster.setRegionsPartitioned(true);
    cluster.runFor(Millis::minutes(10));
    CHECK(countDeadDeclarations(cluster) == 0);
    CHECK_FALSE(cluster.membership(0).reachability().isMajority());

    cluster.kill(4);
    cluster.runFor(Millis::seconds(20));
    CHECK(countDeclaredDead(cluster, 4) == 11); // the other members of its own region

    cluster.setRegionsPartitioned(false);
    cluster.resetCounts();
    cluster.runFor(Millis::seconds(30));
    std::uint64_t worst = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i)
        worst = std::max(worst, cluster.at(i).bytesSent);
    CHECK(worst < 30 * 6000);
    CHECK(countDeclaredDead(cluster, 4) == 23);
    CHECK(cluster.isConverged());
}

// A whole failure domain fails, a third of all instances. This has to stay within the limit of dead
// declarations, or its duties would stay unassigned until an operator intervenes.
TEST_CASE("the survivors declare a lost failure domain dead")
{
    VirtualCluster cluster(shapeOf(24));
    cluster.startAll();
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); i += 3)
        cluster.kill(i);
    cluster.runFor(Millis::seconds(20));
    for (std::size_t i = 0; i < cluster.size(); i += 3)
        CHECK(countDeclaredDead(cluster, i) == 16);
}

// An instance is isolated while a key is withdrawn. The update is no longer piggybacked when it
// reconnects, so only a comparison with a peer can deliver the fact.
TEST_CASE("facts missed while isolated are received by comparison")
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

// If facts were only forwarded with the next probe, each hop would take 500 ms and a withdrawn key
// would stay usable for seconds at distant instances.
TEST_CASE("an urgent fact reaches all instances before the next probe")
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

// A faulty peer sends frames that cannot be decoded. They must not change any state and have to be
// counted.
TEST_CASE("a malformed frame changes no state and is counted")
{
    VirtualCluster cluster(shapeOf(3));
    cluster.startAll();
    cluster.runFor(Millis::seconds(5));
    const std::uint64_t hash = cluster.membership(0).tableHash();
    for (const char *frame : {"", "x", "\x81\x01", "\x83\x01\x01\x80"})
        CHECK_FALSE(cluster.membership(0).handleFrame(cluster.now(), frame));
    CHECK(cluster.membership(0).stats().malformedFrames == 4);
    CHECK(cluster.membership(0).tableHash() == hash);
}

TEST_CASE("an instance known only from the platform's list is contacted")
{
    VirtualCluster cluster(shapeOf(5));
    for (std::size_t i = 0; i < 5; ++i)
        cluster.start(i);
    cluster.membership(4).setSeeds({});
    ListedInstance listed;
    listed.address = VirtualCluster::addressOf(2);
    listed.isOwn = true;
    cluster.membership(4).setListedInstances({listed});
    cluster.runFor(Millis::seconds(20));
    CHECK(cluster.isConverged());
}
