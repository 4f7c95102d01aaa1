#include "gateway/Gateway.h"

#include "core/events/EventCatalogue.h"
#include "gateway/control/LinkPlan.h"
#include "gateway/control/StoreFailureHook.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** On the first start of a system, its instances know one another after this time. */
constexpr Millis firstStartSettleTime = Millis(5000);
/** Collectors tried in a small failure domain when an instance cannot write its ledger itself. */
constexpr int fallbackCollectors = 2;
/** Interval at which the established links are counted. */
constexpr Millis reachInterval = Millis::seconds(1);
/** Runs in every sweep of the deadlines, as the queries' time-outs are no longer than a sweep. */
constexpr Millis queryTickInterval = Millis(10);
/** Without requests and frames for this long, the exchanges are ticked with all periodic work. */
constexpr Millis exchangeIdleDelay = Millis(300);

} // namespace

void Gateway::tickPeers()
{
    if (!context_.prefillExchange)
        return;
    fabric_.tick();
    updateReachableShare();
    if (peersRevision_ == registry_.revision())
        return;
    peersRevision_ = registry_.revision();
    updateGroup();
    std::vector<OwnerCandidate> peers;
    for (const RegisteredInstance &instance : registry_.instances()) {
        const bool isSelf = instance.instance.text() == settings_.name;
        if (isSelf || !instance.links.empty())
            peers.push_back({instance.instance, isSelf ? PeerAddress() : instance.links,
                             instance.milliCores, instance.failureDomain});
    }
    if (registry_.isSettled()) {
        context_.quotas->setPeers(peers);
        context_.limits->setPeers(peers);
    }
    context_.quarantine->setPeers(peers);
    context_.origins->setPeers(peers);
    // The store announces an upstream's leaving to all, so only the group is told earlier.
    const bool isPartitioned = group_.isPartOf(peers.size());
    context_.departures->setPeers(isPartitioned ? group_.members : peers);
    LinkPlan plan = LinkPlan::of(peers, group_);
    fabric_.maintainLinks(plan.maintained);
    relay_.setRelays(std::move(plan.relays));
    reachablePeers_.clear();
    for (const OwnerCandidate &each : isPartitioned ? group_.members : peers) {
        if (!each.address.empty())
            reachablePeers_.push_back(each.address);
    }
    context_.prefillExchange->setPeers(std::move(peers));
    context_.carriage->setInstances(registry_.instances());
}

PeerTransport Gateway::transportFor(LinkPurpose purpose)
{
    // Feeds and ledgers go to members of the own group, over links that are kept for long.
    const bool isDirect = purpose == LinkPurpose::Feeds || purpose == LinkPurpose::Usage;
    return linkTraffic_.counted(purpose, isDirect ? fabric_.transport() : relay_.transport());
}

double Gateway::linkedShare(const std::vector<PeerAddress> &others) const
{
    const auto linked = std::count_if(others.begin(), others.end(), [this](const auto &other) {
        return fabric_.isLinked(other);
    });
    return static_cast<double>(1 + linked) / static_cast<double>(1 + others.size());
}

void Gateway::updateReachableShare()
{
    const Millis now = environment_.clock.now();
    if (now < nextReachUpdateAt_)
        return;
    nextReachUpdateAt_ = now + reachInterval;
    const double reach = linkedShare(reachablePeers_);
    context_.quotas->setReachableShare(reach);
    context_.limits->setReachableShare(reach);
}

bool Gateway::wasUnusedAt(EngineKey engine, Millis at) const
{
    // On the first start of a whole system, the engines have not been used by any instance.
    if (settings_.isFirstStart && at < startedAt_ + firstStartSettleTime)
        return true;
    for (const auto &[id, record] : context_.directory.all()) {
        if (engineKey(*record) == engine)
            return record->entry.startedAt > wallOffset_ + at.count();
    }
    return false;
}

void Gateway::updateGroup()
{
    const auto watchers = static_cast<std::size_t>(settings_.decisions.feedWatchers);
    group_ = InstanceGroup::of(registry_.instances(), registrationOf(settings_));
    group_.isShared = group_.isShared && watchers > 0;
    std::vector<PeerAddress> readers = group_.watchOrder;
    readers.resize(group_.isShared ? std::min(readers.size(), watchers) : 0);
    if (std::find(readers.begin(), readers.end(), PeerAddress()) != readers.end())
        readers.clear();
    context_.quarantine->setReaders(std::move(readers));
    usage_.setShared(group_.isShared);
    if (group_.isShared)
        feeds_.setMembers(group_.watchOrder, watchers);
    else if (registry_.isSettled())
        feeds_.setStandalone();
}

void Gateway::noteExchangeActivity()
{
    const Millis now = environment_.clock.now();
    const bool wasIdle = now >= exchangesBusyUntil_;
    exchangesBusyUntil_ = now + exchangeIdleDelay;
    if (wasIdle && context_.prefillExchange)
        queryTick_.setAfter(queryTickInterval);
}

void Gateway::tickExchanges()
{
    context_.prefillExchange->tick();
    context_.quotas->tick();
    context_.quarantine->tick();
    context_.limits->tick();
    context_.departures->tick();
    context_.origins->tick();
    const Millis now = environment_.clock.now();
    if (context_.counters.inProgress > 0)
        exchangesBusyUntil_ = now + exchangeIdleDelay;
    if (now < exchangesBusyUntil_)
        queryTick_.setAfter(queryTickInterval);
}

void Gateway::onLinkFrame(const PeerAddress &from, const std::string &frame)
{
    if (const auto arrival = relay_.receive(from, frame))
        onPeerFrame(arrival->from, arrival->frame);
}

void Gateway::onPeerFrame(const PeerAddress &from, const std::string &frame)
{
    const auto received = [&](LinkPurpose purpose) {
        linkTraffic_.recordReceived(purpose, frame.size());
    };
    if (feeds_.handleFrame(from, frame))
        return received(LinkPurpose::Feeds);
    if (usage_.handleFrame(from, frame))
        return received(LinkPurpose::Usage);
    noteExchangeActivity();
    if (context_.quotas->handleFrame(from, frame))
        received(LinkPurpose::Quotas);
    else if (context_.quarantine->handleFrame(from, frame))
        received(LinkPurpose::Quarantine);
    else if (context_.limits->handleFrame(from, frame))
        received(LinkPurpose::Limits);
    else if (context_.departures->handleFrame(frame))
        received(LinkPurpose::Departures);
    else if (context_.origins->handleFrame(from, frame))
        received(LinkPurpose::Streams);
    else if (context_.prefillExchange->handleFrame(from, frame))
        received(LinkPurpose::Estimates);
}

InstanceRegistry::Hooks Gateway::registryHooks()
{
    InstanceRegistry::Hooks hooks{environment_.store, environment_.clock, environment_.random};
    hooks.onListed = [this] {
        // An instance that just started has nothing to respond with until it follows the store.
        tickPeers();
        sync_.tick();
        feeds_.tick();
    };
    hooks.onMalformed = [this](const Reason &reason) {
        environment_.events(Event{&events::rosterMalformed, {{"reason", reason.toString()}}});
    };
    if (!settings_.links.isSet())
        return hooks;
    hooks.obtainSecret = [this](std::function<void(const std::string &)> done) {
        fabric_.obtainSecret(std::move(done));
    };
    hooks.onSecret = [this](const std::string &secret) { fabric_.useSecret(secret); };
    return hooks;
}

GatewayUsage::Hooks Gateway::usageHooks()
{
    UsageDuty::Hooks duty{withFailureHook(environment_.store, [this] { sync_.noteStoreFailure(); }),
                          environment_.clock,
                          [this] { return wallTime(); },
                          environment_.events,
                          wire_.reportUsage,
                          [this] { return lease_.authority(); }};
    const auto send = transportFor(LinkPurpose::Usage).send;
    return {std::move(duty), environment_.random, [this] { return ledgerCollectors(); }, send};
}

std::vector<PeerAddress> Gateway::ledgerCollectors()
{
    if (group_.isShared)
        return group_.collectors;
    // The first entry is this instance. The store may refuse the next one too, so several are
    // tried.
    const auto &instances = registry_.instances();
    std::vector<PeerAddress> collectors;
    for (int i = 0; fabric_.isOpen() && instances.size() > 1 && i < fallbackCollectors; ++i) {
        const auto &peer = instances[1 + environment_.random() % (instances.size() - 1)];
        if (!peer.links.empty())
            collectors.push_back(peer.links);
    }
    return collectors;
}

} // namespace cuminrail
