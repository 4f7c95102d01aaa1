#include "standin/standin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace cuminrail;
using namespace cuminrail::standin;
using Json = nlohmann::json;

namespace {

BlockingRequest completion(const std::string &id, const std::string &prompt, bool isStreamed)
{
    const Json body = {{"prompt", prompt}, {"max_tokens", 4}, {"stream", isStreamed}};
    return {"POST", "/v1/completions", body.dump(), {{"X-Request-Id", id}}};
}

BlockingRequest order(const std::string &id, int fence, const std::string &role)
{
    const Json body = {
        {"order_id", id}, {"fence", fence}, {"kind", "change-role"}, {"target", role}};
    return {"POST", "/control/orders", body.dump(), {}};
}

Json stateOf(std::uint16_t port)
{
    return Json::parse(callOnce(port, {"GET", "/control/state"}).body);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != text.npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("an answer depends on the prompt alone, plain and streamed")
{
    StandinHost<StandinEngine> engine(EngineOptions{});
    const auto plain = callOnce(engine.port(), completion("a", "hello", false));
    const auto again = callOnce(engine.port(), completion("b", "hello", false));
    const auto other = callOnce(engine.port(), completion("c", "other", false));
    const auto text = [](const BlockingAnswer &answer) {
        return Json::parse(answer.body)["choices"][0]["text"].get<std::string>();
    };
    CHECK(text(plain) == text(again));
    CHECK(text(plain) != text(other));
    CHECK(plain.header("x-request-id") == "a");
    const auto streamed = callOnce(engine.port(), completion("d", "hello", true));
    CHECK(countOf(streamed.body, "data: ") == 5);
    CHECK(streamed.body.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("a broken stream is resumed by its identity and offset")
{
    StandinHost<StandinEngine> engine(EngineOptions{});
    REQUIRE(
        engine.setFaults(R"({"rules":[{"fault":"lose-answer","events":2,"bytes":7,"count":1}]})"));
    const auto broken = callOnce(engine.port(), completion("r", "hello", true));
    CHECK_FALSE(broken.isWhole);
    CHECK(countOf(broken.body, "\n\n") == 2);
    const auto rest = callOnce(engine.port(), {"GET", "/v1/requests/r?offset=2"});
    CHECK(rest.isWhole);
    CHECK(rest.body.find("id: 2\n") == 0);
    CHECK(countOf(rest.body, "data: ") == 3);
}

TEST_CASE("only an engine that checks fences refuses a lower one or an order while busy")
{
    for (const bool checksFence : {true, false}) {
        CAPTURE(checksFence);
        EngineOptions options;
        options.checksFence = checksFence;
        options.roleChangeMs = 60000;
        StandinHost<StandinEngine> engine(options);
        CHECK(callOnce(engine.port(), order("one", 5, "prefill")).status == 202);
        CHECK(stateOf(engine.port())["role"] == "none");
        CHECK(callOnce(engine.port(), completion("a", "hello", false)).status == 503);
        const unsigned expected = checksFence ? 409 : 202;
        CHECK(callOnce(engine.port(), order("two", 4, "decode")).status == expected);
        CHECK(callOnce(engine.port(), order("three", 6, "decode")).status == expected);
        const auto records = engine.records();
        CHECK(records.back().note == (checksFence ? "busy" : "conflict"));
    }
}

TEST_CASE("a crash in mid-change brings back the old, the new or no role")
{
    const std::pair<std::string, std::string> cases[] = {
        {"old", "mixed"}, {"new", "prefill"}, {"none", "none"}};
    for (const auto &row : cases) {
        CAPTURE(row.first);
        EngineOptions options;
        options.roleChangeMs = 2;
        StandinHost<StandinEngine> engine(options);
        const Json crash = {{"when", "mid-change"}, {"role", row.first}};
        callOnce(engine.port(), {"POST", "/standin/crash", crash.dump(), {}});
        CHECK(callOnce(engine.port(), order("one", 5, "prefill")).status == 202);
        // The crash cuts whatever question is under way.
        Json state = {{"incarnation", 1}};
        while (state["incarnation"] == 1) {
            const auto answer = callOnce(engine.port(), {"GET", "/control/state"});
            if (answer.isWhole)
                state = Json::parse(answer.body);
        }
        CHECK(state["role"] == row.second);
        CHECK(state["last_order_id"] == "");
        CHECK(state["current_order_id"] == "");
    }
}

TEST_CASE("cache events come with gaps and never mix customers")
{
    EngineOptions options;
    options.cache.gapEvery = 2;
    StandinHost<StandinEngine> engine(options);
    for (const char *customer : {"north", "south", "north"}) {
        BlockingRequest request = completion(customer, "same prompt", false);
        request.headers.emplace_back("X-Customer", customer);
        callOnce(engine.port(), request);
    }
    const Json events =
        Json::parse(callOnce(engine.port(), {"GET", "/control/cache-events?after=0"}).body);
    REQUIRE(events["events"].size() == 1);
    CHECK(events["events"][0]["customer"] == "north");
    CHECK(events["next"] == 2);
}
