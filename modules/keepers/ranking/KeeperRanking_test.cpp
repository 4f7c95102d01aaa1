#include <doctest/doctest.h>

#include "keepers/ranking/KeeperRanking.h"

#include <algorithm>
#include <set>

using namespace cuminrail;

namespace {

constexpr KeeperKey mostKeys = 800;

/** What instance @c self works out of so many that are registered. */
KeeperRanking keepersOf(int self, int count, int without = -1)
{
    std::vector<KeeperCandidate> peers{{InstanceId("i-" + std::to_string(self)), {}}};
    for (int i = 0; i < count; ++i) {
        if (i != self && i != without)
            peers.push_back({InstanceId("i-" + std::to_string(i)), std::to_string(i)});
    }
    KeeperRanking keepers;
    keepers.setPeers(std::move(peers));
    return keepers;
}

PeerAddress keeperOf(const KeeperRanking &keepers, KeeperKey key, int self)
{
    const PeerAddress &address = keepers.keeperOf(key, Millis(0));
    return address.empty() ? std::to_string(self) : address;
}

} // namespace

// Two hundred instances start together, and each asks at once. The more of them keep books, the
// more links have to be set up before the first questions can be answered.
TEST_CASE("a part of many instances keeps the books, and all agree on which")
{
    struct Row
    {
        int instances;
        std::size_t keepers;
    };
    for (const Row &row : {Row{9, 9}, Row{16, 16}, Row{40, 16}, Row{195, 48}, Row{370, 92}}) {
        CAPTURE(row.instances);
        const KeeperRanking first = keepersOf(0, row.instances);
        const KeeperRanking last = keepersOf(row.instances - 1, row.instances);
        std::set<PeerAddress> used;
        for (KeeperKey key = 1; key <= mostKeys; ++key) {
            const PeerAddress keeper = keeperOf(first, key, 0);
            CHECK(keeper == keeperOf(last, key, row.instances - 1));
            used.insert(keeper);
        }
        CHECK(used.size() == row.keepers);
        CHECK(first.addresses().size() >= row.keepers - 1);
        CHECK(first.addresses().size() <= row.keepers);
    }
}

// A keeper is gone for good. Its books begin anew elsewhere; if all moved, every estimate would be
// wrong for seconds.
TEST_CASE("an instance that goes moves its own books only")
{
    const KeeperRanking before = keepersOf(0, 195);
    for (int gone = 1; gone < 195; gone += 13) {
        CAPTURE(gone);
        const KeeperRanking after = keepersOf(0, 195, gone);
        int moved = 0;
        for (KeeperKey key = 1; key <= mostKeys; ++key)
            moved += keeperOf(before, key, 0) == keeperOf(after, key, 0) ? 0 : 1;
        // One of 48 goes and another one comes.
        CHECK(moved <= static_cast<int>(mostKeys) * 3 / 48 + 1);
    }
}

TEST_CASE("the first few of a key are different keepers, in the same order at every instance")
{
    constexpr int count = 40;
    for (KeeperKey key = 0; key < mostKeys; key += 50) {
        CAPTURE(key);
        const auto few = keepersOf(0, count).firstFew(key, 3);
        REQUIRE(few.size() == 3);
        CHECK(std::set<PeerAddress>(few.begin(), few.end()).size() == 3);
        CHECK(few.front() == keepersOf(0, count).firstOf(key));
        const auto other = keepersOf(1, count).firstFew(key, 3);
        for (std::size_t i = 0; i < few.size(); ++i)
            CHECK((few[i].empty() ? "0" : few[i]) == (other[i].empty() ? "1" : other[i]));
    }
    CHECK(keepersOf(0, 2).firstFew(7, 3).size() == 2);
    CHECK(keepersOf(0, 1).firstFew(7, 3) == std::vector<PeerAddress>{PeerAddress()});
}
