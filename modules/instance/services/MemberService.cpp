#include "instance/services/MemberService.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickInterval{100};
/**
    A few instances read the platform's list every second, so that a leaving upstream is detected
    early, and announce it to the others. The rest read it at the longer interval to find peers;
    with 370 instances that makes 12 reads per second.
*/
constexpr Millis listCheckInterval{1000};
constexpr Millis listInterval = Millis::seconds(30);

} // namespace

MemberService::MemberService(ControlPlane &control, const MemberRecord &self,
                             PeerTransport transport, FleetOrdering fleet,
                             std::function<SettingsDigest(Millis)> settingsDigest)
    : control_(control), fleet_(std::move(fleet)),
      membership_(MembershipConfig(), self,
                  makeHooks(std::move(transport), std::move(settingsDigest)))
{
    membership_.setSeeds(control_.context().config.peers);
    setFrameHook(FrameChannel::Membership, [this](const PeerAddress &, const std::string &frame) {
        membership_.handleFrame(control_.thread().deadlines().now(), frame);
    });
    control_.addStartHook([this] { requestListIfDue(control_.thread().deadlines().now()); });
    control_.addTick(listCheckInterval, [this](Millis now) { requestListIfDue(now); });
    control_.addTick(tickInterval, [this](Millis now) { membership_.tick(now); });
    control_.addState("members", [this] { return describe(); });
}

MembershipHooks MemberService::makeHooks(PeerTransport transport,
                                         std::function<SettingsDigest(Millis)> settingsDigest)
{
    MembershipHooks hooks;
    hooks.transport = std::move(transport);
    hooks.random = seededRandom(std::random_device()());
    hooks.events = control_.context().events;
    hooks.settingsDigest = std::move(settingsDigest);
    hooks.onFact = [this](const UrgentFact &fact) {
        for (const auto &hook : factHooks_)
            hook(fact);
    };
    hooks.onPeerDigest = [this](const PeerDigest &digest) {
        for (const auto &hook : digestHooks_)
            hook(digest);
    };
    hooks.onMembersChanged = [this] {
        for (const auto &hook : changeHooks_)
            hook();
    };
    return hooks;
}

void MemberService::receive(const PeerAddress &from, const std::string &frame)
{
    const auto channel = frameChannel(frame);
    if (!channel)
        return;
    const auto hook = frameHooks_.find(*channel);
    if (hook != frameHooks_.end())
        hook->second(from, frame);
}

void MemberService::setFrameHook(FrameChannel channel, FrameHook hook)
{
    frameHooks_[channel] = std::move(hook);
}

void MemberService::addFactHook(std::function<void(const UrgentFact &)> hook)
{
    factHooks_.push_back(std::move(hook));
}

void MemberService::addDigestHook(std::function<void(const PeerDigest &)> hook)
{
    digestHooks_.push_back(std::move(hook));
}

void MemberService::addChangeHook(std::function<void()> hook)
{
    changeHooks_.push_back(std::move(hook));
}

std::vector<MemberRecord> MemberService::usable() const
{
    std::vector<MemberRecord> records;
    if (!membership_.self().leaving)
        records.push_back(membership_.self());
    for (const MemberView &member : membership_.members()) {
        if (member.isUsable())
            records.push_back(member.record);
    }
    return records;
}

std::vector<InstanceId> MemberService::usableIds() const
{
    const std::vector<MemberRecord> members = usable();
    std::vector<InstanceId> ids;
    ids.reserve(members.size());
    for (const MemberRecord &member : members)
        ids.push_back(member.id);
    return ids;
}

std::vector<PeerAddress> MemberService::neighbours() const
{
    NeighbourRing ring;
    ring.rebuild(membership_.self().id, usableIds());
    std::vector<PeerAddress> addresses;
    addresses.reserve(ring.neighbours().size());
    for (const InstanceId &neighbour : ring.neighbours())
        addresses.push_back(addressOf(neighbour));
    return addresses;
}

bool MemberService::isGone(const InstanceId &instance, Incarnation incarnation) const
{
    if (instance == membership_.self().id)
        return incarnation != membership_.self().incarnation;
    const auto member = membership_.member(instance);
    if (!member)
        return false;
    return member->record.incarnation > incarnation
        || (member->record.incarnation == incarnation
            && member->record.status == MemberStatus::Dead);
}

PeerAddress MemberService::addressOf(const InstanceId &instance) const
{
    const auto member = membership_.member(instance);
    return member ? member->record.address : PeerAddress();
}

void MemberService::setUpstreamListHook(
    std::function<void(const std::vector<ListedInstance> &)> hook)
{
    onUpstreamList_ = std::move(hook);
}

void MemberService::requestListIfDue(Millis now)
{
    const bool isListReader = isListReader_ && isListReader_();
    if (!isListReader && now < nextListRequestAt_)
        return;
    nextListRequestAt_ = now + listInterval;
    fleet_.listInstances(
        [this](const std::optional<std::vector<ListedInstance>> &listed) { handleList(listed); });
}

void MemberService::handleList(const std::optional<std::vector<ListedInstance>> &listed)
{
    if (!listed)
        return;
    std::vector<ListedInstance> ownInstances;
    std::vector<ListedInstance> upstreams;
    for (const ListedInstance &entry : *listed)
        (entry.isOwn ? ownInstances : upstreams).push_back(entry);
    membership_.setListedInstances(ownInstances);
    if (onUpstreamList_)
        onUpstreamList_(upstreams);
}

nlohmann::json MemberService::describe() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberView &member : membership_.members()) {
        members.push_back({{"id", member.record.id.text()},
                           {"incarnation", member.record.incarnation},
                           {"status", memberStatusNames.name(member.record.status)},
                           {"leaving", member.record.leaving},
                           {"unreachable", member.unreachable},
                           {"failure_domain", member.record.domain.text()},
                           {"address", member.record.address},
                           {"settings_version", member.settings.headVersion}});
    }
    const MembershipStats &stats = membership_.stats();
    return {{"self", membership_.self().id.text()},
            {"incarnation", membership_.self().incarnation},
            {"others", members},
            {"bytes_sent", stats.bytesSent},
            {"frames_sent", stats.framesSent}};
}

} // namespace cuminrail
