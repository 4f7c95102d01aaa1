#include "gateway/Gateway.h"

#include "core/events/EventCatalogue.h"
#include "gateway/ListenerLimits.h"
#include "gateway/control/StoreEraHook.h"
#include "gateway/control/StoreFailureHook.h"
#include "gateway/request/RequestRelay.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace cuminrail {

namespace {

/** The secret of the links is read by itself if the roster has not provided it by then. */
constexpr Millis maxSecretWait = Millis(1000);
constexpr Millis maxFirstSecretWait = Millis(4000);
/** Interval of the periodic work: leases, usage, graceful shutdown. */
constexpr Millis tickInterval = Millis(100);
/** The load balancer probes each second and removes an instance after two failed probes. */
constexpr Millis balancerDelay = Millis(2500);
/** A caller's first request arrives within this time after accept: two network delays. */
constexpr Millis firstRequestDelay = Millis(300);
/** Reserved for writing the last usage before the platform kills the process. */
constexpr Millis finalWriteReserve = Millis(400);
/** Reserved before that for the last responses to reach their callers. */
constexpr Millis finalResponseReserve = Millis(200);

UpstreamPoolLimits poolLimits(const InstanceSettings &settings)
{
    constexpr std::size_t responseMemoryDivisor = 8;
    UpstreamPoolLimits limits;
    limits.responseBytes = std::size_t{settings.memoryMb} * 1024 * 1024 / responseMemoryDivisor;
    limits.idlePerAddress = 12;
    limits.idleTimeout = Millis::seconds(4);
    return limits;
}

UsageTiming usageTiming(const InstanceSettings &settings)
{
    UsageTiming timing;
    timing.window = settings.usageWindow;
    timing.maxSealDelay = settings.usageDue * 7 / 10;
    return timing;
}

InstanceIncarnation incarnationOf(const InstanceSettings &settings, std::int64_t wallMillis)
{
    return InstanceIncarnation{InstanceId(settings.name), static_cast<Incarnation>(wallMillis)};
}

Gateway::Environment withEraHook(Gateway::Environment environment,
                                 const std::function<void(StoreEra)> &onReply)
{
    environment.store = withEraHook(environment.store, onReply);
    return environment;
}

} // namespace

Gateway::Gateway(InstanceSettings settings, GatewayProtocol wire, Environment environment)
    : settings_(std::move(settings)), wire_(std::move(wire)),
      environment_(withEraHook(std::move(environment), [this](StoreEra era) { onStoreEra(era); })),
      pool_(environment_.io, environment_.deadlines, poolLimits(settings_)),
      context_(wire_, environment_.deadlines, pool_, settings_),
      callers_(environment_.io, environment_.deadlines, callerLimits(CallerLimits(), settings_),
               serverHooks([this](const auto &exchange) { onRequest(exchange); }), load_),
      readiness_(environment_.io, environment_.deadlines, readinessLimits(settings_),
                 serverHooks([this](const auto &exchange) { onReadinessRequest(exchange); }),
                 std::make_shared<ServerLoad>()),
      admin_(environment_.io, environment_.deadlines, adminLimits(settings_), adminPages()),
      sync_(context_, environment_.store, environment_.random),
      registry_(registrationOf(settings_), settings_.isFirstStart, registryHooks()),
      lease_(incarnationOf(settings_, environment_.wallMillis()), registry_,
             {withFailureHook(environment_.store, [this] { sync_.noteStoreFailure(); }),
              environment_.clock, environment_.random, environment_.events, nullptr, nullptr}),
      peers_(context_, registry_, environment_.random,
             [this](const std::string &text) {
                 sync_.applyConfigurationText(text, "another instance");
             }),
      fabric_(
          {environment_.io, environment_.clock, environment_.store, environment_.events,
           maxOpeningLinks(settings_)},
          settings_.links,
          [this](const PeerAddress &from, const std::string &frame) { onLinkFrame(from, frame); }),
      relay_(settings_.links.toString(),
             {fabric_.transport(),
              [this](const PeerAddress &peer) { return fabric_.isLinked(peer); }}),
      queryTick_(environment_.deadlines, [this] { tickExchanges(); }),
      feeds_(environment_.clock, transportFor(LinkPurpose::Feeds), sync_.configuration(),
             sync_.upstreams()),
      usage_(settings_.name + "." + std::to_string(environment_.wallMillis()),
             usageTiming(settings_), usageHooks()),
      stages_(context_, [this] { return lease_.authority(); }),
      scale_(context_, [this] { return lease_.authority(); }), timer_(environment_.io)
{
    context_.events = environment_.events;
    context_.repeatsCompletion = environment_.repeatsCompletion;
    context_.onExecutionStarted = [this](const std::string &customer) { usage_.count(customer); };
    if (settings_.isFirstStart)
        lease_.setFirstStart();
    sync_.onConfiguration = [this] { applyLimits(); };
    feeds_.isLinked = [this](const PeerAddress &peer) { return fabric_.isLinked(peer); };
    sync_.onWatchUpdate = [this](const FeedUpdate &update) { feeds_.distribute(update); };
    context_.quotas = std::make_unique<QuotaExchange>(
        settings_.quotas, transportFor(LinkPurpose::Quotas), environment_.clock);
    context_.limits =
        std::make_unique<LimitExchange>(settings_.upstreamLimits, transportFor(LinkPurpose::Limits),
                                        environment_.clock, environment_.random);
    context_.limits->setLinkCheck(feeds_.isLinked);
    context_.departures = std::make_unique<DepartureExchange>(
        transportFor(LinkPurpose::Departures), environment_.clock, environment_.random);
    context_.departures->setLinkCheck(feeds_.isLinked);
    context_.departures->onDeparture = [this](UpstreamIncarnation upstream,
                                              DepartureSource source) {
        onDeparture(upstream, source);
    };
    setUpStreams();
    if (!settings_.links.isSet()) {
        context_.quotas->setStandalone();
        context_.limits->setStandalone();
    }
    context_.quarantine = std::make_unique<QuarantineExchange>(QuarantineExchange::Environment{
        transportFor(LinkPurpose::Quarantine), environment_.store, environment_.clock,
        environment_.random, environment_.events});
    context_.quarantine->setLinkCheck(feeds_.isLinked);
    context_.quarantine->onRestricted = [this] { callBackHeld(); };
    context_.path.onChange = [this](PathState before) { onPathChange(before); };
    pool_.setStrayHandler([this](const StrayResponse &stray) { noteStray(stray); });
    if (settings_.links.isSet()) {
        setUpCarriage();
        context_.prefillExchange = std::make_unique<PrefillExchange>(
            settings_.links.toString(), transportFor(LinkPurpose::Estimates), environment_.clock);
        context_.prefillExchange->wasUnusedAt = [this](EngineKey engine, Millis at) {
            return wasUnusedAt(engine, at);
        };
    }
}

Gateway::~Gateway() = default;

RegisteredInstance Gateway::registrationOf(const InstanceSettings &settings)
{
    const auto textOf = [](const HostPort &address) {
        return address.isSet() ? address.toString() : std::string();
    };
    return {InstanceId(settings.name), textOf(settings.admin), textOf(settings.links),
            settings.failureDomain, settings.milliCores};
}

bool Gateway::start(Reason *lastReason)
{
    const auto &callers = settings_.callers;
    const auto &readiness = settings_.readiness;
    if (!callers_.listen(callers.host, callers.port, false, lastReason)
        || !readiness_.listen(readiness.host, readiness.port, false, lastReason))
        return false;
    const auto &admin = settings_.admin;
    if (admin.isSet() && !admin_.listen(admin.host, admin.port, lastReason))
        return false;
    startedAt_ = environment_.clock.now();
    if (!settings_.links.isSet())
        feeds_.setStandalone();
    sync_.start(settings_.links.isSet());
    fabric_.awaitSecret(settings_.isFirstStart ? maxFirstSecretWait : maxSecretWait);
    registry_.tick();
    tickPeers();
    armTick();
    return true;
}

std::int64_t Gateway::wallTime() const
{
    // The wall clock of a machine can jump; the steady clock, offset at the start, does not.
    return wallOffset_ + environment_.clock.now().count();
}

bool Gateway::isReady() const
{
    const bool isCutOff = context_.path.isCut() && settings_.decisions.carryWhenCut < 1;
    return !isDraining_ && !isCutOff && context_.index != nullptr && sync_.hasUpstreams();
}

void Gateway::applyLimits()
{
    const Configuration &configuration = context_.index->configuration();
    callers_.setLimits(callerLimits(configuration.limits, settings_));
    QuotaTable quotas;
    for (const CustomerKeys &customer : configuration.customers) {
        if (customer.quota)
            quotas[customer.customer] = *customer.quota;
    }
    context_.quotas->setQuotas(std::move(quotas));
    configureStreams(configuration);
}

void Gateway::onStoreEra(StoreEra era)
{
    if (era <= storeEra_)
        return;
    const bool isRestored = storeEra_ > 0;
    storeEra_ = era;
    lease_.noteEra(era);
    if (!isRestored)
        return;
    environment_.events(Event{&events::storeRestored, {{"era", std::to_string(era)}}});
    context_.directory.storeReturned(environment_.clock.now());
    usage_.storeRestored();
    registry_.storeRestored();
    context_.quarantine->storeRestored();
    fabric_.storeRestored();
}

void Gateway::onDeparture(UpstreamIncarnation incarnation, DepartureSource source)
{
    const UpstreamPointer upstream =
        context_.directory.markLeaving(incarnation, environment_.clock.now());
    environment_.events(
        Event{&events::upstreamLeaving,
              {{"upstream", upstream == nullptr ? "not listed" : upstream->entry.id},
               {"source", std::string(departureSourceNames.name(source))}}});
}

std::vector<std::shared_ptr<RequestRelay>> Gateway::requestsInProgress() const
{
    std::vector<std::shared_ptr<RequestRelay>> relays;
    for (RequestRelay *relay : context_.relays)
        relays.push_back(relay->shared_from_this());
    return relays;
}

void Gateway::endRequests()
{
    for (const auto &relay : requestsInProgress())
        relay->onStop();
}

void Gateway::callBackHeld()
{
    if (std::exchange(isCallBackPending_, true))
        return;
    // Later, as the quarantine may be told of an ending by one of these requests.
    boost::asio::post(environment_.io, [this] {
        isCallBackPending_ = false;
        for (const auto &relay : requestsInProgress())
            relay->onContentsRestricted();
    });
}

AdminPages Gateway::adminPages()
{
    AdminPages pages;
    pages.metrics = [this] { return context_.metrics.page(gauges()); };
    pages.state = [this] { return stateText(); };
    pages.isReady = [this] { return isReady(); };
    pages.configurationAfter = [this](std::uint64_t version) {
        const bool isNewer = context_.index != nullptr && context_.index->version() > version;
        return isNewer ? sync_.configurationText() : std::string();
    };
    pages.quarantines = [this] { return quarantineText(); };
    pages.liftQuarantine = [this](const std::string &id) { return context_.quarantine->lift(id); };
    return pages;
}

void Gateway::armTick()
{
    timer_.expires_after(std::chrono::milliseconds(tickInterval.count()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        tick();
        armTick();
    });
}

void Gateway::tick()
{
    if (!isDraining_)
        registry_.tick();
    tickPeers();
    if (context_.prefillExchange) {
        tickExchanges();
    } else {
        context_.quarantine->tick();
        context_.limits->tick();
        context_.origins->tick();
    }
    sync_.tick();
    feeds_.tick();
    peers_.tick(sync_.configuration().isDown());
    const std::size_t instances = registry_.instances().size();
    context_.retries.setInstances(instances);
    sync_.setInstances(instances);
    usage_.setInstances(instances);
    stages_.setInstances(instances);
    if (registry_.isSettled())
        scale_.setInstances(instances);
    // The holder also maintains the roster, so the lease is held where there are no other duties.
    lease_.tick();
    registry_.setMaintainer(lease_.isHeld());
    if (settings_.reportsUsage)
        usage_.tick();
    stages_.tick();
    if (settings_.ordersUpstreams)
        scale_.tick(settings_.isFirstStart && context_.counters.requests == 0);
    tickPath();
    if (isDraining_)
        tickDrain();
}

void Gateway::drain(std::function<void()> onDrained)
{
    if (isDraining_)
        return;
    isDraining_ = true;
    drainStartedAt_ = environment_.clock.now();
    onDrained_ = std::move(onDrained);
    environment_.events(Event{&events::processStopping, {{"instance", settings_.name}}});
    callers_.closeAfterResponses();
    lease_.release();
    registry_.leave();
    context_.origins->handOver();
}

void Gateway::shutDown()
{
    timer_.cancel();
    sync_.stop();
    fabric_.stop();
    // Pending queries hold requests, which refer to members that are destroyed before the
    // exchanges.
    context_.path.stop();
    if (context_.carriage)
        context_.carriage->stop();
    if (context_.prefillExchange)
        context_.prefillExchange->dropPendingQueries();
    context_.quotas->dropPendingQueries();
    context_.limits->dropPendingQueries();
    context_.origins->dropPending();
    callers_.closeAll();
    readiness_.closeAll();
    admin_.closeAll();
    pool_.closeAll();
}

void Gateway::tickDrain()
{
    const Millis elapsed = environment_.clock.now() - drainStartedAt_;
    const bool isLate = elapsed > settings_.grace - finalWriteReserve;
    if (elapsed < balancerDelay)
        return;
    // Connections that the balancer still forwards, or that callers open directly, would keep the
    // process busy until it is killed with half-sent responses. Refused callers go elsewhere at
    // once.
    if (!hasStoppedListening_) {
        hasStoppedListening_ = true;
        callers_.stopListening();
        context_.origins->handOver();
        context_.stopsAt =
            drainStartedAt_ + settings_.grace - finalWriteReserve - finalResponseReserve;
    }
    if (environment_.clock.now() >= *context_.stopsAt)
        endRequests();
    // Idle connections are closed a moment later, as one accepted just now still sends a request.
    if (elapsed >= balancerDelay + firstRequestDelay)
        callers_.closeIdle();
    const bool isIdle = context_.counters.inProgress == 0 && callers_.openConnections() == 0;
    if (isIdle)
        usage_.flush();
    const bool isSent =
        (!context_.carriage || context_.carriage->isFlushed()) && !context_.origins->isSending();
    const bool isDone = isIdle && isSent && usage_.isFlushed() && lease_.isQuiet();
    if ((isDone || isLate) && onDrained_) {
        const auto drained = std::move(onDrained_);
        onDrained_ = nullptr;
        environment_.events(Event{&events::processStopped,
                                  {{"cut", std::to_string(context_.counters.inProgress)}}});
        drained();
    }
}

} // namespace cuminrail
