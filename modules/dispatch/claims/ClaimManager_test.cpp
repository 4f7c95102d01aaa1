#include "dispatch/dispatch.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

using namespace cuminrail;

namespace {

/** One instance with its claims, as in production except for the sockets. */
struct Instance
{
    Instance(FakeNetwork &network, FakeObjectStore &store, const std::string &name,
             Incarnation incarnation)
        : process(std::make_shared<FakeProcess>(name)),
          claims({InstanceId(name), incarnation}, store.port(process), seededRandom(incarnation),
                 ignoreEvents(),
                 [this](const InstanceId &, Incarnation) { return othersHaveEnded; })
    {
        network.scheduler().every(Millis(50), [this, &network] {
            if (process->isRunning(network.scheduler().now()))
                claims.tick(network.scheduler().now());
        });
    }

    FakeProcessPtr process;
    bool othersHaveEnded = false;
    ClaimManager claims;
};

/** Two instances, a store, and a filing service that counts its runs. */
struct ClaimTestBed
{
    FakeScheduler scheduler{7};
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    Instance a{network, store, "a", 1};
    Instance b{network, store, "b", 2};
    int runs = 0;

    ClaimRequest request(const std::string &body = "bundle 12") const
    {
        return {CustomerId("chamber-north"), "key-hash", body,
                scheduler.now() + Millis::seconds(5)};
    }

    /** Sends a call as a caller would; if it may run, it runs and ends with this verdict. */
    std::shared_ptr<std::optional<ClaimResult>> call(Instance &instance,
                                                     std::optional<Verdict> verdict = Verdict::Ran,
                                                     const std::string &body = "bundle 12")
    {
        auto result = std::make_shared<std::optional<ClaimResult>>();
        instance.claims.begin(
            request(body), [this, &instance, result, verdict](const ClaimResult &decided) {
                *result = decided;
                if (decided.decision != ClaimDecision::Run)
                    return;
                if (verdict != Verdict::NotRun)
                    ++runs;
                if (verdict)
                    instance.claims.finish(decided.token,
                                           {*verdict, {201, "text/plain", "lodged", true}});
            });
        return result;
    }

    ClaimDecision callAndWait(Instance &instance, std::optional<Verdict> verdict = Verdict::Ran,
                              const std::string &body = "bundle 12")
    {
        const auto result = call(instance, verdict, body);
        scheduler.runFor(Millis::seconds(10));
        REQUIRE(result->has_value());
        return (*result)->decision;
    }

    /** Loses the next message of this operation on this leg. */
    void loseNext(const std::string &operation, MessageLeg leg)
    {
        network.setHook([operation, leg, done = false](const FakeMessage &message) mutable {
            MessageFate fate;
            fate.lost = !done && message.operation == operation && message.leg == leg;
            done = done || fate.lost;
            return fate;
        });
    }
};

} // namespace

// Guards against a second run when the caller repeats a completed call at another instance.
TEST_CASE("a duplicate at another instance gets the stored response")
{
    ClaimTestBed bed;
    CHECK(bed.callAndWait(bed.a) == ClaimDecision::Run);
    const auto duplicate = bed.call(bed.b);
    bed.scheduler.runFor(Millis::seconds(1));
    REQUIRE(duplicate->has_value());
    CHECK((*duplicate)->decision == ClaimDecision::Replay);
    CHECK((*duplicate)->response.status == 201);
    CHECK((*duplicate)->response.body == "lodged");
    CHECK(bed.runs == 1);
}

// A user submits twice, and the load balancer sends the two calls to different instances at the
// same moment. Without a claim both would file the bundle.
TEST_CASE("two instances that receive the call at the same moment run it once")
{
    ClaimTestBed bed;
    const auto first = bed.call(bed.a);
    const auto second = bed.call(bed.b);
    bed.scheduler.runFor(Millis::seconds(10));
    CHECK(bed.runs == 1);
    CHECK(first->has_value());
    CHECK(second->has_value());

    ClaimTestBed unguarded;
    const DisabledGuard off(Guard::ClaimBeforeDispatch);
    unguarded.call(unguarded.a);
    unguarded.call(unguarded.b);
    unguarded.scheduler.runFor(Millis::seconds(10));
    CHECK(unguarded.runs == 2);
}

// The store stored the claim and its reply was lost. An instance that then finds a claim and does
// not recognise it as its own would answer "in progress" for ever, for a filing that was never
// sent.
TEST_CASE("a claim whose reply was lost is recognised and runs once")
{
    ClaimTestBed bed;
    bed.loseNext("put", MessageLeg::Reply);
    CHECK(bed.callAndWait(bed.a) == ClaimDecision::Run);
    CHECK(bed.runs == 1);
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::Replay);
    CHECK(bed.runs == 1);
}

// Guards against a second run after one that may have run, and against a refusal after one that did
// not run.
TEST_CASE("the outcome of the first run determines the decision for a duplicate")
{
    struct Row
    {
        std::optional<Verdict> verdict;
        ClaimDecision expected;
        int runs;
    };
    const std::vector<Row> rows = {
        {Verdict::Ran, ClaimDecision::Replay, 1},
        {Verdict::MayHaveRun, ClaimDecision::MayHaveRun, 1},
        {Verdict::NotRun, ClaimDecision::Run, 1},
        {std::nullopt, ClaimDecision::InProgress, 1},
    };
    for (const Row &row : rows) {
        INFO(claimDecisionNames.name(row.expected));
        ClaimTestBed bed;
        CHECK(bed.callAndWait(bed.a, row.verdict) == ClaimDecision::Run);
        CHECK(bed.callAndWait(bed.b) == row.expected);
        CHECK(bed.runs == row.runs);
    }
}

// A caller uses yesterday's key for today's bundle. Yesterday's response would tell it that a
// bundle was filed which was not.
TEST_CASE("a key that is used for another request is refused")
{
    ClaimTestBed bed;
    CHECK(bed.callAndWait(bed.a, Verdict::Ran, "bundle 12") == ClaimDecision::Run);
    CHECK(bed.callAndWait(bed.b, Verdict::Ran, "bundle 13") == ClaimDecision::KeyReused);
    CHECK(bed.runs == 1);
}

// The instance that claimed the call dies. The caller repeats it at another one and must neither
// file it a second time nor wait for ever for a run that no longer exists.
TEST_CASE("a claim of a dead instance ends in may-have-run")
{
    ClaimTestBed bed;
    CHECK(bed.callAndWait(bed.a, std::nullopt) == ClaimDecision::Run);
    bed.a.process->kill();
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::InProgress);

    SUBCASE("as soon as it is known to have ended")
    {
        bed.b.othersHaveEnded = true;
        CHECK(bed.callAndWait(bed.b) == ClaimDecision::MayHaveRun);
    }
    SUBCASE("after the time-out, when its state is unknown")
    {
        bed.scheduler.runFor(Millis::minutes(2));
        CHECK(bed.callAndWait(bed.b) == ClaimDecision::MayHaveRun);
    }
    CHECK(bed.runs == 1);
}

// The store goes down minutes before a filing deadline. A filing without a claim could run twice,
// so it is refused, at the deadline of the call at the latest, and must indeed not run.
TEST_CASE("while the store is down a filing is refused and does not run")
{
    ClaimTestBed bed;
    bed.network.setDown("store", true);
    CHECK(bed.callAndWait(bed.a) == ClaimDecision::Unavailable);
    CHECK(bed.runs == 0);
    CHECK(bed.a.claims.waitingDecisions() == 0);

    bed.network.setDown("store", false);
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::Run);
    CHECK(bed.runs == 1);
}

// The store stores the claim, and then neither the reply nor any read arrives until the caller has
// been told "not run". A remaining claim would contradict that for the next duplicate.
TEST_CASE("a claim whose call was refused is settled as not run")
{
    ClaimTestBed bed;
    bed.network.setHook([&bed](const FakeMessage &message) {
        MessageFate fate;
        const bool isBlackout = bed.scheduler.now() < Millis::seconds(20);
        const bool isReply = message.leg == MessageLeg::Reply;
        fate.lost = isBlackout && (isReply || message.operation != "put");
        return fate;
    });
    CHECK(bed.callAndWait(bed.a) == ClaimDecision::Unavailable);
    CHECK(bed.runs == 0);
    REQUIRE_FALSE(bed.store.value("claims/chamber-north/key-hash").empty());

    bed.scheduler.runFor(Millis::seconds(30));
    CHECK(bed.a.claims.pendingWrites() == 0);
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::Run);
    CHECK(bed.runs == 1);
}

// The store goes down between a filing and the write of its response. The caller has its response;
// a duplicate during the outage must not run, and one after it must get the same response.
TEST_CASE("a response that could not be stored is written when the store is available again")
{
    ClaimTestBed bed;
    const auto first = bed.call(bed.a, std::nullopt);
    bed.scheduler.runFor(Millis(100));
    REQUIRE((*first)->decision == ClaimDecision::Run);
    bed.network.setDown("store", true);
    bed.a.claims.finish((*first)->token, {Verdict::Ran, {201, "text/plain", "lodged", true}});
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::Unavailable);
    CHECK(bed.a.claims.pendingWrites() == 1);

    bed.network.setDown("store", false);
    bed.scheduler.runFor(Millis::seconds(5));
    CHECK(bed.a.claims.pendingWrites() == 0);
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::Replay);
    CHECK(bed.runs == 1);
}

// A response larger than the store accepts cannot be stored. The duplicate must learn that the call
// ran, or its caller would send it again under another key.
TEST_CASE("a call whose response is too large to store still counts as run")
{
    ClaimTestBed bed;
    const auto first = bed.call(bed.a, std::nullopt);
    bed.scheduler.runFor(Millis(100));
    const std::string body(maxStoredBodyBytes + 1, 'x');
    bed.a.claims.finish((*first)->token, {Verdict::Ran, {200, "text/plain", body, true}});
    bed.scheduler.runFor(Millis(100));
    CHECK(bed.callAndWait(bed.b) == ClaimDecision::RanUnstored);
    CHECK(bed.runs == 1);
}

// Whichever message of the claim is lost, on either leg, and however often the call is repeated: it
// runs at most once.
TEST_CASE("a call runs at most once whichever message is lost")
{
    for (const char *operation : {"put", "get"}) {
        for (const MessageLeg leg : {MessageLeg::Request, MessageLeg::Reply}) {
            for (int skipped = 0; skipped < 4; ++skipped) {
                CAPTURE(operation);
                CAPTURE(messageLegNames.name(leg));
                CAPTURE(skipped);
                ClaimTestBed bed;
                bed.network.setHook([=, seen = 0](const FakeMessage &message) mutable {
                    MessageFate fate;
                    if (message.operation == operation && message.leg == leg)
                        fate.lost = seen++ == skipped;
                    return fate;
                });
                bed.call(bed.a);
                bed.call(bed.b);
                bed.scheduler.runFor(Millis::seconds(10));
                CHECK(bed.runs == 1);
                CHECK(bed.callAndWait(bed.a) == ClaimDecision::Replay);
                CHECK(bed.callAndWait(bed.b) == ClaimDecision::Replay);
                CHECK(bed.runs == 1);
            }
        }
    }
}

// Guards against a replayed response whose body was altered because it is not valid UTF-8.
TEST_CASE("claim records preserve every byte")
{
    std::string everyByte;
    for (int byte = 0; byte < 256; ++byte)
        everyByte.push_back(static_cast<char>(byte));
    ClaimRecord record;
    record.state = ClaimState::Done;
    record.token = "a-1-2";
    record.instance = InstanceId("a");
    record.incarnation = 1;
    record.requestSha256 = "00ff";
    record.response = {200, "application/octet-stream", everyByte, true};
    Reason reason;
    const auto read = ClaimRecord::fromText(record.toText(), &reason);
    REQUIRE(read.has_value());
    CHECK(read->response.body == everyByte);
    CHECK(read->token == record.token);
    CHECK(read->state == ClaimState::Done);
}

// Guards against a status line that an instance of another build has let through and stored.
TEST_CASE("a stored response has a final status of HTTP")
{
    ClaimRecord record;
    record.state = ClaimState::Done;
    for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U, 4294967295U}) {
        CAPTURE(status);
        record.response = {status, "text/plain", "body", true};
        Reason reason;
        CHECK_FALSE(ClaimRecord::fromText(record.toText(), &reason).has_value());
        CHECK(reason.where == "/answer/status");
    }
    for (const unsigned status : {200U, 404U, 599U}) {
        record.response.status = status;
        CHECK(ClaimRecord::fromText(record.toText(), nullptr).has_value());
    }
}

// An operator or another program has written to the claims. To assume that the call never ran would
// risk a second filing.
TEST_CASE("a call with an unreadable claim is not run")
{
    for (const char *text : {"", "{", "[]", "{}", R"({"state":"odd"})", R"({"state":"done"})"}) {
        INFO(text);
        CHECK_FALSE(ClaimRecord::fromText(text, nullptr).has_value());
        ClaimTestBed bed;
        bed.store.write("claims/chamber-north/key-hash", text);
        CHECK(bed.callAndWait(bed.a) == ClaimDecision::MayHaveRun);
        CHECK(bed.runs == 0);
    }
}
