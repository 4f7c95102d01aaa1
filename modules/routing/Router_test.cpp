#include "routing/routing.h"

#include "core/core.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace cuminrail;

namespace {

constexpr Millis start = Millis::seconds(1000);

/** A fleet with engines in three failure domains, one model, and two customers of one team. */
struct Fleet
{
    explicit Fleet(int engines)
    {
        settings.fleet.domains = {{FailureDomainId("a"), RegionId("r"), 1},
                                  {FailureDomainId("b"), RegionId("r"), 1},
                                  {FailureDomainId("c"), RegionId("r"), 1}};
        ModelSettings model;
        model.id = ModelId("m");
        model.version = "1";
        settings.fleet.models = {model};
        for (int i = 0; i < engines; ++i) {
            EngineSettings engine;
            engine.id = UpstreamId("e" + std::to_string(i));
            engine.address = "10.0.0." + std::to_string(i) + ":8000";
            engine.domain = settings.fleet.domains[static_cast<std::size_t>(i) % 3].id;
            engine.models = {model.id};
            settings.fleet.engines.push_back(engine);
        }
        TeamSettings team;
        team.id = TeamId("t");
        team.reclaimableShare = 0.5;
        for (const char *name : {"one", "two"}) {
            CustomerSettings customer;
            customer.id = CustomerId(name);
            customer.team = team.id;
            team.customers.push_back(customer);
        }
        settings.teams = {team};
        build();
    }

    void build() { table = buildRoutingTable(settings, fleetState, indexes); }

    RoutingRequest request(std::uint32_t promptTokens = 400)
    {
        RoutingRequest result;
        result.pool = *table.findModel("m");
        result.customer = *table.findCustomer(CustomerId("one"));
        result.domain = 0;
        result.promptTokens = promptTokens;
        result.expectedOutputTokens = 100;
        return result;
    }

    RoutingChoice choose(const RoutingRequest &request, Millis now = start)
    {
        auto choice = router.choose(request, table, now, random);
        REQUIRE(choice.has_value());
        return *choice;
    }

    std::map<UpstreamIndex, int> dispatch(const RoutingRequest &request, int count,
                                          Millis now = start)
    {
        std::map<UpstreamIndex, int> chosen;
        for (int i = 0; i < count; ++i) {
            const RoutingChoice choice = choose(request, now);
            ++chosen[choice.upstream];
            router.started(request, choice, table, now);
        }
        return chosen;
    }

    Settings settings;
    FleetState fleetState;
    StableIndexes indexes;
    RoutingTable table;
    LiveLoads loads{64, 8};
    PrefixHints hints{1024};
    Router router{loads, hints};
    RandomHook random = seededRandom(7);
};

std::string textOf(std::size_t bytes, char letter)
{
    return std::string(bytes, letter);
}

} // namespace

TEST_CASE("own requests in progress spread the load while reports do not change")
{
    // The engines' reports are a second old, and one engine was idle then. Routing by the reports
    // alone would send every request there, with late first tokens while other engines idle.
    Fleet fleet(9);
    for (UpstreamIndex i = 0; i < 9; ++i)
        fleet.loads.applyReport(i, {i == 4 ? 0U : 8U, 0, 0}, Millis(1000), start);
    const auto chosen = fleet.dispatch(fleet.request(), 90);
    CHECK(chosen.size() == 9);
    for (const auto &[upstream, count] : chosen)
        CHECK(count < 25);
}

TEST_CASE("instances with the same old report do not all choose the same engine")
{
    // Six instances read the same old report. By taking the plain minimum, all of them would send
    // their next requests to the one engine that was idle.
    std::map<UpstreamIndex, int> chosen;
    for (std::uint64_t instance = 0; instance < 6; ++instance) {
        Fleet fleet(20);
        fleet.random = seededRandom(100 + instance);
        for (UpstreamIndex i = 0; i < 20; ++i)
            fleet.loads.applyReport(i, {i == 3 ? 0U : 4U, 0, 0}, Millis(800), start);
        for (const auto &[upstream, count] : fleet.dispatch(fleet.request(), 20))
            chosen[upstream] += count;
    }
    CHECK(chosen[3] < 30);
    CHECK(chosen.size() >= 15);
}

TEST_CASE("a prompt goes to the engine that has its prefix, unless that engine is overloaded")
{
    // Routing by prefix alone would overload the engine that holds a popular prefix.
    Fleet fleet(9);
    const std::string prompt = textOf(8000, 'p');
    const PrefixChain chain =
        prefixChain(fleet.table.cacheSeedOf(*fleet.table.findCustomer(CustomerId("one"))), prompt);
    RoutingRequest request = fleet.request(2000);
    request.prefixes = &chain;
    const RoutingChoice first = fleet.choose(request);
    RoutingTicket ticket = fleet.router.started(request, first, fleet.table, start);
    fleet.router.firstToken(ticket, start + Millis(250));
    fleet.router.finished(ticket, UpstreamOutcome::Success, start + Millis(900));

    const RoutingChoice second = fleet.choose(request, start + Millis::seconds(1));
    CHECK(second.upstream == first.upstream);
    CHECK(second.reason == RoutingReason::PrefixHeld);
    CHECK(second.cachedTokens > 1500);

    fleet.loads.upstream(first.upstream).requests += 30;
    CHECK(fleet.choose(request, start + Millis::seconds(1)).upstream != first.upstream);
}

TEST_CASE("equal prompts of two customers have no prefix hash in common")
{
    // Two competing customers send the same public text. If the second one got a fast first token
    // from the first one's cache entry, it would learn what its competitor works on.
    Fleet fleet(3);
    const std::string prompt = textOf(4096, 'x');
    const PrefixChain one = prefixChain(nameHash("one"), prompt);
    const PrefixChain two = prefixChain(nameHash("two"), prompt);
    REQUIRE(one.size() == two.size());
    for (std::size_t i = 0; i < one.size(); ++i)
        CHECK(one[i].hash != two[i].hash);
}

TEST_CASE("a leaving engine gets no new work, even when a lagging list shows it as live")
{
    // The platform reports an engine as leaving, but a list read afterwards is an older copy that
    // shows it as live. Requests sent there would be cut off when the engine stops.
    Fleet fleet(3);
    fleet.fleetState.engines[UpstreamId("e1")] = {5, EngineRole::Mixed, {}, {}};
    CHECK(fleet.fleetState.leaving.mark({UpstreamId("e1"), 5}));
    CHECK_FALSE(fleet.fleetState.leaving.mark({UpstreamId("e1"), 5}));
    CHECK_FALSE(fleet.fleetState.leaving.mark({UpstreamId("e1"), 4}));
    fleet.build();
    const UpstreamIndex leaving = fleet.indexes.upstreams.find(UpstreamId("e1"));
    CHECK(fleet.dispatch(fleet.request(), 60).count(leaving) == 0);

    SUBCASE("its next incarnation gets work again")
    {
        fleet.fleetState.engines[UpstreamId("e1")].incarnation = 6;
        fleet.build();
        CHECK(fleet.dispatch(fleet.request(), 60).count(leaving) == 1);
    }
}

TEST_CASE("only repeatable work with slack runs on reclaimable engines")
{
    // Reclaimable engines can be withdrawn at any time. Other work sent there would end with an
    // unknown outcome or miss its deadline.
    struct Row
    {
        const char *what;
        bool repeatable;
        Priority priority;
        Millis slack;
        double share;
        bool allowed;
    };
    const Row rows[] = {
        {"batch", true, Priority::Batch, Millis::never(), 0.5, true},
        {"batch with a near deadline", true, Priority::Batch, Millis::seconds(5), 0.5, false},
        {"standard with slack", true, Priority::Standard, Millis::minutes(5), 0.5, true},
        {"standard without a deadline", true, Priority::Standard, Millis::never(), 0.5, false},
        {"interactive", true, Priority::Interactive, Millis::minutes(5), 0.5, false},
        {"not repeatable", false, Priority::Batch, Millis::never(), 0.5, false},
        {"no share", true, Priority::Batch, Millis::never(), 0, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Fleet fleet(4);
        fleet.settings.fleet.engines[2].costClass = "reclaimable";
        fleet.settings.teams[0].reclaimableShare = row.share;
        fleet.build();
        TeamUsage &usage = fleet.loads.team(0);
        usage.allTokens = 1000000;
        RoutingRequest request = fleet.request();
        request.repeatable = row.repeatable;
        request.priority = row.priority;
        request.slack = row.slack;
        CHECK((fleet.dispatch(request, 40).count(2) == 1) == row.allowed);
    }
}

TEST_CASE("a team's work on reclaimable engines stays within the team's share")
{
    // Half of the engines are reclaimable and cheaper; without the bound all work would go there.
    Fleet fleet(4);
    for (std::size_t i : {0U, 1U})
        fleet.settings.fleet.engines[i].costClass = "reclaimable";
    fleet.build();
    RoutingRequest request = fleet.request();
    request.priority = Priority::Batch;
    const auto chosen = fleet.dispatch(request, 200);
    int reclaimable = 0;
    for (const auto &[upstream, count] : chosen)
        reclaimable += upstream < 2 ? count : 0;
    CHECK(reclaimable <= 100);
    CHECK(reclaimable >= 80);
}

TEST_CASE("an engine whose requests fail is ejected without regard to its health check")
{
    // The engine's health check passes, but every request to it fails. Without ejection callers
    // would see a steady share of failures.
    Fleet fleet(6);
    std::vector<Event> events;
    OutlierEjector ejector({}, [&](const Event &event) { events.push_back(event); });
    RoutingRequest request = fleet.request();
    int failures = 0;
    Millis now = start;
    for (int i = 0; i < 400; ++i, now += Millis(100)) {
        const RoutingChoice choice = fleet.choose(request, now);
        RoutingTicket ticket = fleet.router.started(request, choice, fleet.table, now);
        const bool fails = choice.upstream == 3;
        failures += fails ? 1 : 0;
        fleet.router.finished(ticket, fails ? UpstreamOutcome::Failure : UpstreamOutcome::Success,
                              now);
        ejector.evaluate(fleet.table, fleet.loads, now);
    }
    REQUIRE(events.size() == 1);
    CHECK(events[0].fields[0].second == "e3");
    // Each failure adds a temporary penalty, so it gets few requests even before the ejection.
    CHECK(failures <= 10);
    const Millis ejectedUntil(fleet.loads.upstream(3).ejectedUntil.load());
    CHECK(fleet.dispatch(request, 60, ejectedUntil - Millis(1)).count(3) == 0);
    const Millis later = std::max(now, ejectedUntil) + Millis::seconds(6);
    CHECK(fleet.dispatch(request, 60, later).count(3) == 1);
}

TEST_CASE("only a bounded share of engines is ejected when all of them fail")
{
    // A bad model version or a fault in this instance's network makes requests fail everywhere.
    // Ejecting all engines would turn a share of errors into errors only.
    Fleet fleet(9);
    OutlierEjector ejector({}, ignoreEvents());
    for (int round = 0; round < 5; ++round) {
        for (UpstreamIndex i = 0; i < 9; ++i)
            fleet.loads.upstream(i).consecutiveFailures = 10;
        ejector.evaluate(fleet.table, fleet.loads, start + Millis(round));
    }
    int ejected = 0;
    for (UpstreamIndex i = 0; i < 9; ++i)
        ejected += fleet.loads.upstream(i).ejectedUntil > start.count() + 10 ? 1 : 0;
    CHECK(ejected == 3);
}

TEST_CASE("ejections are ignored when all members are ejected")
{
    // Refusing every request would be worse than sending it to an ejected engine.
    Fleet fleet(3);
    for (UpstreamIndex i = 0; i < 3; ++i)
        fleet.loads.upstream(i).ejectedUntil = (start + Millis::minutes(1)).count();
    CHECK(fleet.choose(fleet.request()).reason == RoutingReason::Panic);
}

TEST_CASE("a retry avoids the upstreams already tried, unless there is no other")
{
    // A retry at the same faulty engine would fail again and use up the caller's attempts.
    Fleet fleet(2);
    RoutingRequest request = fleet.request();
    request.tried[0] = 0;
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.choose(request).upstream == 1);
    request.tried[1] = 1;
    CHECK(fleet.choose(request).reason == RoutingReason::Panic);
}

TEST_CASE("prefill and decode run at different engines where this is faster")
{
    // A prefill at a busy decode engine delays the responses in progress there, while moving the
    // KV cache costs time of its own.
    Fleet fleet(6);
    for (std::size_t i = 0; i < 6; ++i)
        fleet.settings.fleet.engines[i].role = i < 2 ? "prefill" : "decode";
    fleet.build();
    RoutingRequest request = fleet.request(6000);
    request.kvTransfer = true;

    SUBCASE("decode engines are busy: prefill runs at a prefill engine")
    {
        for (UpstreamIndex i = 2; i < 6; ++i)
            fleet.loads.upstream(i).requests = 28;
        const RoutingChoice choice = fleet.choose(request);
        CHECK(choice.reason == RoutingReason::Disaggregated);
        CHECK(choice.prefill < 2);
        CHECK(choice.upstream >= 2);
    }
    SUBCASE("prefill engines have a backlog: prefill runs at a decode engine with free slots")
    {
        for (UpstreamIndex i = 0; i < 2; ++i)
            fleet.loads.upstream(i).promptTokens = 60000;
        CHECK(fleet.choose(request).reason == RoutingReason::PrefillOnDecode);
    }
    SUBCASE("the caller cannot transfer a KV cache: one engine runs both")
    {
        request.kvTransfer = false;
        const RoutingChoice choice = fleet.choose(request);
        CHECK(choice.prefill == noIndex);
        CHECK(choice.upstream >= 2);
    }
}

TEST_CASE("counters return to zero after requests that end in any way")
{
    // A counter that is not decremented would make an idle engine look loaded for good.
    Fleet fleet(6);
    for (std::size_t i = 0; i < 6; ++i)
        fleet.settings.fleet.engines[i].role = i < 3 ? "prefill" : "decode";
    fleet.build();
    RoutingRequest request = fleet.request(5000);
    request.kvTransfer = true;
    for (int i = 0; i < 60; ++i) {
        const RoutingChoice choice = fleet.choose(request);
        RoutingTicket ticket = fleet.router.started(request, choice, fleet.table, start);
        if (i % 3 != 0)
            fleet.router.firstToken(ticket, start + Millis(100));
        fleet.router.finished(ticket,
                              i % 2 == 0 ? UpstreamOutcome::Neutral : UpstreamOutcome::Failure,
                              start + Millis(200));
    }
    for (UpstreamIndex i = 0; i < 6; ++i) {
        CHECK(fleet.loads.upstream(i).requests == 0);
        CHECK(fleet.loads.upstream(i).promptTokens == 0);
        CHECK(fleet.loads.upstream(i).outputTokens == 0);
    }
}

TEST_CASE("a gap in an engine's cache events is detected and its hints can be removed")
{
    // The lost events may have been evictions. If the hints were kept, a customer's prompts would
    // go to an engine that has to prefill all of them from scratch.
    CacheEventCursor cursor;
    CHECK(cursor.accept(7));
    CHECK(cursor.accept(8));
    CHECK_FALSE(cursor.accept(11));

    PrefixHints hints(256);
    const PrefixChain chain = prefixChain(nameHash("one"), textOf(2048, 'q'));
    hints.record(chain, 3, start);
    CHECK(hints.find(chain, start).count == 1);
    hints.removeUpstream(3);
    CHECK(hints.find(chain, start).count == 0);

    hints.stored(chain.back().hash, 5, start);
    CHECK(hints.find(chain, start).holders[0].upstream == 5);
    hints.evicted(chain.back().hash, 5);
    CHECK(hints.find(chain, start).count == 0);
}

TEST_CASE("hints lose confidence with age and then expire")
{
    // Engines evict old prefixes, and their events may be lost.
    PrefixHints hints(256);
    const PrefixChain chain = prefixChain(nameHash("one"), textOf(2048, 'q'));
    hints.record(chain, 3, start);
    const double fresh = hints.find(chain, start).holders[0].confidence;
    const double aged = hints.find(chain, start + Millis::minutes(5)).holders[0].confidence;
    CHECK(aged < fresh / 2);
    CHECK(hints.find(chain, start + Millis::minutes(11)).count == 0);
}

TEST_CASE("a service call gets the rule with the longest matching path")
{
    // A call matched to the wrong rule could be retried although that is unsafe, or run without an
    // idempotency key.
    Fleet fleet(1);
    ServiceSettings service;
    service.name = "lodging";
    service.prefix = "/services/lodging/";
    service.calls = {{"POST", "/bundles", false, true},
                     {"POST", "/drafts/", true, false},
                     {"PUT", "/", false, true}};
    service.upstreams = {{UpstreamId("s0"), "10.0.1.0:80", FailureDomainId("a")}};
    fleet.settings.fleet.services = {service};
    fleet.build();

    struct Row
    {
        const char *method;
        const char *path;
        bool repeatable;
        bool keyRequired;
    };
    const Row rows[] = {
        {"POST", "/services/lodging/bundles", false, true},
        {"POST", "/services/lodging/bundles?x=1", false, true},
        {"POST", "/services/lodging/drafts/7", true, false},
        {"POST", "/services/lodging/other", false, false},
        {"GET", "/services/lodging/bundles", true, false},
        {"PUT", "/services/lodging/anything/at/all", false, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.path);
        const auto route = fleet.table.findService(row.method, row.path);
        REQUIRE(route.has_value());
        CHECK(route->repeatable == row.repeatable);
        CHECK(route->idempotencyKeyRequired == row.keyRequired);
    }
    CHECK_FALSE(fleet.table.findService("GET", "/elsewhere").has_value());
    RoutingRequest request;
    request.pool = fleet.table.findService("POST", "/services/lodging/bundles")->pool;
    CHECK(fleet.table.upstream(fleet.choose(request).upstream).id == UpstreamId("s0"));
}

TEST_CASE("a new model version serves alone once half of the engines have loaded it")
{
    // Only one engine has loaded the new version so far. If it alone served the model, it would get
    // all requests and fail under them.
    Fleet fleet(4);
    const auto serving = [&](int updated) {
        for (int i = 0; i < 4; ++i) {
            const std::string version = i < updated ? "m@1" : "m@0";
            fleet.fleetState.engines[UpstreamId("e" + std::to_string(i))] = {
                1, EngineRole::Mixed, {version}, {}};
        }
        fleet.build();
        return fleet.table.pool(*fleet.table.findModel("m")).mixed.all.size();
    };
    CHECK(serving(0) == 4);
    CHECK(serving(1) == 4);
    CHECK(serving(2) == 2);
    CHECK(serving(4) == 4);
}

TEST_CASE("engines without the requested adapter or without a role get no requests")
{
    // Such an engine would answer the request with an error.
    Fleet fleet(6);
    fleet.settings.fleet.models[0].adapters = {"law"};
    fleet.fleetState.engines[UpstreamId("e4")] = {1, EngineRole::Mixed, {}, {"law"}};
    fleet.fleetState.engines[UpstreamId("e5")] = {1, EngineRole::None, {}, {"law"}};
    fleet.build();
    RoutingRequest request = fleet.request();
    request.adapter = *fleet.table.findAdapter("law");
    const auto chosen = fleet.dispatch(request, 30);
    CHECK(chosen.size() == 1);
    CHECK(chosen.count(4) == 1);
}

TEST_CASE("the routing-decision event names pool and reason, and nothing of the prompt")
{
    // Prompts are confidential and must not reach the log.
    Fleet fleet(3);
    const RoutingRequest request = fleet.request();
    const Event event = explainChoice(request, fleet.choose(request), fleet.table);
    CHECK(event.kind->number == 302);
    CHECK(event.fields[0].second == "m");
    CHECK(event.fields[3].second == "least-predicted-time");
}
