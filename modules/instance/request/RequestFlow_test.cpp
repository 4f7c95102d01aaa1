#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Connection = ScriptedUpstream::Connection;

std::size_t countOf(const std::vector<ReceivedRequest> &requests, const std::string &start)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [&](const ReceivedRequest &each) { return each.startsWith(start); }));
}

/** Returns an answer that lacks its last bytes. */
std::string halfAnswer(const std::string &id)
{
    const std::string whole = plainResponse(id, "{\"text\":\"half\"}");
    return whole.substr(0, whole.size() - 5);
}

/** Claims in memory, decided at once: the platform's store as a test needs it. */
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

    /** Waits until the run of a claim has ended. */
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

TEST_CASE("requests sent ahead on one connection are answered in order")
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

// A caller sends headers that only the instance may set, to pass for another customer or to
// smuggle its key along. If they went on, a chamber could read another's cached papers.
TEST_CASE("neither key nor internal headers of a caller reach an upstream")
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

// A key is withdrawn while its caller holds a connection open. Checked once per connection, the
// caller could go on for as long as it does not hang up.
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

// Another instance reports a key withdrawn before the settings that say so have arrived here.
TEST_CASE("a key reported withdrawn stops working ahead of the settings")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    ControlPlane &control = running.instance.control();
    control.thread().run([&] { control.publishWithdrawn({KeyHash::of(northKey)}); });
    CHECK(contains(running.ask(completion()), "HTTP/1.1 401 "));
    CHECK(contains(running.ask(request("GET", "/v1/models", southKey)), "200 OK"));
    CHECK(engine.received().empty());
}

TEST_CASE("requests are refused while it is not known which keys are withdrawn")
{
    ScriptedUpstream engine(engineScript);
    RunningInstance running(testSettings({engine.address()}, {}));
    running.instance.context().isStale = true;
    CHECK(contains(running.ask(completion()), "\"code\":\"stale_configuration\""));
    CHECK(contains(running.admin("GET", "/readyz"), "current-keys"));
    CHECK(engine.received().empty());
}

// An engine dies in the middle of a stream. The caller must get the rest from where it stopped,
// each event once, or must be able to tell that the answer is cut.
TEST_CASE("a broken stream is continued by identity and offset")
{
    std::atomic<int> breaks{0};
    ScriptedUpstream engine([&](Connection &connection) {
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const std::string id = request.header("X-Request-Id");
            if (request.startsWith("POST")) {
                connection.socket.send(streamHead(id) + chunk(event(0, "one"))
                                       + chunk("id: 1\ndata: tw"));
                ++breaks;
                return;
            }
            if (request.startsWith("GET /v1/requests/" + id + "?offset=1 ")) {
                // It begins too early, and breaks once more.
                connection.socket.send(streamHead(id) + chunk(event(0, "one") + event(1, "two")));
                ++breaks;
                return;
            }
            connection.socket.send(streamHead(id) + chunk(event(2, "three") + event(3, "[DONE]"))
                                   + chunk(""));
        }
    });
    RunningInstance running(testSettings({engine.address()}, {}));
    const std::string answer = running.ask(completion(streamBody));
    CHECK(unchunked(answer)
          == event(0, "one") + event(1, "two") + event(2, "three") + event(3, "[DONE]"));
    CHECK(breaks == 2);
    CHECK(countOf(engine.received(), "POST") == 1);
}

// The engine does not know the stream any more, sends it with a gap, or stays silent. Half an
// exhibit summary must not look like a whole one.
TEST_CASE("a stream that cannot be continued ends visibly")
{
    enum class Kind { Unknown, Gap, Silent, EndsEarly };
    for (const Kind kind : {Kind::Unknown, Kind::Gap, Kind::Silent, Kind::EndsEarly}) {
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
            connection.read();
        });
        InstanceConfig config = testConfig();
        config.upstreamStallTimeout = Millis(40);
        RunningInstance running(testSettings({engine.address()}, {}), config);
        TestSocket socket = running.connect();
        socket.send(completion(streamBody));
        const std::string answer = socket.readToEnd();
        CHECK(contains(answer, "data: one"));
        CHECK(contains(answer, "data: {\"error\":"));
        CHECK_FALSE(contains(answer, "four"));
        CHECK_FALSE(contains(answer, "[DONE]"));
        CHECK_FALSE(contains(answer, "\r\n0\r\n\r\n"));
        CHECK(running.waitForUsage(1).at(0).outputTokens == 1);
    }
}

// An engine fails in one of many ways before a byte of its answer went on. A completion can be run
// again; the caller should not notice.
TEST_CASE("a completion that failed unseen is run at another engine")
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
        {"half an answer",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(halfAnswer(id));
         }},
        {"another request's answer",
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
        {"silent for good",
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
        ScriptedUpstream one(script);
        ScriptedUpstream other(script);
        InstanceConfig config = testConfig();
        config.firstByteTimeout = Millis(40);
        RunningInstance running(testSettings({one.address(), other.address()}, {}), config);
        const std::string answer = running.ask(completion());
        CAPTURE(answer);
        CHECK(contains(answer, "\"text\":\"whole\""));
        CHECK_FALSE(contains(answer, "secret"));
        CHECK(one.received().size() + other.received().size() >= 1);
    }
}

// Every engine is down. The first attempt may have run, the next ones provably did not. Judged by
// the last attempt alone the caller would be told "not run", which is not true.
TEST_CASE("not-run is said only if no attempt may have run")
{
    ScriptedUpstream breaks([](Connection &connection) { connection.read(); });
    const std::vector<std::string> rows[] = {
        {closedAddress(), closedAddress()},
        {breaks.address(), breaks.address()},
        {breaks.address(), closedAddress(), closedAddress()},
    };
    for (const auto &engines : rows) {
        CAPTURE(engines.size());
        RunningInstance running(testSettings(engines, {}));
        // The order of attempts is random; one with a broken engine in it counts as such.
        const std::size_t before = breaks.received().size();
        const std::string answer = running.ask(completion());
        CAPTURE(answer);
        const bool reached = breaks.received().size() > before;
        CHECK(contains(answer, reached ? "HTTP/1.1 502 " : "HTTP/1.1 503 "));
        CHECK(contains(
            answer, std::string("X-Cuminrail-Verdict: ") + (reached ? "may-have-run" : "not-run")));
    }
}

// The connection to the registry breaks while an invoice is on its way. Sent again it would bill
// the client twice, so it is sent once and its caller is told the truth.
TEST_CASE("a call that may not be repeated is sent once")
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
        {"half an answer",
         [](Connection &connection) {
             const std::string id = connection.read().header("X-Request-Id");
             connection.socket.send(halfAnswer(id));
         },
         "may-have-run"},
        {"another request's answer",
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
        ScriptedUpstream one(row.script);
        ScriptedUpstream other(row.script);
        RunningInstance running(testSettings({}, {one.address(), other.address()}));
        const std::string answer =
            running.ask(request("POST", "/services/lodging/notes", northKey, "{}"));
        CAPTURE(answer);
        CHECK(contains(answer, std::string("X-Cuminrail-Verdict: ") + row.verdict));
        CHECK(one.received().size() + other.received().size() == 1);
    }
}

TEST_CASE("a call that provably did not reach its service is sent to another one")
{
    ScriptedUpstream service(serviceScript);
    RunningInstance running(
        testSettings({}, {closedAddress(), service.address(), closedAddress()}));
    for (int i = 0; i < 6; ++i) {
        const std::string answer =
            running.ask(request("POST", "/services/lodging/notes", northKey, "{}"));
        CHECK(contains(answer, "\"lodged\":true"));
    }
    CHECK(service.received().size() == 6);
}

// A paralegal's client repeats a lodging after a timeout. The first one may have arrived: the
// repeat must get its stored answer, and never a second run.
TEST_CASE("a repeated lodging gets the stored answer")
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

// The caller hangs up while its lodging runs. Cut off there, nobody would know whether the bundle
// was lodged; run to its end, the repeat gets the answer.
TEST_CASE("a lodging whose caller left runs to its known end")
{
    MemoryClaims claims;
    Signal callerLeft;
    ScriptedUpstream service([&](Connection &connection) {
        const std::string id = connection.read().header("X-Request-Id");
        callerLeft.wait();
        connection.socket.send(plainResponse(id, "{\"lodged\":true}"));
        connection.read();
    });
    RunningInstance running(testSettings({}, {service.address()}), testConfig(), claims.hooks());
    TestSocket socket = running.connect();
    socket.send(lodging("k-1"));
    REQUIRE(service.waitForRequests(1));
    socket.close();
    // The hang-up is seen in the metrics before the service answers.
    while (!contains(running.admin("GET", "/metrics"), "cuminrail_callers_left_total 1")) { }
    callerLeft.set();
    const ClaimOutcome outcome = claims.waitForOutcome("claim-1");
    CHECK(outcome.verdict == Verdict::Ran);
    CHECK(outcome.response.body == "{\"lodged\":true}");
    CHECK(contains(running.ask(lodging("k-1")), "X-Idempotent-Replay: true"));
    CHECK(service.received().size() == 1);
}

// A lodging answers after the caller's own deadline. The caller has been told so and has sent its
// next request over the same connection: the late answer must not be taken for that one's.
TEST_CASE("an answer after the deadline does not reach the next request")
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

// A copyist closes the window while a long answer is being written. The engine would go on
// producing tokens for nobody, and the customer's slot would stay taken.
TEST_CASE("an answer that nobody waits for is cancelled at the engine and counted")
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

// A caller asks for a long stream and does not read it. What the engine writes would pile up in
// the instance until it runs out of memory, and take everybody's requests with it.
TEST_CASE("a slow reader makes the engine wait")
{
    std::atomic<std::size_t> written{0};
    constexpr std::size_t enough = 64 * 1024 * 1024;
    Signal stuck;
    ScriptedUpstream engine([&](Connection &connection) {
        const ReceivedRequest request = connection.read();
        const std::string id = request.header("X-Request-Id");
        if (request.startsWith("DELETE"))
            return;
        connection.socket.setTimeout(1);
        connection.socket.send(streamHead(id));
        std::uint64_t number = 0;
        while (written < enough
               && connection.socket.send(chunk(event(number, std::string(16000, 'x'))))) {
            ++number;
            written += 16000;
        }
        stuck.set();
    });
    InstanceConfig config = testConfig();
    config.writeStallTimeout = Millis::seconds(30);
    RunningInstance running(testSettings({engine.address()}, {}), config);
    TestSocket socket = running.connect(4096);
    socket.send(completion(streamBody));
    REQUIRE(stuck.wait());
    CHECK(written < enough);
}

TEST_CASE("a caller that takes no byte for too long is given up")
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
