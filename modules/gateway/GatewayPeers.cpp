#include "gateway/Gateway.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** By then the instances of a system that starts for the first time know one another. */
constexpr Millis firstStartSettles = Millis(5000);
/** Instances that a small failure domain's instance gives its ledger when its own write fails. */
constexpr int substituteCollectors = 2;
/** How often the links that are ready are counted. */
constexpr Millis reachEvery = Millis::seconds(1);

} // namespace

void Gateway::tickPeers()
{
    if (!context_.prefillExchange)
        return;
    fabric_.tick();
    setReach();
    if (peersRevision_ == registry_.revision())
        return;
    peersRevision_ = registry_.revision();
    std::vector<KeeperCandidate> peers;
    for (const RegisteredInstance &instance : registry_.instances()) {
        const bool isSelf = instance.instance.text() == settings_.name;
        if (isSelf || !instance.links.empty())
            peers.push_back({instance.instance, isSelf ? PeerAddress() : instance.links});
    }
    if (registry_.isSettled()) {
        context_.quotas->setPeers(peers);
        context_.limits->setPeers(peers);
    }
    context_.quarantine->setPeers(peers);
    context_.prefillExchange->setPeers(std::move(peers));
    fabric_.holdLinks(context_.prefillExchange->keepers());
    joinGroup();
}

void Gateway::setReach()
{
    const Millis now = environment_.clock.now();
    if (now < nextReach_)
        return;
    nextReach_ = now + reachEvery;
    const auto &instances = registry_.instances();
    const auto linked = std::count_if(instances.begin(), instances.end(), [this](const auto &each) {
        return each.instance.text() == settings_.name || fabric_.isLinked(each.links);
    });
    const double reach = static_cast<double>(linked)
        / static_cast<double>(std::max<std::size_t>(1, instances.size()));
    context_.quotas->setReach(reach);
    context_.limits->setReach(reach);
}

bool Gateway::hadReadNothing(EngineKey engine, Millis at) const
{
    // The instances of a whole system that starts for the first time find engines that nobody used.
    if (settings_.isFirstStart && at < startedAt_ + firstStartSettles)
        return true;
    for (const auto &[id, record] : context_.directory.all()) {
        if (engineKey(*record) == engine)
            return record->entry.startedAt > wallOffset_ + at.count();
    }
    return false;
}

void Gateway::joinGroup()
{
    const auto watchers = static_cast<std::size_t>(settings_.decisions.feedWatchers);
    group_ = InstanceGroup::of(registry_.instances(), registrationOf(settings_));
    group_.isShared = group_.isShared && watchers > 0;
    usage_.setShared(group_.isShared);
    if (group_.isShared)
        feeds_.setMembers(group_.watchOrder, watchers);
    else if (registry_.isSettled())
        feeds_.setAlone();
}

void Gateway::onPeerFrame(const PeerAddress &from, const std::string &frame)
{
    const bool isTaken = feeds_.received(from, frame) || usage_.received(from, frame)
        || context_.quotas->received(from, frame) || context_.quarantine->received(from, frame)
        || context_.limits->received(from, frame);
    if (!isTaken)
        context_.prefillExchange->received(from, frame);
}

std::vector<PeerAddress> Gateway::ledgerCollectors()
{
    if (group_.isShared)
        return group_.collectors;
    // The first entry is this instance. Another one may be turned away by the store as well.
    const auto &instances = registry_.instances();
    std::vector<PeerAddress> collectors;
    for (int i = 0; fabric_.isOpen() && instances.size() > 1 && i < substituteCollectors; ++i) {
        const auto &peer = instances[1 + environment_.random() % (instances.size() - 1)];
        if (!peer.links.empty())
            collectors.push_back(peer.links);
    }
    return collectors;
}

} // namespace cuminrail
