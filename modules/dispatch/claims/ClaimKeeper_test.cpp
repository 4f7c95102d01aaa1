#include "dispatch/dispatch.h"

#include "core/guards/Guards.h"
#include "ports/testing/testing.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

using namespace cuminrail;

namespace {

/** One instance with its claims, as in a real one but for its sockets. */
struct Instance
{
    Instance(FakeNetwork &network, FakeObjectStore &store, const std::string &name,
             Incarnation incarnation)
        : process(std::make_shared<FakeProcess>(name)),
          claims({InstanceId(name), incarnation}, store.port(process), seededRandom(incarnation),
                 ignoreEvents(), [this](const InstanceId &, Incarnation) { return othersAreGone; })
    {
        network.scheduler().every(Millis(50), [this, &network] {
            if (process->isRunning(network.scheduler().now()))
                claims.tick(network.scheduler().now());
        });
    }

    FakeProcessPtr process;
    bool othersAreGone = false;
    ClaimKeeper claims;
};

/** Two instances, a store, and a lodging service that counts its runs. */
struct World
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

    /** Loses the next message of this kind, on this leg. */
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

TEST_CASE("a repeat at another instance gets the stored answer")
{
    World world;
    CHECK(world.callAndWait(world.a) == ClaimDecision::Run);
    const auto repeat = world.call(world.b);
    world.scheduler.runFor(Millis::seconds(1));
    REQUIRE(repeat->has_value());
    CHECK((*repeat)->decision == ClaimDecision::Replay);
    CHECK((*repeat)->answer.status == 201);
    CHECK((*repeat)->answer.body == "lodged");
    CHECK(world.runs == 1);
}

// A paralegal presses the button twice and the balancer sends the two to different instances at
// the same moment. Without a claim both would lodge the bundle.
TEST_CASE("two instances asked at the same moment run the call once")
{
    World world;
    const auto first = world.call(world.a);
    const auto second = world.call(world.b);
    world.scheduler.runFor(Millis::seconds(10));
    CHECK(world.runs == 1);
    CHECK(first->has_value());
    CHECK(second->has_value());

    World unguarded;
    const DisabledGuard off(Guard::ClaimBeforeDispatch);
    unguarded.call(unguarded.a);
    unguarded.call(unguarded.b);
    unguarded.scheduler.runFor(Millis::seconds(10));
    CHECK(unguarded.runs == 2);
}

// The store took the claim and its answer was lost. An instance that then finds a claim and does
// not know it for its own would tell the caller "in progress" for ever, of a lodging that nobody
// sent.
TEST_CASE("a claim whose answer was lost is known again and runs once")
{
    World world;
    world.loseNext("put", MessageLeg::Reply);
    CHECK(world.callAndWait(world.a) == ClaimDecision::Run);
    CHECK(world.runs == 1);
    CHECK(world.callAndWait(world.b) == ClaimDecision::Replay);
    CHECK(world.runs == 1);
}

TEST_CASE("how the first run ended decides what a repeat hears")
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
        World world;
        CHECK(world.callAndWait(world.a, row.verdict) == ClaimDecision::Run);
        CHECK(world.callAndWait(world.b) == row.expected);
        CHECK(world.runs == row.runs);
    }
}

// A caller uses yesterday's key for today's bundle. Yesterday's answer would tell it that a bundle
// is lodged which is not.
TEST_CASE("a key that comes with another request is refused")
{
    World world;
    CHECK(world.callAndWait(world.a, Verdict::Ran, "bundle 12") == ClaimDecision::Run);
    CHECK(world.callAndWait(world.b, Verdict::Ran, "bundle 13") == ClaimDecision::KeyReused);
    CHECK(world.runs == 1);
}

// The instance that claimed the call dies. The caller repeats it elsewhere and must neither lodge
// it a second time nor wait for ever for a run that is no more.
TEST_CASE("a claim of a dead instance ends in may-have-run")
{
    World world;
    CHECK(world.callAndWait(world.a, std::nullopt) == ClaimDecision::Run);
    world.a.process->kill();
    CHECK(world.callAndWait(world.b) == ClaimDecision::InProgress);

    SUBCASE("as soon as its death is known")
    {
        world.b.othersAreGone = true;
        CHECK(world.callAndWait(world.b) == ClaimDecision::MayHaveRun);
    }
    SUBCASE("after a while, when nothing is known of it")
    {
        world.scheduler.runFor(Millis::minutes(2));
        CHECK(world.callAndWait(world.b) == ClaimDecision::MayHaveRun);
    }
    CHECK(world.runs == 1);
}

// The store is out minutes before the filing cut-off. A lodging without a claim could run twice,
// so it is refused, at the caller's deadline at the latest, and the refusal must be true.
TEST_CASE("while the store is out a lodging is refused and does not run")
{
    World world;
    world.network.setDown("store", true);
    CHECK(world.callAndWait(world.a) == ClaimDecision::Unavailable);
    CHECK(world.runs == 0);
    CHECK(world.a.claims.waitingDecisions() == 0);

    world.network.setDown("store", false);
    CHECK(world.callAndWait(world.b) == ClaimDecision::Run);
    CHECK(world.runs == 1);
}

// The store takes the claim, and then neither the answer nor any read comes through until the
// caller has been told "not run". A claim left standing would make that a lie at the next repeat.
TEST_CASE("a claim that was refused to its caller is settled as not run")
{
    World world;
    world.network.setHook([&world](const FakeMessage &message) {
        MessageFate fate;
        const bool isBlackout = world.scheduler.now() < Millis::seconds(20);
        const bool isAnswer = message.leg == MessageLeg::Reply;
        fate.lost = isBlackout && (isAnswer || message.operation != "put");
        return fate;
    });
    CHECK(world.callAndWait(world.a) == ClaimDecision::Unavailable);
    CHECK(world.runs == 0);
    REQUIRE_FALSE(world.store.value("claims/chamber-north/key-hash").empty());

    world.scheduler.runFor(Millis::seconds(30));
    CHECK(world.a.claims.pendingWrites() == 0);
    CHECK(world.callAndWait(world.b) == ClaimDecision::Run);
    CHECK(world.runs == 1);
}

// The store goes out between a lodging and the record of its answer. The caller has its answer; a
// repeat during the outage must not run, and after it must get the same answer.
TEST_CASE("an answer that the store could not take is written when it is back")
{
    World world;
    const auto first = world.call(world.a, std::nullopt);
    world.scheduler.runFor(Millis(100));
    REQUIRE((*first)->decision == ClaimDecision::Run);
    world.network.setDown("store", true);
    world.a.claims.finish((*first)->token, {Verdict::Ran, {201, "text/plain", "lodged", true}});
    CHECK(world.callAndWait(world.b) == ClaimDecision::Unavailable);
    CHECK(world.a.claims.pendingWrites() == 1);

    world.network.setDown("store", false);
    world.scheduler.runFor(Millis::seconds(5));
    CHECK(world.a.claims.pendingWrites() == 0);
    CHECK(world.callAndWait(world.b) == ClaimDecision::Replay);
    CHECK(world.runs == 1);
}

// An answer larger than the store takes cannot be kept. The repeat must learn that the call ran,
// or its caller would send it again under another key.
TEST_CASE("an answer too large to store still counts as run")
{
    World world;
    const auto first = world.call(world.a, std::nullopt);
    world.scheduler.runFor(Millis(100));
    const std::string body(maxStoredBody + 1, 'x');
    world.a.claims.finish((*first)->token, {Verdict::Ran, {200, "text/plain", body, true}});
    world.scheduler.runFor(Millis(100));
    CHECK(world.callAndWait(world.b) == ClaimDecision::RanUnstored);
    CHECK(world.runs == 1);
}

// Whatever message of the claim is lost, on whichever leg, and whoever repeats the call how
// often: it runs at most once.
TEST_CASE("any lost message leaves a call that runs at most once")
{
    for (const char *operation : {"put", "get"}) {
        for (const MessageLeg leg : {MessageLeg::Request, MessageLeg::Reply}) {
            for (int skipped = 0; skipped < 4; ++skipped) {
                CAPTURE(operation);
                CAPTURE(messageLegNames.name(leg));
                CAPTURE(skipped);
                World world;
                world.network.setHook([=, seen = 0](const FakeMessage &message) mutable {
                    MessageFate fate;
                    if (message.operation == operation && message.leg == leg)
                        fate.lost = seen++ == skipped;
                    return fate;
                });
                world.call(world.a);
                world.call(world.b);
                world.scheduler.runFor(Millis::seconds(10));
                CHECK(world.runs == 1);
                CHECK(world.callAndWait(world.a) == ClaimDecision::Replay);
                CHECK(world.callAndWait(world.b) == ClaimDecision::Replay);
                CHECK(world.runs == 1);
            }
        }
    }
}

TEST_CASE("claim records read back byte for byte")
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
    record.answer = {200, "application/octet-stream", everyByte, true};
    Reason reason;
    const auto read = ClaimRecord::fromText(record.toText(), &reason);
    REQUIRE(read.has_value());
    CHECK(read->answer.body == everyByte);
    CHECK(read->token == record.token);
    CHECK(read->state == ClaimState::Done);
}

// Somebody's hand or another program has written into the claims. Guessing "never ran" would risk
// a second lodging.
TEST_CASE("a claim that cannot be read is not run")
{
    for (const char *text : {"", "{", "[]", "{}", R"({"state":"odd"})", R"({"state":"done"})"}) {
        INFO(text);
        CHECK_FALSE(ClaimRecord::fromText(text, nullptr).has_value());
        World world;
        world.store.write("claims/chamber-north/key-hash", text);
        CHECK(world.callAndWait(world.a) == ClaimDecision::MayHaveRun);
        CHECK(world.runs == 0);
    }
}
