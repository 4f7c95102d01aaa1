#include <doctest/doctest.h>

#include "keyedrecords/testing/RecordCluster.h"

#include <algorithm>

using namespace cuminrail;
using cuminrail::testing::RecordCluster;

// Guards against a record that only its writer and the instances of one failure domain have.
TEST_CASE("records outlive their writer and the loss of any failure domain")
{
    struct Row
    {
        int instances;
        int domains;
    };
    for (const Row &row : {Row{2, 2}, Row{3, 3}, Row{6, 3}, Row{9, 3}, Row{40, 5}}) {
        CAPTURE(row.instances);
        for (int lost = 0; lost < row.domains; ++lost) {
            CAPTURE(lost);
            RecordCluster cluster(row.instances, row.domains, 7);
            const int writer = lost;
            for (RecordKey key = 1; key <= 60; ++key)
                CHECK(cluster.publish(writer, key, key + 1000));
            for (int i = 0; i < row.instances; ++i) {
                if (cluster.isIn(i, lost))
                    cluster.dead.insert(i);
            }
            int found = 0;
            for (RecordKey key = 1; key <= 60; ++key) {
                const int asker = (lost + 1) % row.domains;
                const RecordOutcome outcome = cluster.lookUp(asker, key);
                found += outcome.result == RecordLookUp::Found && outcome.value == key + 1000;
            }
            CHECK(found == 60);
        }
    }
}

// Guards against look-ups that wait for instances that are gone.
TEST_CASE("a look-up ends in bounded time, whoever is gone")
{
    RecordCluster cluster(9, 3, 3);
    CHECK(cluster.lookUp(0, 5).result == RecordLookUp::Missing);
    CHECK(cluster.lastLookUpTook <= Millis(30));
    for (int i = 1; i < 9; ++i)
        cluster.dead.insert(i);
    CHECK(cluster.lookUp(0, 5).result == RecordLookUp::Unreachable);
    CHECK(cluster.lastLookUpTook
          <= RecordExchange::replyTimeout * RecordExchange::maxRounds + Millis(20));
}

// Guards against a frozen owner that takes the place of one that keeps the record.
TEST_CASE("owners that do not reply are replaced by the next ones")
{
    RecordCluster cluster(9, 3, 5);
    for (int i = 1; i < 4; ++i)
        cluster.frozen.insert(i);
    int kept = 0;
    for (RecordKey key = 1; key <= 100; ++key)
        kept += cluster.publish(0, key, 9) ? 1 : 0;
    CHECK(kept == 100);
    cluster.dead.insert(0);
    int found = 0;
    for (RecordKey key = 1; key <= 100; ++key)
        found += cluster.lookUp(8, key).result == RecordLookUp::Found ? 1 : 0;
    CHECK(found == 100);
}

// Guards against records that vanish when their owners are replaced one after the other.
TEST_CASE("planned stops in series hand all records on")
{
    RecordCluster cluster(6, 3, 11);
    for (RecordKey key = 1; key <= 200; ++key)
        CHECK(cluster.publish(0, key, key + 5));
    for (int i = 0; i < 6; ++i) {
        cluster.at(i).handOver();
        cluster.advance(Millis(300));
        cluster.dead.insert(i);
        cluster.advance(Millis(300));
        cluster.start(i);
    }
    int found = 0;
    for (RecordKey key = 1; key <= 200; ++key)
        found += cluster.lookUp(0, key).value == key + 5 ? 1 : 0;
    CHECK(found == 200);
}

// Guards against a guess where one identity was used for two streams.
TEST_CASE("a key with two values is ambiguous, in whatever order they come")
{
    RecordCluster cluster(6, 3, 1);
    cluster.publish(0, 77, 1);
    cluster.publish(1, 77, 2);
    cluster.advance(Millis(100));
    int ambiguous = 0;
    for (int i = 2; i < 6; ++i)
        ambiguous += cluster.lookUp(i, 77).result == RecordLookUp::Ambiguous ? 1 : 0;
    CHECK(ambiguous == 4);
}

// Guards against memory and frames that grow with the records of a first publication.
TEST_CASE("records that were only remembered are sent in few frames")
{
    RecordCluster cluster(6, 3, 2);
    for (RecordKey key = 1; key <= 1000; ++key)
        cluster.at(0).remember(key, 3);
    CHECK(cluster.frames == 0);
    cluster.at(0).publishUnsent();
    cluster.advance(Millis(500));
    CHECK(cluster.frames <= 60);
    cluster.dead.insert(0);
    int found = 0;
    for (RecordKey key = 1; key <= 1000; ++key)
        found += cluster.lookUp(5, key).value == 3 ? 1 : 0;
    CHECK(found == 1000);
    const std::uint64_t frames = cluster.frames;
    cluster.at(1).publishUnsent();
    CHECK(cluster.frames == frames);
}

// Guards against records that outlast the streams they are about, or end before them.
TEST_CASE("records expire after their lifetime, wherever they are")
{
    RecordCluster cluster(4, 2, 2);
    for (int i = 0; i < 4; ++i)
        cluster.at(i).setLifetime(Millis(3000));
    cluster.publish(0, 5, 6);
    cluster.advance(Millis(2500));
    CHECK(cluster.lookUp(3, 5).result == RecordLookUp::Found);
    cluster.advance(Millis(600));
    CHECK(cluster.lookUp(3, 5).result == RecordLookUp::Missing);
    for (int i = 0; i < 4; ++i)
        CHECK(cluster.at(i).table().size() == 0);
}

// Guards against a full table that drops the newest records, or grows.
TEST_CASE("a full table drops the records that expire first")
{
    RecordTable table(100);
    for (RecordKey key = 0; key < 300; ++key) {
        const Millis at(static_cast<std::int64_t>(key));
        table.add(key, {7, at, at + Millis(1000), false});
    }
    CHECK(table.size() == 100);
    CHECK(table.dropped() == 200);
    CHECK(table.find(199, Millis(300)) == nullptr);
    CHECK(table.find(200, Millis(300)) != nullptr);
    CHECK(table.bytes() < 100 * 100);
}

// Guards against "there is none" while the owners that were asked last still have their time.
TEST_CASE("late replies to the first round do not end the second one")
{
    int found = 0;
    for (int keeper = 1; keeper < 9; ++keeper) {
        RecordCluster cluster(9, 3, 7);
        cluster.at(keeper).remember(1, 1001);
        for (int i = 1; i < cluster.count(); ++i)
            cluster.frozen.insert(i);
        std::optional<RecordOutcome> outcome;
        cluster.at(0).lookUp(1, 1, [&outcome](const RecordOutcome &reply) { outcome = reply; });
        cluster.advance(RecordExchange::replyTimeout + Millis(2));
        cluster.frozen = {keeper};
        cluster.advance(Millis(15));
        cluster.frozen.clear();
        cluster.advance(Millis(100));
        REQUIRE(outcome);
        found += outcome->result == RecordLookUp::Found ? 1 : 0;
    }
    // The owners of the second round.
    CHECK(found == static_cast<int>(RecordExchange::defaultCopies));
}

// Guards against a reply that is for the process that ran at this address before.
TEST_CASE("a reply to a query of an earlier start is not that to a later one")
{
    RecordCluster cluster(2, 2, 7);
    cluster.at(1).remember(1, 1001);
    cluster.frozen.insert(1);
    cluster.at(0).lookUp(1, 1, [](const RecordOutcome &) {});
    cluster.advance(Millis(20));
    cluster.start(0);
    std::optional<RecordOutcome> outcome;
    cluster.at(0).lookUp(2, 1, [&outcome](const RecordOutcome &reply) { outcome = reply; });
    cluster.frozen.clear();
    cluster.advance(Millis(100));
    REQUIRE(outcome);
    CHECK(outcome->result == RecordLookUp::Missing);
    CHECK(outcome->value == 0);
}
