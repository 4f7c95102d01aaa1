#include "platform/client/ControlLoop.h"
#include "platform/platform.h"
#include "standin/standin.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using standin::PlatformOptions;
using standin::StandinHost;
using standin::StandinPlatform;

namespace {

/** A store over real sockets whose calls can be waited for. */
class StoreSession
{
public:
    StoreSession() : loop_("instance-a"), store_(makeHttpObjectStore(loop_.client(), address())) { }

    std::string address() { return platform.address(); }

    StoreReply get(const std::string &path)
    {
        return loop_.await<StoreReply>([&](StoreCompletion done) { store_.get(path, done); });
    }
    StoreReply list(const std::string &prefix)
    {
        return loop_.await<StoreReply>([&](StoreCompletion done) { store_.list(prefix, done); });
    }
    StoreReply put(const std::string &path, const std::string &value,
                   std::optional<ObjectVersion> expected)
    {
        return loop_.await<StoreReply>([&](StoreCompletion done) {
            store_.put(StorePut{path, value, expected}, done);
        });
    }
    StoreReply remove(const std::string &path, ObjectVersion expected)
    {
        return loop_.await<StoreReply>(
            [&](StoreCompletion done) { store_.remove(path, expected, done); });
    }
    StoreReply watch(const std::string &prefix, ObjectVersion after, Millis wait)
    {
        return loop_.await<StoreReply>(
            [&](StoreCompletion done) { store_.watch(prefix, after, wait, done); });
    }
    PlatformClient &client() { return loop_.client(); }

    StandinHost<StandinPlatform> platform{PlatformOptions{}};

private:
    ControlLoop loop_;
    ObjectStore store_;
};

} // namespace

TEST_CASE("objects are written under conditions, read, listed, watched and removed")
{
    StoreSession session;
    const std::string odd = "claims/a b?c%\"\xc3\xa9/1";
    CHECK(session.get(odd).status == StoreStatus::NotFound);
    const StoreReply created = session.put(odd, "one", 0);
    CHECK(created.status == StoreStatus::Ok);
    CHECK(session.put(odd, "two", 0).status == StoreStatus::Conflict);
    CHECK(session.put(odd, "two", 0).version == created.version);
    const StoreReply read = session.get(odd);
    REQUIRE(read.objects.size() == 1);
    CHECK(read.objects[0].path == odd);
    CHECK(read.objects[0].value == "one");
    CHECK(read.objects[0].version == created.version);
    CHECK(session.list("claims/").objects.size() == 1);
    CHECK(session.list("other/").objects.empty());
    CHECK(session.remove(odd, created.version).status == StoreStatus::Ok);
    const StoreReply changes = session.watch("claims/", created.version, Millis(1000));
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.objects[0].removed);
    CHECK(session.watch("claims/", changes.version, Millis(1)).objects.empty());
    CHECK(session.client().callCount(PlatformCallKind::Put) == 3);
    CHECK(session.platform.records().back().header("x-instance") == "instance-a");
}

TEST_CASE("a write is in doubt unless it provably had no effect")
{
    // The platform takes a write, and its answer gets lost, comes too late, or the platform goes
    // silent before it did anything. Whoever believed "not written" would write a second time;
    // whoever believed "written" would act on a lease that it does not hold.
    struct Row
    {
        const char *rule;
        StoreStatus write;
        bool tookEffect;
    };
    const Row rows[] = {
        {R"({"fault":"lose-answer","method":"PUT"})", StoreStatus::Unknown, true},
        {R"({"fault":"lose-answer","method":"PUT","bytes":60})", StoreStatus::Unknown, true},
        {R"({"fault":"reset","method":"PUT"})", StoreStatus::Unknown, true},
        {R"({"fault":"stall","method":"PUT"})", StoreStatus::Unknown, true},
        {R"({"fault":"silent","method":"PUT"})", StoreStatus::Unknown, false},
        {R"({"fault":"down","method":"PUT"})", StoreStatus::Unknown, false},
        {R"({"fault":"refuse","status":503,"method":"PUT"})", StoreStatus::Unknown, false},
        {R"({"fault":"refuse","status":429,"method":"PUT"})", StoreStatus::Unavailable, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.rule);
        StoreSession session;
        REQUIRE(session.platform.setFaults(R"({"rules":[)" + std::string(row.rule) + "]}"));
        CHECK(session.put("a", "1", 0).status == row.write);
        const StoreReply read = session.get("a");
        CHECK(read.status == (row.tookEffect ? StoreStatus::Ok : StoreStatus::NotFound));
    }
}

TEST_CASE("a read without an answer had no effect, and the next one gets a new connection")
{
    // A connection goes silent for good while new ones work. The caller of a read would wait for
    // TCP to give up, a quarter of an hour; here it hears soon, and the next read works.
    for (const char *fault : {"stall", "lose-answer", "reset", "silent", "down"}) {
        CAPTURE(fault);
        StoreSession session;
        session.put("a", "1", 0);
        REQUIRE(session.platform.setFaults(R"({"rules":[{"count":1,"fault":")" + std::string(fault)
                                           + "\"}]}"));
        CHECK(session.get("a").status == StoreStatus::Unavailable);
        CHECK(session.get("a").status == StoreStatus::Ok);
    }
}

TEST_CASE("a store that nobody listens for is unavailable, for writes too")
{
    // The platform is gone: connecting is refused. Nothing was sent, so nothing is in doubt and
    // the writer need not read back later.
    ControlLoop loop("instance-a");
    const ObjectStore store = makeHttpObjectStore(loop.client(), "127.0.0.1:1");
    const auto reply = loop.await<StoreReply>([&](StoreCompletion done) {
        store.put(StorePut{"a", "1", 0}, done);
    });
    CHECK(reply.status == StoreStatus::Unavailable);
    CHECK_FALSE(reply.lastReason.what.empty());
}

TEST_CASE("a store's answer that makes no sense is no answer")
{
    StandinHost<standin::StandinService> service(standin::ServiceOptions{});
    ControlLoop loop("instance-a");
    const ObjectStore store = makeHttpObjectStore(loop.client(), service.address());
    CHECK(loop.await<StoreReply>([&](StoreCompletion done) { store.get("a", done); }).status
          == StoreStatus::Unavailable);
    CHECK(loop.await<StoreReply>([&](StoreCompletion done) {
                  store.put(StorePut{"a", "1", 0}, done);
              })
              .status
          == StoreStatus::Unknown);
}
