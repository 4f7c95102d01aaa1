#include <doctest/doctest.h>

#include "keepers/directory/PeerDirectory.h"

#include <set>

using namespace cuminrail;

// Guards against anti-entropy that never reaches some peer, or selects one without a link.
TEST_CASE("random selection covers each linked instance and no other one")
{
    PeerDirectory directory;
    const RandomHook random = seededRandom(1);
    CHECK_FALSE(directory.anyLinked(random));
    directory.setPeers({{InstanceId("self"), ""},
                        {InstanceId("a"), "a:1"},
                        {InstanceId("b"), "b:1"},
                        {InstanceId("c"), "c:1"}});
    CHECK(directory.all().size() == 3);
    directory.isLinked = [](const PeerAddress &peer) { return peer != "b:1"; };
    std::set<PeerAddress> selected;
    for (int i = 0; i < 100; ++i)
        selected.insert(*directory.anyLinked(random));
    CHECK(selected == std::set<PeerAddress>{"a:1", "c:1"});
    directory.isLinked = [](const PeerAddress &) { return false; };
    CHECK_FALSE(directory.anyLinked(random));
}
