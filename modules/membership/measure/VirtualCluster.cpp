#include "membership/measure/VirtualCluster.h"

#include <algorithm>
#include <cstdlib>

namespace cuminrail {

namespace {

constexpr std::int64_t kStartWindowMs = 2000;
constexpr Millis kLatencyInRegion{1};
constexpr Millis kLatencyBetweenRegions{15};
constexpr std::size_t kSeeds = 3;
constexpr std::uint64_t kLossScale = 1000000;

std::size_t indexOf(const PeerAddress &address)
{
    return static_cast<std::size_t>(std::strtoul(address.c_str() + 1, nullptr, 10));
}

} // namespace

VirtualCluster::VirtualCluster(ClusterShape shape, MembershipConfig config)
    : shape_(shape), config_(config), scheduler_(shape.seed), random_(seededRandom(shape.seed + 1))
{
    for (std::size_t i = 0; i < shape.instances; ++i) {
        instances_.push_back(std::make_unique<VirtualInstance>());
        instances_.back()->settingsDigest = [](Millis) { return SettingsDigest(); };
        instances_.back()->events = ignoreEvents();
    }
}

InstanceId VirtualCluster::idOf(std::size_t index)
{
    return InstanceId("instance-" + std::to_string(index));
}

PeerAddress VirtualCluster::addressOf(std::size_t index)
{
    return "@" + std::to_string(index) + ".7100";
}

std::size_t VirtualCluster::regionOf(std::size_t index) const
{
    return index % shape_.domains % shape_.regions;
}

MemberRecord VirtualCluster::recordOf(std::size_t index) const
{
    MemberRecord record;
    record.id = idOf(index);
    record.incarnation = lastIncarnation_;
    record.domain = FailureDomainId("domain-" + std::to_string(index % shape_.domains));
    record.region = RegionId("region-" + std::to_string(regionOf(index)));
    record.address = addressOf(index);
    return record;
}

MembershipHooks VirtualCluster::hooksOf(std::size_t index)
{
    VirtualInstance &instance = at(index);
    MembershipHooks hooks;
    hooks.transport.send = [this, index](const PeerAddress &to, std::string frame) {
        send(index, to, std::move(frame));
    };
    hooks.random = seededRandom(random_());
    hooks.events = [&instance](const Event &event) { instance.events(event); };
    hooks.settingsDigest = [&instance](Millis now) { return instance.settingsDigest(now); };
    hooks.onFact = [&instance](const UrgentFact &fact) {
        if (instance.onFact)
            instance.onFact(fact);
    };
    hooks.onPeerDigest = [&instance](const PeerDigest &digest) {
        if (instance.onPeerDigest)
            instance.onPeerDigest(digest);
    };
    hooks.onMembersChanged = [&instance] {
        if (instance.onMembersChanged)
            instance.onMembersChanged();
    };
    return hooks;
}

void VirtualCluster::start(std::size_t index)
{
    ++lastIncarnation_;
    VirtualInstance &instance = at(index);
    if (instance.process)
        instance.process->kill();
    instance.process = std::make_shared<FakeProcess>(idOf(index).text());
    instance.membership = std::make_unique<Membership>(config_, recordOf(index), hooksOf(index));
    std::vector<PeerAddress> seeds;
    for (std::size_t seed = 0; seed < kSeeds && seed < size(); ++seed)
        seeds.push_back(addressOf(seed));
    instance.membership->setSeeds(std::move(seeds));
    tick(index, instance.process);
}

void VirtualCluster::startAll()
{
    for (std::size_t i = 0; i < size(); ++i) {
        const auto delay = static_cast<std::int64_t>(random_() % kStartWindowMs);
        scheduler_.after(Millis(delay), [this, i] { start(i); });
    }
    runFor(Millis(kStartWindowMs));
}

void VirtualCluster::tick(std::size_t index, const FakeProcessPtr &process)
{
    if (!process->isAlive())
        return;
    if (process->isRunning(now())) {
        membership(index).tick(now());
        if (at(index).onTick)
            at(index).onTick(now());
    }
    scheduler_.after(tickPeriod, [this, index, process] { tick(index, process); });
}

void VirtualCluster::setLinkCut(std::size_t one, std::size_t other, bool cut)
{
    const auto link = std::minmax(one, other);
    if (cut)
        cutLinks_.insert(link);
    else
        cutLinks_.erase(link);
}

bool VirtualCluster::isReachable(std::size_t from, std::size_t to) const
{
    if (!instances_[from]->connected || !instances_[to]->connected)
        return false;
    if (cutLinks_.count(std::minmax(from, to)) != 0)
        return false;
    return !regionsPartitioned_ || regionOf(from) == regionOf(to);
}

void VirtualCluster::send(std::size_t from, const PeerAddress &to, std::string frame)
{
    const std::size_t target = indexOf(to);
    VirtualInstance &sender = at(from);
    sender.bytesSent += frame.size() + linkOverhead;
    ++sender.framesSent;
    const auto lossThreshold = static_cast<std::uint64_t>(shape_.loss * double(kLossScale));
    if (target >= size() || !isReachable(from, target) || random_() % kLossScale < lossThreshold)
        return;
    const Millis delay =
        regionOf(from) == regionOf(target) ? kLatencyInRegion : kLatencyBetweenRegions;
    scheduler_.after(delay, [this, target, frame = std::move(frame)] { deliver(target, frame); });
}

void VirtualCluster::deliver(std::size_t to, const std::string &frame)
{
    VirtualInstance &receiver = at(to);
    if (!receiver.process || !receiver.process->isRunning(now()))
        return;
    receiver.bytesReceived += frame.size() + linkOverhead;
    const auto channel = frameChannel(frame);
    if (channel == FrameChannel::Membership)
        receiver.membership->handleFrame(now(), frame);
    else if (channel && receiver.onOtherFrame)
        receiver.onOtherFrame(*channel, frame);
}

bool VirtualCluster::isConverged()
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < size(); ++i)
        running += at(i).process && at(i).process->isAlive() ? 1 : 0;
    for (std::size_t i = 0; i < size(); ++i) {
        if (!at(i).process || !at(i).process->isAlive())
            continue;
        const PeerReachability reach = membership(i).reachability();
        if (reach.known != running || reach.alive != running)
            return false;
    }
    return true;
}

void VirtualCluster::resetCounts()
{
    for (const auto &instance : instances_) {
        instance->bytesSent = 0;
        instance->bytesReceived = 0;
        instance->framesSent = 0;
    }
}

} // namespace cuminrail
