#include "standin/standin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace cuminrail::standin;
using Json = nlohmann::json;

namespace {

BlockingRequest put(const std::string &path, const std::string &value, const std::string &condition)
{
    return {"PUT", "/objects/" + path, value, {{"If-Match", condition}}};
}

BlockingRequest target(int count, int fence, const std::string &token)
{
    const Json body = {{"count", count}, {"fence", fence}, {"client_token", token}};
    return {"PUT", "/fleet/east/regular", body.dump(), {}};
}

BlockingRequest usage(const std::string &window, const std::string &figures, int fence)
{
    const Json body = {{"window_id", window}, {"sealed_figures", figures}, {"fence", fence}};
    return {"POST", "/usage-reports", body.dump(), {}};
}

} // namespace

TEST_CASE("a conditional write takes effect only on the version it names")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    CHECK(callOnce(platform.port(), put("a", "1", "0")).status == 200);
    CHECK(callOnce(platform.port(), put("a", "2", "0")).status == 412);
    CHECK(callOnce(platform.port(), put("a", "2", "1")).status == 200);
    const auto read = callOnce(platform.port(), {"GET", "/objects/a"});
    CHECK(Json::parse(read.body)["value"] == "2");
    CHECK(Json::parse(read.body)["version"] == 2);
}

// Guards against an answer that can't be told from that of another call on its connection.
TEST_CASE("the platform and engines state the identity of every call that has one")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    StandinHost<StandinEngine> engine(EngineOptions{});
    struct Row
    {
        std::uint16_t port;
        const char *method;
        const char *target;
        const char *body;
    };
    const Row rows[] = {
        {platform.port(), "GET", "/objects/a", ""},
        {platform.port(), "PUT", "/objects/a", "1"},
        {platform.port(), "DELETE", "/objects/none", ""},
        {platform.port(), "GET", "/list?prefix=a", ""},
        {platform.port(), "GET", "/watch?prefix=a&after=0&wait_ms=1", ""},
        {platform.port(), "GET", "/instances", ""},
        {platform.port(), "GET", "/fleet/east/regular", ""},
        {platform.port(), "PUT", "/fleet/east/regular", "{}"},
        {platform.port(), "POST", "/usage-reports", "{}"},
        {platform.port(), "POST", "/weights/tickets", "{}"},
        {platform.port(), "GET", "/no-such-call", ""},
        {engine.port(), "GET", "/control/state", ""},
        {engine.port(), "POST", "/control/orders", "{}"},
        {engine.port(), "DELETE", "/v1/requests/none", ""},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.target));
        const auto named =
            callOnce(row.port, {row.method, row.target, row.body, {{"X-Request-Id", "c-1"}}});
        CHECK(named.header("x-request-id") == "c-1");
        const auto unnamed = callOnce(row.port, {row.method, row.target, row.body, {}});
        CHECK(unnamed.isWhole);
        CHECK(unnamed.header("x-request-id").empty());
    }
    REQUIRE(platform.setFaults(R"({"rules":[{"fault":"refuse","status":503}]})"));
    const auto refused =
        callOnce(platform.port(), {"GET", "/objects/a", "", {{"X-Request-Id", "c-2"}}});
    CHECK(refused.status == 503);
    CHECK(refused.header("x-request-id") == "c-2");
}

TEST_CASE("a watch waits for a change below its prefix, removals too")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    callOnce(platform.port(), put("settings/a", "1", "0"));
    BlockingAnswer answer;
    std::thread watcher([&] {
        answer =
            callOnce(platform.port(),
                     {"GET", "/watch?prefix=settings%2F&after=1&wait_ms=10000", "", {}, 20000});
    });
    while (platform.run([](StandinPlatform &p) { return p.calls().count("watch"); }) == 0)
        std::this_thread::yield();
    callOnce(platform.port(), put("other/a", "1", "0"));
    callOnce(platform.port(), {"DELETE", "/objects/settings/a"});
    watcher.join();
    const Json body = Json::parse(answer.body);
    REQUIRE(body["objects"].size() == 1);
    CHECK(body["objects"][0]["removed"] == true);
    CHECK(body["revision"] == 3);
}

TEST_CASE("a lagging read shows the past")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    callOnce(platform.port(), put("a", "old", "0"));
    callOnce(platform.port(), put("a", "new", "1"));
    REQUIRE(platform.setFaults(R"({"rules":[{"fault":"lagging-reads","revisions":1}]})"));
    const auto read = callOnce(platform.port(), {"GET", "/objects/a"});
    CHECK(Json::parse(read.body)["value"] == "old");
}

TEST_CASE("fleet targets are fenced, and a repeated token gets its first answer")
{
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    CHECK(callOnce(platform.port(), target(3, 2, "t1")).status == 200);
    CHECK(callOnce(platform.port(), target(9, 1, "t2")).status == 409);
    CHECK(callOnce(platform.port(), target(5, 3, "t3")).status == 200);
    CHECK(callOnce(platform.port(), target(3, 2, "t1")).status == 200);
    const auto read = callOnce(platform.port(), {"GET", "/fleet/east/regular"});
    CHECK(Json::parse(read.body)["count"] == 5);
    CHECK(platform.records()[3].note == "repeated-token");
    CHECK_FALSE(platform.records()[3].ran);
}

TEST_CASE("usage windows take one set of figures, under a fence that never falls")
{
    struct Row
    {
        BlockingRequest request;
        unsigned status;
        const char *note;
    };
    const Row rows[] = {
        {usage("north/1", "10", 4), 200, ""},
        {usage("north/1", "10", 5), 200, "repeated"},
        {usage("north/1", "11", 6), 409, "conflict"},
        {usage("north/2", "7", 4), 409, "stale-fence"},
        {usage("south/1", "7", 1), 200, ""},
    };
    StandinHost<StandinPlatform> platform(PlatformOptions{});
    std::size_t number = 0;
    for (const Row &row : rows) {
        CAPTURE(number);
        CHECK(callOnce(platform.port(), row.request).status == row.status);
        CHECK(platform.records()[number++].note == row.note);
    }
}
