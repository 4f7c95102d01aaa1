#include "instance/services/MemberService.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickPeriod{100};
/**
    Few instances read the list each second, so that a leaving upstream is noticed soon, and tell
    the others. The rest read it to find peers: at 370 instances 12 reads a second.
*/
constexpr Millis listTick{1000};
constexpr Millis listPeriod = Millis::seconds(30);

} // namespace

MemberService::MemberService(ControlPlane &control, const MemberRecord &self,
                             PeerTransport transport, FleetOrdering fleet,
                             std::function<SettingsDigest(Millis)> settingsDigest)
    : control_(control), fleet_(std::move(fleet)),
      membership_(MembershipConfig(), self,
                  hooksFor(std::move(transport), std::move(settingsDigest)))
{
    membership_.setSeeds(control_.context().config.peers);
    setFrameHook(FrameChannel::Membership, [this](const PeerAddress &, const std::string &frame) {
        membership_.handleFrame(control_.thread().deadlines().now(), frame);
    });
    control_.addStartHook([this] { readListIfDue(control_.thread().deadlines().now()); });
    control_.addTick(listTick, [this](Millis now) { readListIfDue(now); });
    control_.addTick(tickPeriod, [this](Millis now) { membership_.tick(now); });
    control_.addState("members", [this] { return describe(); });
}

MembershipHooks MemberService::hooksFor(PeerTransport transport,
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
    std::vector<MemberRecord> usable;
    if (!membership_.self().leaving)
        usable.push_back(membership_.self());
    for (const MemberView &member : membership_.members()) {
        if (member.isUsable())
            usable.push_back(member.record);
    }
    return usable;
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

void MemberService::readListIfDue(Millis now)
{
    const bool isReader = isListReader_ && isListReader_();
    if (!isReader && now < nextListAt_)
        return;
    nextListAt_ = now + listPeriod;
    fleet_.listInstances(
        [this](const std::optional<std::vector<ListedInstance>> &listed) { listRead(listed); });
}

void MemberService::listRead(const std::optional<std::vector<ListedInstance>> &listed)
{
    if (!listed)
        return;
    std::vector<ListedInstance> own;
    std::vector<ListedInstance> upstreams;
    for (const ListedInstance &entry : *listed)
        (entry.isOwn ? own : upstreams).push_back(entry);
    membership_.setListedInstances(own);
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
