#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/** What the response of an upstream states of its request's identity. */
enum class Echo : std::uint8_t { Yes, No };

/** When an upstream sends the response of a call before a second time. */
enum class Repeat : std::uint8_t {
    /** Once the next request on the connection has been read, before its own response. */
    BeforeNext,
    /** The same, and its own response is missing. */
    InPlaceOfNext,
    /** With the response itself, so that it waits while the connection is idle. */
    WhileIdle,
};

/** Returns the mark by which a test tells requests apart, or nothing. */
std::string markOf(const std::string &text)
{
    const auto at = text.find("mark-");
    return at == std::string::npos ? std::string() : text.substr(at, 6);
}

std::string responseTo(const ReceivedRequest &request, Echo echo, const std::string &status)
{
    const std::string body = R"({"text":"for )" + markOf(request.text)
        + R"(","usage":{"prompt_tokens":7,"completion_tokens":3}})";
    if (echo == Echo::Yes)
        return plainResponse(request.header("X-Request-Id"), body, status);
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Responds to each request with its own mark, and once more with that of the request before. */
ScriptedUpstream::Script stuttering(Echo echo, Repeat repeat, const std::string &firstStatus)
{
    return [echo, repeat, firstStatus](ScriptedUpstream::Connection &connection) {
        std::string repeated;
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const bool isFirst = markOf(request.text) == "mark-1";
            const std::string own = responseTo(request, echo, isFirst ? firstStatus : "200 OK");
            if (repeat == Repeat::WhileIdle)
                connection.socket.send(own + own);
            else if (repeat == Repeat::BeforeNext || repeated.empty())
                connection.socket.send(repeated + own);
            else
                connection.socket.send(repeated);
            repeated = own;
        }
    };
}

std::string statusCall(int mark)
{
    return request("POST", "/services/lodging/status/mark-" + std::to_string(mark), northKey,
                   "mark-" + std::to_string(mark));
}

std::string note(int mark)
{
    return request("POST", "/services/lodging/notes", northKey, "mark-" + std::to_string(mark));
}

std::string markedCompletion(int mark, const std::string &moreHeaders = {})
{
    return completion(R"({"model":"small","messages":[{"role":"user","content":"mark-)"
                          + std::to_string(mark) + "\"}]}",
                      moreHeaders);
}

/** A request, and one after it that meets the first one's response again. */
struct Row
{
    std::string name;
    std::string first;
    std::string second;
    /** What the upstream responds to the first. */
    std::string firstStatus = "200 OK";
};

const std::vector<Row> serviceRows = {
    {"repeatable calls", statusCall(1), statusCall(2)},
    {"a repeatable call after one that runs once", note(1), statusCall(2)},
    {"a call that runs once after a repeatable one", statusCall(1), note(2)},
    {"calls that run once", note(1), note(2)},
    {"a call after one that was refused", statusCall(1), statusCall(2), "503 Full"},
};

const std::vector<Row> engineRows = {
    {"completions", markedCompletion(1), markedCompletion(2)},
    {"a completion after one that failed", markedCompletion(1), markedCompletion(2),
     "500 Internal Server Error"},
    {"a completion after one that was refused", markedCompletion(1), markedCompletion(2),
     "503 Full"},
};

std::size_t sendsOf(const ScriptedUpstream &upstream, const std::string &mark)
{
    std::size_t count = 0;
    for (const ReceivedRequest &received : upstream.received())
        count += markOf(received.text) == mark && received.startsWith("POST") ? 1 : 0;
    return count;
}

/** Checks that the second caller gets its own response, or one that promises nothing. */
void checkRow(const Row &row, bool isService, Echo echo, Repeat repeat)
{
    CAPTURE(row.name);
    CAPTURE(static_cast<int>(echo));
    CAPTURE(static_cast<int>(repeat));
    ScriptedUpstream upstream(stuttering(echo, repeat, row.firstStatus));
    InstanceConfig config = testConfig();
    // Both requests share the pool of one worker.
    config.threads = 1;
    // An instance may go on waiting for the own response, which one of the scripts never sends.
    config.firstByteTimeout = Millis::seconds(1);
    using Addresses = std::vector<std::string>;
    const Addresses none;
    const Addresses one = {upstream.address()};
    RunningInstance running(isService ? testSettings(none, one) : testSettings(one, none), config);
    TestSocket caller = running.connect();
    caller.send(row.first);
    caller.readMessage();
    caller.send(row.second);
    const std::string response = caller.readMessage();
    CAPTURE(response);
    CHECK_FALSE(contains(response, "for mark-1"));
    const bool isOwn = contains(response, "200 OK") && contains(response, "for mark-2");
    const bool isUncertain = contains(response, "X-Cuminrail-Verdict: may-have-run");
    CHECK((isOwn || isUncertain));
    const bool mayRepeat = contains(row.second, "/status/") || !isService;
    if (!mayRepeat)
        CHECK(sendsOf(upstream, "mark-2") <= 1);
}

void checkAll(const std::vector<Row> &rows, bool isService, Echo echo)
{
    for (const Row &row : rows) {
        for (const Repeat repeat : {Repeat::BeforeNext, Repeat::InPlaceOfNext, Repeat::WhileIdle})
            checkRow(row, isService, echo, repeat);
    }
}

} // namespace

// Guards against another call's response where a service states no identity.
TEST_CASE("a service's late second response without an identity reaches no other caller")
{
    checkAll(serviceRows, true, Echo::No);
}

// Guards against another call's response where a service states its identity.
TEST_CASE("a service's late second response with its identity reaches no other caller")
{
    checkAll(serviceRows, true, Echo::Yes);
}

// Guards against another completion's response, and a refusal that is not the completion's own.
TEST_CASE("an engine's late second response reaches no other caller")
{
    checkAll(engineRows, false, Echo::Yes);
}

namespace {

/** Fails the first completion's attempt whole, and responds to its cancel call and to the rest
 * twice. */
void failingEngine(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        const bool isCancel = request.startsWith("DELETE");
        const bool isFirst = markOf(request.text) == "mark-1";
        const std::string own =
            responseTo(request, Echo::Yes, isFirst ? "500 Internal Server Error" : "200 OK");
        connection.socket.send(own);
        if (isCancel || isFirst) {
            connection.read();
            connection.socket.send(own);
        }
    }
}

} // namespace

// Guards against the response to a cancel call, whose identity is the attempt's, as a completion's.
TEST_CASE("a late second response to a cancelled attempt reaches no other caller")
{
    ScriptedUpstream first(failingEngine);
    ScriptedUpstream second(failingEngine);
    InstanceConfig config = testConfig();
    config.threads = 1;
    config.firstByteTimeout = Millis::seconds(1);
    RunningInstance running(testSettings({first.address(), second.address()}, {}), config);
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        const std::string failed =
            running.ask(markedCompletion(1, "Idempotency-Key: k" + std::to_string(round) + "\r\n"));
        CHECK_FALSE(contains(failed, " 200 OK"));
        const std::string response = running.ask(markedCompletion(2));
        CAPTURE(response);
        CHECK_FALSE(contains(response, "for mark-1"));
        const bool isOwn = contains(response, "200 OK") && contains(response, "for mark-2");
        CHECK((isOwn || contains(response, "X-Cuminrail-Verdict: may-have-run")));
    }
}
