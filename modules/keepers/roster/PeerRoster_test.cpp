#include <doctest/doctest.h>

#include "keepers/roster/PeerRoster.h"

#include <set>

using namespace cuminrail;

TEST_CASE("by chance each linked instance is named, and no other one")
{
    PeerDirectory roster;
    const RandomHook random = seededRandom(1);
    CHECK_FALSE(roster.anyLinked(random));
    roster.setPeers({{InstanceId("self"), ""},
                     {InstanceId("a"), "a:1"},
                     {InstanceId("b"), "b:1"},
                     {InstanceId("c"), "c:1"}});
    CHECK(roster.all().size() == 3);
    roster.isLinked = [](const PeerAddress &peer) { return peer != "b:1"; };
    std::set<PeerAddress> named;
    for (int i = 0; i < 100; ++i)
        named.insert(*roster.anyLinked(random));
    CHECK(named == std::set<PeerAddress>{"a:1", "c:1"});
    roster.isLinked = [](const PeerAddress &) { return false; };
    CHECK_FALSE(roster.anyLinked(random));
}
