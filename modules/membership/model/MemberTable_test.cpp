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
    MemberRecord news;
    MergeResult result;
    MemberStatus status;
    bool leaving;
};

} // namespace

TEST_CASE("news of a member overrides what is known only when it is newer")
{
    using S = MemberStatus;
    const MergeRow rows[] = {
        {"the same again", record(1, 0, S::Alive), record(1, 0, S::Alive), MergeResult::Old,
         S::Alive, false},
        {"a suspicion", record(1, 0, S::Alive), record(1, 0, S::Suspect), MergeResult::News,
         S::Suspect, false},
        {"alive does not undo a suspicion", record(1, 0, S::Suspect), record(1, 0, S::Alive),
         MergeResult::Old, S::Suspect, false},
        {"a refutation does", record(1, 0, S::Suspect), record(1, 1, S::Alive), MergeResult::News,
         S::Alive, false},
        {"a refutation brings back one declared dead", record(1, 0, S::Dead),
         record(1, 1, S::Alive), MergeResult::News, S::Alive, false},
        {"an old suspicion after the refutation", record(1, 1, S::Alive), record(1, 0, S::Dead),
         MergeResult::Old, S::Alive, false},
        {"leaving", record(1, 0, S::Alive), record(1, 0, S::Alive, true), MergeResult::News,
         S::Alive, true},
        {"leaving stays through a refutation", record(1, 0, S::Alive, true), record(1, 5, S::Alive),
         MergeResult::News, S::Alive, true},
        {"the next life is not leaving", record(1, 9, S::Dead, true), record(2, 0, S::Alive),
         MergeResult::News, S::Alive, false},
        {"news of a former life", record(2, 0, S::Alive), record(1, 9, S::Dead, true),
         MergeResult::Old, S::Alive, false},
    };
    for (const MergeRow &row : rows) {
        INFO(row.name);
        MemberTable table;
        table.merge(row.known, Millis(0));
        CHECK(table.merge(row.news, Millis(1)) == row.result);
        CHECK(table.find(InstanceId("a"))->record.status == row.status);
        CHECK(table.find(InstanceId("a"))->record.leaving == row.leaving);
    }
}

// Gossip arrives in any order and more than once. Were the outcome to depend on that, two
// instances would disagree for ever on who is there.
TEST_CASE("tables that heard the same news in any order are equal")
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; ++round) {
        std::vector<MemberRecord> news;
        news.reserve(12);
        for (int i = 0; i < 12; ++i)
            news.push_back(record(1 + random() % 2, random() % 3, MemberStatus(random() % 3),
                                  random() % 4 == 0));
        MemberTable left;
        MemberTable right;
        for (const MemberRecord &piece : news)
            left.merge(piece, Millis(0));
        std::shuffle(news.begin(), news.end(), random);
        for (const MemberRecord &piece : news)
            right.merge(piece, Millis(0));
        const MemberRecord &a = left.find(InstanceId("a"))->record;
        const MemberRecord &b = right.find(InstanceId("a"))->record;
        CHECK(left.hash() == right.hash());
        CHECK(a.status == b.status);
        CHECK(a.leaving == b.leaving);
    }
}

TEST_CASE("a table takes no more members than its bound")
{
    MemberTable table;
    for (std::size_t i = 0; i < MemberTable::maxMembers + 10; ++i) {
        MemberRecord member = record(1, 0, MemberStatus::Alive);
        member.id = InstanceId("m" + std::to_string(i));
        table.merge(member, Millis(0));
    }
    CHECK(table.livingCount() == MemberTable::maxMembers);
}

TEST_CASE("every member has as many that probe it as it probes")
{
    for (const std::size_t size : {1U, 2U, 3U, 6U, 24U, 370U}) {
        INFO(size);
        std::vector<InstanceId> ids;
        for (std::size_t i = 0; i < size; ++i)
            ids.emplace_back("i" + std::to_string(i));
        std::map<InstanceId, std::size_t> watchedBy;
        for (const InstanceId &self : ids) {
            NeighbourRing ring;
            ring.rebuild(self, ids);
            for (const InstanceId &neighbour : ring.neighbours())
                ++watchedBy[neighbour];
            CHECK(ring.neighbours().size() <= 9);
            CHECK(ring.neighbours().size() == ring.watchers().size());
        }
        for (const InstanceId &id : ids)
            CHECK(watchedBy[id] == (size == 1 ? 0 : watchedBy[ids[0]]));
    }
}
