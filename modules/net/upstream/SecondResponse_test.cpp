#include "net/testing/SecondResponseTrial.h"
#include "net/upstream/UpstreamPool.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Connection = ScriptedUpstream::Connection;

constexpr Moment beforeNext[] = {Moment::RightBehind, Moment::Idle};
constexpr Moment beforeOwn[] = {Moment::Late, Moment::LateInParts, Moment::Sending,
                                Moment::AfterEarly, Moment::AfterInterim};

/** Checks that a request got its own response, or none and may have run. */
void checkOwnOrNone(const PoolResult &result, const Exchange &exchange)
{
    const std::string own = bodyOf(exchange, "b");
    if (result.end.kind == UpstreamEndKind::Complete) {
        CHECK(result.end.verdict == Verdict::Ran);
        CHECK(result.status == std::stoi(exchange.status));
        CHECK(result.body == own);
        return;
    }
    CHECK(result.end.verdict == Verdict::MayHaveRun);
    CHECK(own.compare(0, result.body.size(), result.body) == 0);
}

/** Whether request "b" ends with its own response. */
enum class Expected : std::uint8_t { Own, None };

void checkTrial(Moment moment, const Exchange &first, const std::optional<Exchange> &second,
                const Exchange &next, Expected expected)
{
    CAPTURE(momentNames.name(moment));
    CAPTURE(std::string(first.name));
    CAPTURE(std::string(second ? second->name : "none"));
    CAPTURE(std::string(next.name));
    SecondResponseTrial trial(moment, first, second, next);
    PoolClient client;
    const PoolResult result = trial.run(client);
    CAPTURE(std::string(upstreamEndKindNames.name(result.end.kind)));
    checkOwnOrNone(result, next);
    CHECK((result.end.kind == UpstreamEndKind::Complete) == (expected == Expected::Own));
    CHECK(trial.runAnother(client).body == "for c");
}

} // namespace

// Guards against bytes behind a response that the connection's next request reads as its own.
TEST_CASE("a second response before the next request is nobody's")
{
    for (const auto &kinds : {echoed(), unidentified()}) {
        for (const Exchange &first : kinds) {
            for (const Moment moment : beforeNext)
                checkTrial(moment, first, first, plain(), Expected::Own);
        }
    }
}

// Guards against bytes that arrive between the check of an idle connection and its next request.
TEST_CASE("a second response while the next request takes the connection is nobody's")
{
    for (const auto &kinds : {echoed(), unidentified()}) {
        for (const Exchange &first : kinds)
            checkTrial(Moment::Taken, first, first, plain(), Expected::Own);
    }
}

// Guards against a request that loses its own response to the one before.
TEST_CASE("a second response with the identity of an earlier request is discarded")
{
    for (const Exchange &first : echoed()) {
        for (const Moment moment : beforeOwn)
            checkTrial(moment, first, first, plain(), Expected::Own);
    }
}

// Guards against another request's refusal that is read as "not run", and against its body.
TEST_CASE("a connection whose response bore no identity carries no other request")
{
    for (const Exchange &first : unidentified()) {
        for (const Moment moment : beforeOwn)
            checkTrial(moment, first, first, plain(), Expected::Own);
    }
}

// Guards against a second response that lacks the identity which the first one bore.
TEST_CASE("a second response without identity ends the next request as one that may have run")
{
    for (const Exchange &second : unidentified()) {
        for (const Moment moment : beforeOwn)
            checkTrial(moment, plain(), second, plain(), Expected::None);
    }
}

// Guards against a call without identity that reads an earlier request's response as its own.
TEST_CASE("a call without identity gets no other request's response")
{
    for (const Exchange &next : {call("call", "200 OK"), call("refused call", "503 Unavailable")}) {
        for (const Exchange &first : echoed()) {
            for (const Moment moment : beforeOwn)
                checkTrial(moment, first, first, next, Expected::Own);
        }
    }
}

// Guards against a refusal without identity that is believed where it may be another request's.
TEST_CASE("a response without identity is believed only on a connection without other requests")
{
    for (const Exchange &next : unidentified()) {
        if (next.isIdentified)
            checkTrial(Moment::Late, plain(), std::nullopt, next, Expected::None);
        checkTrial(Moment::RightBehind, plain(), plain(), next, Expected::Own);
    }
}

// Guards against strays that are cut by the rules for the body of the next request's response.
TEST_CASE("a second response is discarded whatever the next request's own one looks like")
{
    for (const Exchange &next : echoed()) {
        for (const Moment moment : beforeOwn)
            checkTrial(moment, plain(), plain(), next, Expected::Own);
    }
}

// Guards against a body that another response's bytes make complete.
TEST_CASE("a second response inside the next request's body ends that request")
{
    for (const Exchange &first : echoed()) {
        // A response to HEAD has a connection of its own.
        const bool isShared = first.method != "HEAD";
        checkTrial(Moment::BetweenChunks, first, first, chunked(),
                   isShared ? Expected::None : Expected::Own);
    }
}

// Guards against the response to the first of two sends that is read as that to the second.
TEST_CASE("an identity is sent once over a connection")
{
    ScriptedUpstream upstream([](Connection &connection) {
        std::string last;
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            connection.socket.send(last);
            const std::string id = request.header("X-Request-Id");
            if (id == "a")
                last = plainResponse(id, "on " + std::to_string(connection.number));
            connection.socket.send(id == "a" ? last : plainResponse(id, "for " + id));
        }
    });
    PoolClient client;
    const auto send = [&](const std::string &id) {
        return client.call(requestOf(plain(), upstream.address(), id)).body;
    };
    CHECK(send("a") == "on 1");
    CHECK(send("a") == "on 2");
    CHECK(send("a") == "on 3");
    std::vector<std::size_t> connections;
    for (const ReceivedRequest &request : upstream.received())
        connections.push_back(request.connection);
    CHECK(connections == std::vector<std::size_t>{1, 2, 3});
}
