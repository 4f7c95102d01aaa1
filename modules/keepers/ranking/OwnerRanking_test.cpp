#include <doctest/doctest.h>

#include "keepers/ranking/OwnerRanking.h"

#include <algorithm>
#include <set>

using namespace cuminrail;

namespace {

constexpr OwnershipKey keyCount = 800;

/** Returns the ranking that instance @c self computes with @c count registered instances. */
OwnerRanking rankingOf(int self, int count, int without = -1)
{
    std::vector<OwnerCandidate> peers{{InstanceId("i-" + std::to_string(self)), {}}};
    for (int i = 0; i < count; ++i) {
        if (i != self && i != without)
            peers.push_back({InstanceId("i-" + std::to_string(i)), std::to_string(i)});
    }
    OwnerRanking owners;
    owners.setPeers(std::move(peers));
    return owners;
}

PeerAddress ownerOf(const OwnerRanking &owners, OwnershipKey key, int self)
{
    const PeerAddress &address = owners.ownerOf(key, Millis(0));
    return address.empty() ? std::to_string(self) : address;
}

} // namespace

// Guards against first queries without a reply when two hundred instances start together: the more
// of them are owners, the more links have to be set up first.
TEST_CASE("some of many instances are owners, and all instances compute the same ones")
{
    struct Row
    {
        int instances;
        std::size_t owners;
    };
    for (const Row &row : {Row{9, 9}, Row{16, 16}, Row{40, 16}, Row{195, 48}, Row{370, 92}}) {
        CAPTURE(row.instances);
        const OwnerRanking first = rankingOf(0, row.instances);
        const OwnerRanking last = rankingOf(row.instances - 1, row.instances);
        std::set<PeerAddress> seen;
        for (OwnershipKey key = 1; key <= keyCount; ++key) {
            const PeerAddress owner = ownerOf(first, key, 0);
            CHECK(owner == ownerOf(last, key, row.instances - 1));
            seen.insert(owner);
        }
        CHECK(seen.size() == row.owners);
        CHECK(first.addresses().size() >= row.owners - 1);
        CHECK(first.addresses().size() <= row.owners);
    }
}

// Guards against owners on machines that have a tenth of a core, while others have a whole one.
TEST_CASE("the largest instances are the owners, until they have a quarter of all processors")
{
    struct Row
    {
        int small;
        int large;
        std::size_t leastOwners;
        std::size_t owners;
    };
    for (const Row &row : {Row{190, 10, 8, 8}, Row{380, 20, 8, 16}, Row{60, 6, 16, 16},
                           Row{4, 1, 16, 5}, Row{1900, 100, 8, 82}}) {
        CAPTURE(row.small);
        std::vector<OwnerCandidate> peers{{InstanceId("self"), {}, 120}};
        for (int i = 1; i < row.small; ++i)
            peers.push_back({InstanceId("s-" + std::to_string(i)), "s" + std::to_string(i), 120});
        for (int i = 0; i < row.large; ++i)
            peers.push_back({InstanceId("l-" + std::to_string(i)), "l" + std::to_string(i), 1000});
        OwnerRanking owners;
        owners.setPeers(peers, row.leastOwners);
        const std::vector<PeerAddress> addresses = owners.addresses();
        CHECK(addresses.size() + (owners.isOwner() ? 1 : 0) == row.owners);
        const auto large = std::count_if(addresses.begin(), addresses.end(),
                                         [](const auto &address) { return address[0] == 'l'; });
        CHECK(static_cast<std::size_t>(large)
              == std::min(static_cast<std::size_t>(row.large), row.owners));
    }
}

// Guards against a ranking that moves the keys of all owners when one leaves for good. State starts
// empty at a new owner, so every estimate would be wrong for seconds.
TEST_CASE("an instance that leaves moves only its own keys")
{
    const OwnerRanking before = rankingOf(0, 195);
    for (int removed = 1; removed < 195; removed += 13) {
        CAPTURE(removed);
        const OwnerRanking after = rankingOf(0, 195, removed);
        int moved = 0;
        for (OwnershipKey key = 1; key <= keyCount; ++key)
            moved += ownerOf(before, key, 0) == ownerOf(after, key, 0) ? 0 : 1;
        // One of 48 owners leaves and another one takes its place.
        CHECK(moved <= static_cast<int>(keyCount) * 3 / 48 + 1);
    }
}

// Guards against a report to several owners that reaches one of them twice, or different ones from
// different instances.
TEST_CASE("the first owners of a key are distinct, and in the same order at every instance")
{
    constexpr int count = 40;
    for (OwnershipKey key = 0; key < keyCount; key += 50) {
        CAPTURE(key);
        const auto first = rankingOf(0, count).ownersOf(key, 3);
        REQUIRE(first.size() == 3);
        CHECK(std::set<PeerAddress>(first.begin(), first.end()).size() == 3);
        CHECK(first.front() == rankingOf(0, count).primaryOwnerOf(key));
        const auto other = rankingOf(1, count).ownersOf(key, 3);
        for (std::size_t i = 0; i < first.size(); ++i)
            CHECK((first[i].empty() ? "0" : first[i]) == (other[i].empty() ? "1" : other[i]));
    }
    CHECK(rankingOf(0, 2).ownersOf(7, 3).size() == 2);
    CHECK(rankingOf(0, 1).ownersOf(7, 3) == std::vector<PeerAddress>{PeerAddress()});
}

// Guards against copies of one record that are lost with one failure domain.
TEST_CASE("owners of a key are spread over failure domains, and stay when another one leaves")
{
    struct Row
    {
        int instances;
        int domains;
    };
    for (const Row &row : {Row{6, 3}, Row{9, 3}, Row{40, 5}, Row{7, 1}}) {
        CAPTURE(row.instances);
        const auto ranking = [&row](int without) {
            std::vector<OwnerCandidate> peers;
            for (int i = 0; i < row.instances; ++i) {
                const std::string name = "i-" + std::to_string(i);
                if (i != without)
                    peers.push_back(
                        {InstanceId(name), name, 0, "d" + std::to_string(i % row.domains)});
            }
            OwnerRanking owners;
            owners.setPeers(std::move(peers));
            return owners;
        };
        for (OwnershipKey key = 1; key < 200; ++key) {
            const auto all = ranking(-1).spreadOwnersOf(key, 3);
            REQUIRE(all.size() == 3);
            std::set<int> domains;
            for (const PeerAddress &owner : all)
                domains.insert(std::stoi(owner.substr(2)) % row.domains);
            CHECK(domains.size() == static_cast<std::size_t>(std::min(3, row.domains)));
            const int gone = std::stoi(all[1].substr(2));
            const auto left = ranking(gone).spreadOwnersOf(key, 3);
            // With as many owners as here, each instance is one; the others keep their places.
            if (row.instances <= 16)
                CHECK(std::find(left.begin(), left.end(), all[0]) != left.end());
        }
    }
}
