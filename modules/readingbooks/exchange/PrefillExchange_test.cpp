#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "readingbooks/exchange/PrefillExchange.h"

#include <deque>
#include <memory>
#include <set>

using namespace cuminrail;

namespace {

constexpr PrefillRate rate{50, 100};
constexpr double allTokens = 1e9;
constexpr EngineKey engines[] = {11, 22, 33, 44, 55, 66};

PromptChain chainOf(std::uint64_t shared, std::uint64_t own)
{
    PromptChain chain;
    chain.links = {{shared, 10000}, {own, 2000}};
    chain.tokens = 12000;
    return chain;
}

/** Simulated instances in virtual time whose messages a test can drop, duplicate or delay. */
class Network
{
public:
    explicit Network(int count)
    {
        for (int i = 0; i < count; ++i)
            start(i);
        for (int i = 0; i < count; ++i)
            setPeersOf(i, count);
    }

    /** Starts an instance, or restarts it without its state. */
    void start(int i)
    {
        PeerTransport transport;
        transport.send = [this, i](const PeerAddress &to, const std::string &frame) {
            if (const auto message = decodePrefillMessage(frame)) {
                if (const auto *query = std::get_if<PrefillQuery>(&*message))
                    lastQuery = *query;
            }
            if (dead.count(name(i)) > 0 || dead.count(to) > 0 || (random_() % 100) < lossPercent)
                return;
            const int copies = (random_() % 100) < duplicatePercent ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                frames_.push_back({name(i), to, frame});
        };
        instances[name(i)] =
            std::make_unique<PrefillExchange>(name(i), transport, Clock([this] { return now; }));
    }

    void setPeersOf(int self, int count)
    {
        std::vector<OwnerCandidate> peers{{InstanceId(name(self)), {}}};
        for (int i = 0; i < count; ++i) {
            if (i != self)
                peers.push_back({InstanceId(name(i)), name(i)});
        }
        instances[name(self)]->setPeers(peers);
    }

    /** Delivers all frames in transit, then advances the time. */
    void advance(Millis span)
    {
        while (!frames_.empty()) {
            const Frame frame = frames_.front();
            frames_.pop_front();
            if (dead.count(frame.to) == 0)
                instances[frame.to]->handleFrame(frame.from, frame.bytes);
        }
        now = now + span;
        for (auto &[name, instance] : instances) {
            if (dead.count(name) == 0)
                instance->tick();
        }
    }

    /** Queries all engines; returns the estimates that the querying instance got in time. */
    PrefillExchange::Estimates ask(int i, const PromptChain &chain)
    {
        PrefillExchange::Estimates received;
        int completions = 0;
        instances[name(i)]->query(chain, {std::begin(engines), std::end(engines)},
                                  [&](const PrefillExchange::Estimates &estimates) {
                                      received = estimates;
                                      ++completions;
                                  });
        for (int step = 0; step < 10; ++step)
            advance(Millis(5));
        CHECK(completions == 1);
        return received;
    }

    PrefillExchange &at(int i) { return *instances[name(i)]; }
    static std::string name(int i) { return "10.0.0." + std::to_string(i + 1) + ":7000"; }

    Millis now = Millis(100000);
    /** The last query that any instance sent. */
    PrefillQuery lastQuery;
    std::set<std::string> dead;
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    std::map<std::string, std::unique_ptr<PrefillExchange>> instances;

private:
    struct Frame
    {
        std::string from;
        std::string to;
        std::string bytes;
    };

    std::deque<Frame> frames_;
    RandomHook random_ = seededRandom(5);
};

} // namespace

// Guards against placements that ignore what other instances sent.
TEST_CASE("what one instance sends to an engine is known to all instances")
{
    Network network(5);
    auto entry = network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    network.advance(Millis(1));
    for (int i = 0; i < 5; ++i) {
        CAPTURE(i);
        const auto estimates = network.ask(i, chainOf(1, 9));
        REQUIRE(estimates.size() == std::size(engines));
        CHECK(estimates.at(33).freshTokens == doctest::Approx(2000));
        CHECK(estimates.at(22).freshTokens == doctest::Approx(12000));
    }
    network.at(0).completePrefill(entry);
    CHECK_FALSE(entry.isSet());
}

// Guards against two instances that track the same engine, and against one that tracks all of them.
TEST_CASE("trackers are spread over all instances, and each engine has one owner")
{
    Network network(8);
    std::set<PeerAddress> owners;
    for (std::uint64_t engine = 1; engine <= 100; ++engine) {
        auto entry = network.at(0).announcePrefill(chainOf(1, 2), engine, allTokens, rate);
        auto same = network.at(1).announcePrefill(chainOf(3, 4), engine, allTokens, rate);
        const PeerAddress one = entry.owner.empty() ? Network::name(0) : entry.owner;
        const PeerAddress other = same.owner.empty() ? Network::name(1) : same.owner;
        CHECK(one == other);
        owners.insert(one);
    }
    CHECK(owners.size() == 8);
}

// Guards against an owner that dies but stays registered for a minute: all that time each placement
// would wait for it, or go without an estimate.
TEST_CASE("an owner that does not reply is excluded, and another one takes over its engines")
{
    Network network(4);
    const auto entry = network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    const PeerAddress owner = entry.owner.empty() ? Network::name(0) : entry.owner;
    const int querier = owner == Network::name(1) ? 2 : 1;
    network.dead.insert(owner);
    network.ask(querier, chainOf(5, 6));
    network.ask(querier, chainOf(5, 6));
    const std::uint64_t unanswered = network.at(querier).stats().unanswered;
    CHECK(unanswered >= 2);
    const auto estimates = network.ask(querier, chainOf(5, 6));
    CHECK(estimates.size() == std::size(engines));
    CHECK(network.at(querier).stats().unanswered == unanswered);
    auto next = network.at(querier).announcePrefill(chainOf(5, 6), 33, allTokens, rate);
    CHECK(next.owner != owner);
    // Once it replies again, it owns its engines again.
    network.dead.clear();
    network.advance(OwnerRanking::exclusionPeriod);
    CHECK(network.ask(querier, chainOf(5, 6)).size() == std::size(engines));
    CHECK(network.at(querier).announcePrefill(chainOf(7, 8), 33, allTokens, rate).owner == owner);
}

// Guards against messages for entries from before a restart that corrupt the new state.
TEST_CASE("a restarted instance starts its trackers empty")
{
    Network network(3);
    auto entry = network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    const PeerAddress owner = entry.owner.empty() ? Network::name(0) : entry.owner;
    network.advance(Millis(1));
    for (int i = 0; i < 3; ++i) {
        if (Network::name(i) == owner) {
            network.start(i);
            network.setPeersOf(i, 3);
        }
    }
    const auto estimates = network.ask(1, chainOf(1, 9));
    REQUIRE(estimates.count(33) == 1);
    CHECK(estimates.at(33).waitMillis == doctest::Approx(0));
    CHECK_FALSE(estimates.at(33).knowsParts);
    // The end of an entry that the new incarnation never had changes nothing.
    network.at(0).completePrefill(entry);
    network.advance(Millis(1));
    CHECK(network.ask(1, chainOf(1, 9)).at(33).waitMillis == doctest::Approx(0));
}

// Guards against trackers that report a new engine's empty cache as unknown, and against trackers
// taken over later that report a cache as empty although the engine was used before.
TEST_CASE("a tracker is complete only if the engine was unused when it began")
{
    Network network(3);
    const Millis start = network.now;
    network.advance(Millis(1000));
    std::vector<Millis> queriedAt;
    for (int i = 0; i < 3; ++i) {
        network.at(i).wasUnusedAt = [&queriedAt](EngineKey engine, Millis at) {
            queriedAt.push_back(at);
            return engine != 22;
        };
    }
    const auto before = network.ask(0, chainOf(1, 2));
    for (const EngineKey engine : engines)
        CHECK(before.at(engine).isComplete == (engine != 22));
    // The instances have not changed since the start.
    CHECK(std::all_of(queriedAt.begin(), queriedAt.end(),
                      [start](Millis at) { return at == start; }));
    // One owner is dead: the instance that takes over its engines lacks what was announced to it.
    auto entry = network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    const PeerAddress owner = entry.owner.empty() ? Network::name(0) : entry.owner;
    const int querier = owner == Network::name(1) ? 2 : 1;
    network.dead.insert(owner);
    for (int i = 0; i < 3; ++i)
        network.ask(querier, chainOf(3, 4));
    CHECK_FALSE(network.ask(querier, chainOf(5, 6)).at(33).isComplete);
}

// Guards against estimates with cached parts that a restarted engine has lost.
TEST_CASE("a restarted engine holds none of the parts announced before")
{
    Network network(1);
    network.at(0).wasUnusedAt = [](EngineKey, Millis) { return true; };
    auto entry = network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    network.at(0).completePrefill(entry);
    CHECK(network.ask(0, chainOf(1, 9)).at(33).freshTokens == doctest::Approx(2000));
    network.at(0).removeEngine(33);
    CHECK(network.ask(0, chainOf(1, 9)).at(33).freshTokens == doctest::Approx(12000));
}

// Guards against queries that never end or end twice, and against entries that count for longer
// than a prefill can last, when links drop and duplicate messages.
TEST_CASE("under loss and duplication every query ends once and entries expire")
{
    Network network(6);
    network.lossPercent = 30;
    network.duplicatePercent = 20;
    const RandomHook random = seededRandom(9);
    std::vector<PrefillExchange::Entry> open;
    for (int round = 0; round < 300; ++round) {
        const int instance = static_cast<int>(random() % 6);
        network.ask(instance, chainOf(random() % 5, random()));
        open.push_back(network.at(instance).announcePrefill(
            chainOf(random() % 5, random()), engines[random() % 6], allTokens, rate));
        if (random() % 2 == 0)
            network.at(instance).completePrefill(open.back());
    }
    network.lossPercent = 0;
    network.duplicatePercent = 0;
    network.advance(PrefillTracker::maxPrefillDuration + Millis(1));
    network.advance(OwnerRanking::exclusionPeriod);
    const auto estimates = network.ask(0, chainOf(1, 2));
    CHECK(estimates.size() == std::size(engines));
    for (const auto &[engine, estimate] : estimates)
        CHECK(estimate.waitMillis == doctest::Approx(0));
}

// Guards against replies that complete a query with estimates of another one, or complete it twice.
TEST_CASE("unexpected, late or wrongly sized replies are ignored")
{
    Network network(2);
    int completions = 0;
    const std::string other = Network::name(1);
    network.dead.insert(other);
    network.at(0).query(chainOf(1, 2), {std::begin(engines), std::end(engines)},
                        [&](const PrefillExchange::Estimates &) { ++completions; });
    const std::uint64_t number = network.lastQuery.number;
    const std::vector<PrefillEstimate> estimates(network.lastQuery.engines.size(), {1, 1, 0, true});
    REQUIRE_FALSE(estimates.empty());
    const auto reply = [&](std::uint64_t to, const std::vector<PrefillEstimate> &given) {
        return encodePrefillMessage(PrefillReply{to, given});
    };
    CHECK(network.at(0).handleFrame(other, reply(number, {})));
    CHECK(network.at(0).handleFrame("10.9.9.9:1", reply(number, estimates)));
    CHECK(network.at(0).handleFrame(other, reply(number + 76, estimates)));
    CHECK(completions == 0);
    network.advance(PrefillExchange::replyTimeout);
    CHECK(completions == 1);
    CHECK(network.at(0).handleFrame(other, reply(number, estimates)));
    CHECK(completions == 1);
    CHECK_FALSE(network.at(0).handleFrame(other, "nonsense"));
    CHECK(network.at(0).stats().framesRefused == 1);
}

// Guards against estimates for the process that ran at this address before.
TEST_CASE("a reply to a query of an earlier start is not that to a later one")
{
    Network network(2);
    const std::string other = Network::name(1);
    network.dead.insert(other);
    int completions = 0;
    const auto query = [&] {
        network.at(0).query(chainOf(1, 2), {std::begin(engines), std::end(engines)},
                            [&](const PrefillExchange::Estimates &) { ++completions; });
        return network.lastQuery;
    };
    const PrefillQuery first = query();
    network.advance(Millis(5));
    network.start(0);
    network.setPeersOf(0, 2);
    query();
    const PrefillReply reply{first.number,
                             std::vector<PrefillEstimate>(first.engines.size(), {1, 1, 0, true})};
    CHECK(network.at(0).handleFrame(other, encodePrefillMessage(reply)));
    CHECK(completions == 0);
}

// Guards against trackers of lost engines that pile up in memory.
TEST_CASE("idle trackers are dropped")
{
    Network network(1);
    network.at(0).announcePrefill(chainOf(1, 2), 33, allTokens, rate);
    CHECK(network.at(0).trackerCount() == 1);
    network.advance(PrefillExchange::trackerIdleTimeout + Millis(1));
    network.advance(Millis(1));
    CHECK(network.at(0).trackerCount() == 0);
}
