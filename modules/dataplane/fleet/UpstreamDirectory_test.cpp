#include <doctest/doctest.h>

#include "dataplane/fleet/UpstreamDirectory.h"

using namespace cuminrail;

namespace {

UpstreamEntry entry(const std::string &id, std::int64_t startedAt = 1, bool isLeaving = false)
{
    UpstreamEntry result;
    result.id = id;
    result.service = "summaries";
    result.address = "10.0.0.1:80";
    result.startedAt = startedAt;
    result.isLeaving = isLeaving;
    return result;
}

std::size_t usable(const UpstreamDirectory &directory)
{
    return directory.usable("summaries").size();
}

} // namespace

// Guards against requests sent to an upstream that has left: it announces that it leaves, and a
// stale read shows it as ready again.
TEST_CASE("a leaving upstream stays leaving for this incarnation, even if a later read differs")
{
    UpstreamDirectory directory;
    directory.update(entry("a"), Millis(0));
    directory.update(entry("a", 1, true), Millis(10));
    CHECK(usable(directory) == 0);
    directory.update(entry("a", 1, false), Millis(20));
    CHECK(usable(directory) == 0);
    directory.replaceAll({entry("a", 1, false)}, Millis(30));
    CHECK(usable(directory) == 0);
    directory.update(entry("a", 2, false), Millis(40));
    CHECK(usable(directory) == 1);
}

// Guards against requests sent to an upstream that stated in a response that it leaves.
TEST_CASE("an incarnation marked as leaving stays so, listed before or after")
{
    for (const bool isListedBefore : {true, false}) {
        CAPTURE(isListedBefore);
        UpstreamDirectory directory;
        if (isListedBefore)
            directory.update(entry("a"), Millis(0));
        const UpstreamPointer record = directory.markLeaving(entry("a").incarnation(), Millis(5));
        CHECK((record != nullptr) == isListedBefore);
        directory.update(entry("a"), Millis(10));
        CHECK(usable(directory) == 0);
        CHECK(directory.find("a")->isLeaving);
        directory.update(entry("b"), Millis(15));
        CHECK(usable(directory) == 1);
        directory.update(entry("a", 2), Millis(20));
        CHECK(usable(directory) == 2);
    }
}

// Guards against an upstream that is listed for long after it said that it leaves.
TEST_CASE("a leaving incarnation is not forgotten while it is listed")
{
    UpstreamDirectory directory;
    directory.update(entry("a"), Millis(0));
    directory.markLeaving(entry("a").incarnation(), Millis(5));
    for (Millis now(0); now < Millis::minutes(30); now += Millis::minutes(1)) {
        directory.expire(now);
        directory.update(entry("a"), now);
        CHECK(usable(directory) == 0);
    }
}

// Guards against a request sent to an upstream that has left: a request has selected a decode
// engine and waits for its prefill at another engine; meanwhile the decode engine's entry is
// removed.
TEST_CASE("a record held by a request shows that its upstream is gone")
{
    UpstreamDirectory directory;
    directory.update(entry("a"), Millis(0));
    const UpstreamPointer held = directory.find("a");
    SUBCASE("removed")
    {
        directory.remove("a", Millis(100000));
    }
    SUBCASE("restarted under the same id")
    {
        directory.update(entry("a", 2), Millis(10));
    }
    CHECK(held->isLeaving);
}

// Guards against rejected requests although the fleet is healthy: during a store outage entries
// expire while their upstreams live, and when the store recovers, its list is nearly empty for a
// moment.
TEST_CASE("entries that expired during a store outage are a last resort until they are renewed")
{
    UpstreamDirectory directory;
    directory.replaceAll({entry("a"), entry("b")}, Millis(0));
    directory.storeReturned(Millis(60000));
    directory.replaceAll({entry("b")}, Millis(60000));
    SUBCASE("others are listed: the lapsed one gets no work")
    {
        REQUIRE(usable(directory) == 1);
        CHECK(directory.usable("summaries").front()->entry.id == "b");
    }
    SUBCASE("none is listed: the lapsed ones are used")
    {
        directory.remove("b", Millis(60100));
        CHECK(usable(directory) == 2);
    }
    SUBCASE("renewed in time")
    {
        directory.update(entry("a"), Millis(61000));
        directory.expire(Millis(62500));
        CHECK(usable(directory) == 2);
    }
    SUBCASE("not renewed in time: dropped")
    {
        directory.expire(Millis(62500));
        CHECK(directory.all().count("a") == 0);
    }
}

// Guards against a restarted upstream that is taken for its previous incarnation: the heartbeats of
// both are written in the wrong order.
TEST_CASE("a heartbeat of the previous incarnation changes nothing")
{
    UpstreamDirectory directory;
    directory.update(entry("a", 5), Millis(0));
    directory.update(entry("a", 4, true), Millis(10));
    CHECK(usable(directory) == 1);
    CHECK(directory.find("a")->entry.startedAt == 5);
}

// Guards against requests sent in vain to an address that now belongs to another upstream, which
// rejects what is addressed to the previous one.
TEST_CASE("a misplaced upstream gets no work until the store lists it anew")
{
    UpstreamDirectory directory;
    directory.update(entry("a"), Millis(0));
    directory.markMisplaced("a");
    CHECK(usable(directory) == 0);
    directory.update(entry("a"), Millis(10));
    CHECK(usable(directory) == 1);
    directory.markMisplaced("unknown");
}
