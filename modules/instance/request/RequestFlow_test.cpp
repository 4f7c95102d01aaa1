#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Connection = ScriptedUpstream::Connection;

std::size_t countWithPrefix(const std::vector<ReceivedRequest> &requests, const std::string &prefix)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [&](const ReceivedRequest &request) { return request.startsWith(prefix); }));
}

/** Returns a response that lacks its last 5 bytes. */
std::string truncatedResponse(const std::string &id)
{
    const std::string complete = plainResponse(id, "{\"text\":\"half\"}");
    return complete.substr(0, complete.size() - 5);
}

/** In-memory substitute for the platform's claim store, which decides claims synchronously. */
class MemoryClaims
{
public:
    ClaimHooks hooks()
    {
        ClaimHooks hooks;
        hooks.begin = [this](const ClaimRequest &request, ClaimManager::Completion done) {
            done(begin(request));
        };
        hooks.finish = [this](const std::string &token, const ClaimOutcome &outcome) {
            const std::lock_guard<std::mutex> lock(mutex_);
            outcomes_[token] = outcome;
            changed_.notify_all();
        };
        return hooks;
    }

    /** Waits until the claim has an outcome. */
    ClaimOutcome waitForOutcome(const std::string &token)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(testTimeoutSeconds),
                          [&] { return outcomes_.count(token) > 0; });
        return outcomes_[token];
    }

private:
    ClaimResult begin(const ClaimRequest &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ClaimResult result;
        const bool isNew = claimed_.insert(request.keySha256).second;
        if (isNew) {
            result.decision = ClaimDecision::Run;
            result.token = "claim-" + std::to_string(claimed_.size());
            return result;
        }
        result.decision = ClaimDecision::InProgress;
        if (!outcomes_.empty()) {
            const ClaimOutcome &outcome = outcomes_.begin()->second;
            const bool ran = outcome.verdict == Verdict::Ran;
            result.decision = ran ? ClaimDecision::Replay : ClaimDecision::MayHaveRun;
            result.response = outcome.response;
        }
        return result;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::string> claimed_;
    std::map<std::string, ClaimOutcome> outcomes_;
};

} // namespace

TEST_CASE("plain and streamed completions reach the caller unchanged")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    const std::string plain = running.ask(completion());
    CHECK(contains(plain, "HTTP/1.1 200 OK\r\n"));
    CHECK(contains(plain, "X-Cuminrail-Verdict: ran\r\n"));
    CHECK(contains(plain, "{\"text\":\"whole\""));
    const std::string streamed = running.ask(completion(streamBody));
    CHECK(unchunked(streamed) == event(0, "one") + event(1, "two") + event(2, "[DONE]"));
    const auto usage = running.waitForUsage(2);
    CHECK(usage[0].promptTokens == 7);
    CHECK(usage[0].outputTokens == 3);
    CHECK(usage[1].outputTokens == 2);
    CHECK(usage[1].customer == CustomerId("north"));
}

TEST_CASE("pipelined requests are answered in order")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    TestSocket socket = running.connect();
    socket.send(completion() + completion(streamBody) + request("GET", "/v1/models", southKey));
    CHECK(contains(socket.readMessage(), "\"text\":\"whole\""));
    CHECK(contains(socket.readMessage(), "[DONE]"));
    const std::string models = socket.readMessage();
    CHECK(contains(models, "\"small\""));
    CHECK_FALSE(contains(models, "\"secret\""));
}

// A caller sends headers that only the instance may set, to impersonate another customer or to
// pass its key on. If they were forwarded, one customer could read cached data of another.
TEST_CASE("keys and internal headers sent by a caller do not reach an upstream")
{
    ScriptedUpstream engine(engineScript);
    ScriptedUpstream service(serviceScript);
    RunningInstance running(testSettings({engine.address()}, {service.address()}));
    const std::string spoofed = "X-Customer: south\r\nx_customer: south\r\nX-Priority: batch\r\n"
                                "X-Request-Id: mine\r\nX-Cuminrail-Trust: yes\r\nCookie: a=b\r\n"
                                "Proxy-Authorization: Basic abc\r\nX-Forwarded-For: 1.2.3.4\r\n"
                                "Connection: X-Hop\r\nX-Hop: hop\r\nTE: trailers\r\n"
                                "X-Harmless: stays\r\n";
    running.ask(completion(plainBody, spoofed));
    running.ask(request("GET", "/services/lodging/status/7?full=1", northKey, "", spoofed));
    const std::vector<ReceivedRequest> all{engine.received().at(0), service.received().at(0)};
    for (const ReceivedRequest &received : all) {
        CAPTURE(received.text);
        CHECK(received.header("X-Customer") == "north");
        CHECK(received.header("X-Priority") == "batch");
        for (const char *part : {"south", "mine", "Trust", "a=b", "Proxy-", "1.2.3.4", "X-Hop",
                                 "trailers", "Authorization"})
            CHECK_FALSE(contains(received.text, part));
        CHECK_FALSE(contains(received.text, northKey));
    }
    CHECK(all[1].startsWith("GET /status/7?full=1 HTTP/1.1\r\n"));
    CHECK(all[1].header("X-Harmless") == "stays");
    const std::string shown = running.admin("GET", "/state") + running.admin("GET", "/metrics");
    CHECK_FALSE(contains(shown, northKey));
    CHECK_FALSE(contains(running.log(), northKey));
}

// If keys were checked once per connection only, a caller whose key is withdrawn could continue on
// an open connection.
TEST_CASE("a withdrawn key stops working on open connections")
{
    ScriptedUpstream engine(engineScript);
    Settings settings = testSettings({engine.address()}, {});
    RunningInstance running(settings);
    TestSocket socket = running.connect();
    socket.send(completion());
    CHECK(contains(socket.readMessage(), "200 OK"));
    settings.keys[0].withdrawn = true;
    running.instance.publish(settings);
    socket.send(completion());
    CHECK(contains(socket.readMessage(), "HTTP/1.1 401 "));
    CHECK(engine.received().size() == 1);
}

// Another instance announces the withdrawal of a key before the settings with it arrive here.
TEST_CASE("a key announced as withdrawn stops working before the settings arrive")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    ControlPlane &control = running.instance.control();
    control.thread().run([&] { control.publishWithdrawn({KeyHash::of(northKey)}); });
    CHECK(contains(running.ask(completion()), "HTTP/1.1 401 "));
    CHECK(contains(running.ask(request("GET", "/v1/models", southKey)), "200 OK"));
    CHECK(engine.received().empty());
}

TEST_CASE("requests are refused while the set of withdrawn keys may be stale")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    running.instance.context().isStale = true;
    CHECK(contains(running.ask(completion()), "\"code\":\"stale_configuration\""));
    CHECK(contains(running.admin("GET", "/readyz"), "current-keys"));
    CHECK(engine.received().empty());
}

// An engine fails in the middle of a stream. The caller must get the remaining events, each exactly
// once, or must be able to detect that the response is truncated.
TEST_CASE("an interrupted stream is resumed by request id and offset")
{
    std::atomic<int> interruptions{0};
    ScriptedUpstream engine([&](Connection &connection) {
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const std::string id = request.header("X-Request-Id");
            if (request.startsWith("POST")) {
                connection.socket.send(streamHead(id) + chunk(event(0, "one"))
                                       + chunk("id: 1\ndata: tw"));
                ++interruptions;
                return;
            }
            if (request.startsWith("GET /v1/requests/" + id + "?offset=1 ")) {
                // The resumed stream starts one event too early and is interrupted again.
                connection.socket.send(streamHead(id) + chunk(event(0, "one") + event(1, "two")));
                ++interruptions;
                return;
            }
            connection.socket.send(streamHead(id) + chunk(event(2, "three") + event(3, "[DONE]"))
                                   + chunk(""));
        }
    });
    RunningInstance running(testSettings({engine.address()}, {}));
    const std::string response = running.ask(completion(streamBody));
    CHECK(unchunked(response)
          == event(0, "one") + event(1, "two") + event(2, "three") + event(3, "[DONE]"));
    CHECK(interruptions == 2);
    CHECK(countWithPrefix(engine.received(), "POST") == 1);
}

// The engine no longer knows the stream, skips events, does not respond or ends the stream early.
// A truncated response must not look like a complete one.
TEST_CASE("a stream that cannot be resumed ends with an error event")
{
    enum class Kind { Unknown, Gap, Silent, EndsEarly, Document };
    for (const Kind kind :
         {Kind::Unknown, Kind::Gap, Kind::Silent, Kind::EndsEarly, Kind::Document}) {
        CAPTURE(static_cast<int>(kind));
        ScriptedUpstream engine([&](Connection &connection) {
            const ReceivedRequest request = connection.read();
            const std::string id = request.header("X-Request-Id");
            if (request.startsWith("POST")) {
                connection.socket.send(streamHead(id) + chunk(event(0, "one"))
                                       + (kind == Kind::EndsEarly ? chunk("") : std::string()));
                if (kind == Kind::EndsEarly)
                    connection.read();
                return;
            }
            if (kind == Kind::Gap)
                connection.socket.send(streamHead(id) + chunk(event(3, "four")));
            if (kind == Kind::Unknown || kind == Kind::EndsEarly)
                connection.socket.send(plainResponse(id, "{}", "404 Not Found"));
            if (kind == Kind::Document)
                connection.socket.send(plainResponse(id, "data: four\n\ndata: [DONE]\n\n"));
            connection.read();
        });
        InstanceConfig config = testConfig();
        config.upstreamStallTimeout = Millis(40);
        RunningInstance running(testSettings({engine.address()}, {}), config);
        TestSocket socket = running.connect();
        socket.send(completion(streamBody));
        const std::string response = socket.readToEnd();
        CHECK(contains(response, "data: one"));
        CHECK(contains(response, "data: {\"error\":"));
        CHECK_FALSE(contains(response, "four"));
        CHECK_FALSE(contains(response, "[DONE]"));
        CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
        CHECK(running.waitForUsage(1).at(0).outputTokens == 1);
    }
}

// An engine fails in one of several ways before any byte of its response was forwarded. A
// completion can be run again, so the retry must be transparent to the caller.
TEST_CASE("a completion that fails before its response started is retried at another engine")
{
    struct Row
    {
        const char *name;
        ScriptedUpstream::Script script;
    };
    const Row rows[] = {
        {"closes at once", [](Connection &) {}},
        {"closes after the request", [](Connection &connection) { connection.read(); }},
        {"resets",
         [](Connection &connection) {
             connection.read();
             connection.socket.reset();
         }},
        {"truncated response",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(truncatedResponse(id));
         }},
        {"response of another request",
         [](Connection &connection) {
             connection.read();
             connection.socket.send(plainResponse("someone-else", "{\"text\":\"secret\"}"));
             connection.read();
         }},
        {"500",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(plainResponse(id, "{}", "500 Internal Server Error"));
         }},
        {"refuses with 503",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(plainResponse(id, "{}", "503 Service Unavailable"));
         }},
        {"never responds",
         [](Connection &connection) {
             connection.read();
             connection.read();
         }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::atomic<bool> isFirst{true};
        const ScriptedUpstream::Script script = [&](Connection &connection) {
            if (isFirst.exchange(false))
                return row.script(connection);
            engineScript(connection);
        };
        ScriptedUpstream firstUpstream(script);
        ScriptedUpstream secondUpstream(script);
        InstanceConfig config = testConfig();
        config.firstByteTimeout = Millis(40);
        RunningInstance running(
            testSettings({firstUpstream.address(), secondUpstream.address()}, {}), config);
        const std::string response = running.ask(completion());
        CAPTURE(response);
        CHECK(contains(response, "\"text\":\"whole\""));
        CHECK_FALSE(contains(response, "secret"));
        CHECK(firstUpstream.received().size() + secondUpstream.received().size() >= 1);
    }
}

// All engines fail. The first attempt may have run, the next ones provably did not. A verdict taken
// from the last attempt alone would wrongly be "not-run".
TEST_CASE("the verdict is not-run only if no attempt may have run")
{
    ScriptedUpstream failingEngine([](Connection &connection) { connection.read(); });
    const std::vector<std::string> rows[] = {
        {closedAddress(), closedAddress()},
        {failingEngine.address(), failingEngine.address()},
        {failingEngine.address(), closedAddress(), closedAddress()},
    };
    for (const auto &engines : rows) {
        CAPTURE(engines.size());
        RunningInstance running(testSettings(engines, {}));
        // The order of attempts is random, so the expected verdict depends on whether one of them
        // reached the failing engine.
        const std::size_t before = failingEngine.received().size();
        const std::string response = running.ask(completion());
        CAPTURE(response);
        const bool reached = failingEngine.received().size() > before;
        CHECK(contains(response, reached ? "HTTP/1.1 502 " : "HTTP/1.1 503 "));
        CHECK(contains(response,
                       std::string("X-Cuminrail-Verdict: ")
                           + (reached ? "may-have-run" : "not-run")));
    }
}

// The connection to a service breaks during a call that is not idempotent. A retry could execute it
// twice, for example bill a client twice, so it is sent once and its verdict must be correct.
TEST_CASE("a call that is not idempotent is sent once")
{
    struct Row
    {
        const char *name;
        ScriptedUpstream::Script script;
        const char *verdict;
    };
    const Row rows[] = {
        {"closes after the request", [](Connection &connection) { connection.read(); },
         "may-have-run"},
        {"truncated response",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(truncatedResponse(id));
         },
         "may-have-run"},
        {"response of another request",
         [](Connection &connection) {
             connection.read();
             connection.socket.send(plainResponse("someone-else", "{}"));
             connection.read();
         },
         "may-have-run"},
        {"answers", serviceScript, "ran"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ScriptedUpstream firstUpstream(row.script);
        ScriptedUpstream secondUpstream(row.script);
        RunningInstance running(
            testSettings({}, {firstUpstream.address(), secondUpstream.address()}));
        const std::string response =
            running.ask(request("POST", "/services/lodging/notes", northKey, "{}"));
        CAPTURE(response);
        CHECK(contains(response, std::string("X-Cuminrail-Verdict: ") + row.verdict));
        CHECK(firstUpstream.received().size() + secondUpstream.received().size() == 1);
    }
}

TEST_CASE("a call that provably did not reach its service is retried at another one")
{
    ScriptedUpstream service(serviceScript);
    RunningInstance running(
        testSettings({}, {closedAddress(), service.address(), closedAddress()}));
    for (int i = 0; i < 6; ++i) {
        const std::string response =
            running.ask(request("POST", "/services/lodging/notes", northKey, "{}"));
        CHECK(contains(response, "\"lodged\":true"));
    }
    CHECK(service.received().size() == 6);
}

// A caller repeats a lodging after a time-out. The first call may have arrived: the duplicate must
// get the stored response and must never run a second time.
TEST_CASE("a duplicate lodging gets the stored response")
{
    MemoryClaims claims;
    ScriptedUpstream service(serviceScript);
    RunningInstance running(testSettings({}, {service.address()}), testConfig(), claims.hooks());
    const std::string first = running.ask(lodging("k-1"));
    CHECK(contains(first, "\"lodged\":true"));
    claims.waitForOutcome("claim-1");
    const std::string second = running.ask(lodging("k-1"));
    CHECK(contains(second, "\"lodged\":true"));
    CHECK(contains(second, "X-Idempotent-Replay: true\r\n"));
    CHECK(service.received().size() == 1);
    CHECK(service.received()[0].header("Idempotency-Key") == "k-1");
}

// The caller disconnects while its lodging runs. If the call were cancelled, its outcome would be
// unknown. It runs to completion instead, so that a duplicate gets the stored response.
TEST_CASE("a lodging whose caller disconnected runs to completion")
{
    MemoryClaims claims;
    Signal callerDisconnected;
    ScriptedUpstream service([&](Connection &connection) {
        const std::string id = connection.read().header("X-Request-Id");
        callerDisconnected.wait();
        connection.socket.send(plainResponse(id, "{\"lodged\":true}"));
        connection.read();
    });
    RunningInstance running(testSettings({}, {service.address()}), testConfig(), claims.hooks());
    TestSocket socket = running.connect();
    socket.send(lodging("k-1"));
    REQUIRE(service.waitForRequests(1));
    socket.close();
    // The service responds only after the metrics show the disconnect.
    while (!contains(running.admin("GET", "/metrics"), "cuminrail_callers_left_total 1")) { }
    callerDisconnected.set();
    const ClaimOutcome outcome = claims.waitForOutcome("claim-1");
    CHECK(outcome.verdict == Verdict::Ran);
    CHECK(outcome.response.body == "{\"lodged\":true}");
    CHECK(contains(running.ask(lodging("k-1")), "X-Idempotent-Replay: true"));
    CHECK(service.received().size() == 1);
}

// A service responds after the caller's deadline. By then the caller got an error and sent its next
// request on the same connection: the late response must not be delivered for that request.
TEST_CASE("a response after the deadline is not delivered to the next request")
{
    MemoryClaims claims;
    Signal nextSent;
    ScriptedUpstream service([&](Connection &connection) {
        const std::string id = connection.read().header("X-Request-Id");
        nextSent.wait();
        connection.socket.send(plainResponse(id, "{\"lodged\":\"late\"}"));
        connection.read();
    });
    Signal lateRecorded;
    ScriptedUpstream engine([&](Connection &connection) {
        const std::string id = connection.read().header("X-Request-Id");
        nextSent.set();
        lateRecorded.wait();
        connection.socket.send(plainResponse(id, "{\"text\":\"mine\"}"));
        connection.read();
    });
    RunningInstance running(testSettings({engine.address()}, {service.address()}), testConfig(),
                            claims.hooks());
    TestSocket socket = running.connect();
    socket.send(request("POST", "/services/lodging/lodgings", northKey, "{}",
                        "Idempotency-Key: k\r\nX-Deadline-Ms: 30\r\n"));
    const std::string first = socket.readMessage();
    CHECK(contains(first, "HTTP/1.1 504 "));
    CHECK(contains(first, "X-Cuminrail-Verdict: may-have-run"));
    socket.send(completion());
    CHECK(claims.waitForOutcome("claim-1").response.body == "{\"lodged\":\"late\"}");
    lateRecorded.set();
    const std::string second = socket.readMessage();
    CHECK(contains(second, "\"text\":\"mine\""));
    CHECK_FALSE(contains(second, "late"));
}

// A caller disconnects during a long stream. Without a cancel the engine would continue to generate
// tokens that are discarded, and the customer's slot would stay occupied.
TEST_CASE("a stream whose caller disconnected is cancelled at the engine and its usage is counted")
{
    ScriptedUpstream engine([](Connection &connection) {
        const ReceivedRequest request = connection.read();
        const std::string id = request.header("X-Request-Id");
        if (request.startsWith("DELETE")) {
            connection.socket.send(plainResponse(id, "{}"));
            return;
        }
        connection.socket.send(streamHead(id) + chunk(event(0, "one") + event(1, "two")));
        connection.read();
    });
    RunningInstance running(testSettings({engine.address()}, {}));
    TestSocket socket = running.connect();
    socket.send(completion(streamBody));
    REQUIRE(socket.readUntil("two"));
    socket.close();
    REQUIRE(engine.waitForRequests(2));
    const std::string id = engine.received()[0].header("X-Request-Id");
    CHECK(engine.received()[1].startsWith("DELETE /v1/requests/" + id + " HTTP/1.1"));
    CHECK(running.waitForUsage(1).at(0).outputTokens == 2);
}

// A caller requests a long stream and does not read it. Without backpressure the data from the
// engine would accumulate in the instance until it runs out of memory and all requests fail.
TEST_CASE("a slow reader causes backpressure on the engine")
{
    std::atomic<std::size_t> writtenBytes{0};
    constexpr std::size_t writeLimit = 64 * 1024 * 1024;
    Signal writeBlocked;
    ScriptedUpstream engine([&](Connection &connection) {
        const ReceivedRequest request = connection.read();
        const std::string id = request.header("X-Request-Id");
        if (request.startsWith("DELETE"))
            return;
        connection.socket.setTimeout(1);
        connection.socket.send(streamHead(id));
        std::uint64_t number = 0;
        while (writtenBytes < writeLimit
               && connection.socket.send(chunk(event(number, std::string(16000, 'x'))))) {
            ++number;
            writtenBytes += 16000;
        }
        writeBlocked.set();
    });
    InstanceConfig config = testConfig();
    config.writeStallTimeout = Millis::seconds(30);
    RunningInstance running(testSettings({engine.address()}, {}), config);
    TestSocket socket = running.connect(4096);
    socket.send(completion(streamBody));
    REQUIRE(writeBlocked.wait());
    CHECK(writtenBytes < writeLimit);
}

TEST_CASE("a caller that reads nothing for the write time-out is disconnected")
{
    ScriptedUpstream engine([&](Connection &connection) {
        const ReceivedRequest request = connection.read();
        if (request.startsWith("DELETE"))
            return;
        connection.socket.send(streamHead(request.header("X-Request-Id")));
        std::uint64_t number = 0;
        while (connection.socket.send(chunk(event(number, std::string(16000, 'x')))))
            ++number;
    });
    InstanceConfig config = testConfig();
    config.writeStallTimeout = Millis(50);
    RunningInstance running(testSettings({engine.address()}, {}), config);
    TestSocket socket = running.connect(4096);
    socket.send(completion(streamBody));
    REQUIRE(engine.waitForRequests(2));
    CHECK(engine.received()[1].startsWith("DELETE /v1/requests/"));
}
