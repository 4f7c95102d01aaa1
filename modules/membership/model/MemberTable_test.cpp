#include "membership/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

MemberRecord record(Incarnation incarnation, std::uint64_t refutation, MemberStatus status,
                    bool leaving = false)
{
    MemberRecord result;
    result.id = InstanceId("a");
    result.incarnation = incarnation;
    result.refutation = refutation;
    result.status = status;
    result.leaving = leaving;
    result.address = "10.0.0.1:7100";
    return result;
}

struct MergeRow
{
    const char *name;
    MemberRecord known;
    MemberRecord update;
    MergeResult result;
    MemberStatus status;
    bool leaving;
};

} // namespace

TEST_CASE("an update overrides the known state only if it is newer")
{
    using S = MemberStatus;
    const MergeRow rows[] = {
        {"the same record again", record(1, 0, S::Alive), record(1, 0, S::Alive),
         MergeResult::Unchanged, S::Alive, false},
        {"a suspicion", record(1, 0, S::Alive), record(1, 0, S::Suspect), MergeResult::Changed,
         S::Suspect, false},
        {"alive does not revoke a suspicion", record(1, 0, S::Suspect), record(1, 0, S::Alive),
         MergeResult::Unchanged, S::Suspect, false},
        {"a refutation revokes a suspicion", record(1, 0, S::Suspect), record(1, 1, S::Alive),
         MergeResult::Changed, S::Alive, false},
        {"a refutation revives a member declared dead", record(1, 0, S::Dead),
         record(1, 1, S::Alive), MergeResult::Changed, S::Alive, false},
        {"an outdated dead record after the refutation", record(1, 1, S::Alive),
         record(1, 0, S::Dead), MergeResult::Unchanged, S::Alive, false},
        {"leaving", record(1, 0, S::Alive), record(1, 0, S::Alive, true), MergeResult::Changed,
         S::Alive, true},
        {"leaving is kept through a refutation", record(1, 0, S::Alive, true),
         record(1, 5, S::Alive), MergeResult::Changed, S::Alive, true},
        {"the next incarnation is not leaving", record(1, 9, S::Dead, true), record(2, 0, S::Alive),
         MergeResult::Changed, S::Alive, false},
        {"an update about a previous incarnation", record(2, 0, S::Alive),
         record(1, 9, S::Dead, true), MergeResult::Unchanged, S::Alive, false},
    };
    for (const MergeRow &row : rows) {
        INFO(row.name);
        MemberTable table;
        table.merge(row.known, Millis(0));
        CHECK(table.merge(row.update, Millis(1)) == row.result);
        CHECK(table.find(InstanceId("a"))->record.status == row.status);
        CHECK(table.find(InstanceId("a"))->record.leaving == row.leaving);
    }
}

// Gossip arrives in any order and more than once. If the result depended on the order, two
// instances would permanently disagree about the members.
TEST_CASE("tables that received the same updates in any order are equal")
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; ++round) {
        std::vector<MemberRecord> updates;
        updates.reserve(12);
        for (int i = 0; i < 12; ++i)
            updates.push_back(record(1 + random() % 2, random() % 3, MemberStatus(random() % 3),
                                     random() % 4 == 0));
        MemberTable left;
        MemberTable right;
        for (const MemberRecord &update : updates)
            left.merge(update, Millis(0));
        std::shuffle(updates.begin(), updates.end(), random);
        for (const MemberRecord &update : updates)
            right.merge(update, Millis(0));
        const MemberRecord &a = left.find(InstanceId("a"))->record;
        const MemberRecord &b = right.find(InstanceId("a"))->record;
        CHECK(left.hash() == right.hash());
        CHECK(a.status == b.status);
        CHECK(a.leaving == b.leaving);
    }
}

TEST_CASE("a table holds at most its maximum number of members")
{
    MemberTable table;
    for (std::size_t i = 0; i < MemberTable::maxMembers + 10; ++i) {
        MemberRecord member = record(1, 0, MemberStatus::Alive);
        member.id = InstanceId("m" + std::to_string(i));
        table.merge(member, Millis(0));
    }
    CHECK(table.livingCount() == MemberTable::maxMembers);
}

TEST_CASE("every member is probed by as many members as it probes")
{
    for (const std::size_t size : {1U, 2U, 3U, 6U, 24U, 370U}) {
        INFO(size);
        std::vector<InstanceId> ids;
        for (std::size_t i = 0; i < size; ++i)
            ids.emplace_back("i" + std::to_string(i));
        std::map<InstanceId, std::size_t> probedBy;
        for (const InstanceId &self : ids) {
            NeighbourRing ring;
            ring.rebuild(self, ids);
            for (const InstanceId &neighbour : ring.neighbours())
                ++probedBy[neighbour];
            CHECK(ring.neighbours().size() <= 9);
            CHECK(ring.neighbours().size() == ring.reverseNeighbours().size());
        }
        for (const InstanceId &id : ids)
            CHECK(probedBy[id] == (size == 1 ? 0 : probedBy[ids[0]]));
    }
}
