#include "membership/Membership.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "membership/gossip/TableComparison.h"
#include "membership/messages/MembershipCodec.h"

#include <algorithm>

namespace cuminrail {

namespace {

std::uint32_t ceilLog2(std::size_t number)
{
    std::uint32_t result = 0;
    while ((std::size_t(1) << result) < number)
        ++result;
    return result;
}

/** Returns the duration with up to 25 % of random jitter in either direction. */
Millis jittered(Millis duration, const RandomHook &random)
{
    const std::int64_t half = std::max<std::int64_t>(duration.count() / 2, 1);
    const auto offset = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(half));
    return duration - Millis(half / 2) + Millis(offset);
}

} // namespace

Membership::Membership(MembershipConfig config, MemberRecord self, MembershipHooks hooks)
    : config_(config), self_(std::move(self)), hooks_(std::move(hooks)),
      probes_(config.probeTimeout, config.indirectTimeout),
      deadDeclarationLimit_(config.maxUnresponsiveShare, config.unresponsiveWindow)
{ }

void Membership::setListedInstances(const std::vector<ListedInstance> &listed)
{
    listedAddresses_.clear();
    for (const ListedInstance &instance : listed) {
        if (instance.isOwn)
            listedAddresses_.push_back(instance.address);
    }
}

void Membership::tick(Millis now)
{
    detectOwnPause(now);
    lastTick_ = now;
    handleOverdueProbes(now);
    resolveSuspicions(now);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + jittered(config_.probePeriod, hooks_.random);
        probeNext(now);
    }
    if (now >= nextContactAt_) {
        const bool hasNoPeers = table_.livingCount() == 0;
        const Millis period = hasNoPeers ? config_.firstContactInterval : config_.contactInterval;
        nextContactAt_ = now + jittered(period, hooks_.random);
        contactUnknownInstance(now);
        table_.removeDead(now, config_.deadRetention);
    }
}

// After a pause of this process (a suspended machine, for instance) all its probes are overdue and
// all suspicions have timed out, although no other member was unresponsive. Without this check it
// would declare healthy instances dead.
void Membership::detectOwnPause(Millis now)
{
    if (!lastTick_ || !guardEnabled(Guard::PauseNoticed))
        return;
    const Millis gap = now - *lastTick_;
    if (gap <= config_.maxTickGap)
        return;
    probes_.clear();
    for (const InstanceId &id : table_.suspects())
        table_.find(id)->suspectedAt += gap;
    hooks_.events(Event{&events::ownPauseNoticed, {{"gap_ms", std::to_string(gap.count())}}});
}

void Membership::probeNext(Millis now)
{
    const auto &neighbours = ring().neighbours();
    const bool isAnyUnresponsive =
        std::any_of(neighbours.begin(), neighbours.end(), [this](const InstanceId &neighbour) {
            return !probes_.lastProbeSucceeded(neighbour).value_or(true);
        });
    if (isAnyUnresponsive && hooks_.random() % 2 == 0 && probeRandomMember(now))
        return;
    for (std::size_t tried = 0; tried < neighbours.size(); ++tried) {
        const InstanceId target = neighbours[nextNeighbour_++ % neighbours.size()];
        if (probes_.isProbing(target))
            continue;
        probe(now, target);
        return;
    }
}

// An isolated instance receives no state of members that it does not probe itself, and would go on
// treating them as alive. When a neighbour does not respond, every second probe on average
// therefore goes to a random member.
bool Membership::probeRandomMember(Millis now)
{
    std::vector<InstanceId> candidates;
    for (const auto &item : table_.entries()) {
        if (item.second.record.status == MemberStatus::Alive && !probes_.isProbing(item.first))
            candidates.push_back(item.first);
    }
    if (candidates.empty())
        return false;
    probe(now, candidates[hooks_.random() % candidates.size()]);
    return true;
}

void Membership::probe(Millis now, const InstanceId &member)
{
    const MemberEntry *entry = table_.find(member);
    if (entry == nullptr)
        return;
    PingMessage ping;
    ping.sequence = probes_.begin(member, now);
    ping.sender = sender(now);
    ping.gossip = takeUpdates();
    // A suspected member has to learn of the suspicion to be able to refute it.
    if (entry->record.status != MemberStatus::Alive)
        ping.gossip.members.push_back(entry->record);
    send(entry->record.address, ping);
}

void Membership::handleOverdueProbes(Millis now)
{
    const OverdueProbes overdue = probes_.overdue(now);
    for (const std::uint64_t sequence : overdue.toConfirm)
        requestIndirectProbes(now, sequence);
    for (const InstanceId &id : overdue.unanswered)
        suspect(now, id);
}

void Membership::requestIndirectProbes(Millis now, std::uint64_t sequence)
{
    const OutstandingProbe *probe = probes_.find(sequence);
    const MemberEntry *target = table_.find(probe->target);
    if (target == nullptr || target->record.status != MemberStatus::Alive)
        return;
    std::vector<InstanceId> indirectProbers;
    for (const auto &item : table_.entries()) {
        const bool isAlive = item.second.record.status == MemberStatus::Alive;
        if (isAlive && item.first != probe->target)
            indirectProbers.push_back(item.first);
    }
    for (std::uint32_t i = 0; i < config_.indirectProbers && !indirectProbers.empty(); ++i) {
        const std::size_t pick = hooks_.random() % indirectProbers.size();
        sendTo(indirectProbers[pick], PingRequestMessage{sender(now), sequence, probe->target});
        indirectProbers.erase(indirectProbers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void Membership::suspect(Millis now, const InstanceId &id)
{
    const MemberEntry *entry = table_.find(id);
    if (entry == nullptr || entry->record.status != MemberStatus::Alive)
        return;
    MemberRecord claim = entry->record;
    claim.status = MemberStatus::Suspect;
    mergeRecord(now, claim);
}

void Membership::resolveSuspicions(Millis now)
{
    const Millis timeout =
        config_.suspicionTimeoutBase + config_.suspicionTimeoutStep * memberCountDoublings();
    for (const InstanceId &id : table_.suspects()) {
        MemberEntry &entry = *table_.find(id);
        const MemberRecord &record = entry.record;
        if (!record.leaving && now < entry.suspectedAt + timeout)
            continue;
        // A member that announced its planned stop is expected to become unresponsive, so it is
        // declared dead without waiting for the suspicion timeout.
        const bool mayDeclare = record.leaving
            || deadDeclarationLimit_.mayDeclareDead(table_, self_, record.region, now);
        if (mayDeclare)
            declareDead(now, entry);
        else
            markUnreachable(entry);
    }
}

void Membership::declareDead(Millis now, MemberEntry &entry)
{
    MemberRecord claim = entry.record;
    claim.status = MemberStatus::Dead;
    ++stats_.declaredDead;
    regionsOverLimit_.erase(claim.region);
    mergeRecord(now, claim);
}

void Membership::markUnreachable(MemberEntry &entry)
{
    if (entry.unreachable)
        return;
    entry.unreachable = true;
    if (regionsOverLimit_.insert(entry.record.region).second)
        emitEvent(events::tooManySilent, entry.record);
    membersChanged();
}

void Membership::contactUnknownInstance(Millis now)
{
    const auto addresses = contactAddresses();
    if (addresses.empty())
        return;
    sendSyncRequest(now, addresses[hooks_.random() % addresses.size()], true);
}

std::vector<PeerAddress> Membership::contactAddresses() const
{
    std::set<PeerAddress> candidates(seeds_.begin(), seeds_.end());
    candidates.insert(listedAddresses_.begin(), listedAddresses_.end());
    for (const auto &item : table_.entries()) {
        const MemberRecord &record = item.second.record;
        // Dead members stay contact addresses, so that a member declared dead by mistake or during
        // a network partition is rediscovered.
        if (record.status == MemberStatus::Dead && !record.leaving)
            candidates.insert(record.address);
    }
    for (const auto &item : table_.entries()) {
        if (item.second.record.status != MemberStatus::Dead)
            candidates.erase(item.second.record.address);
    }
    candidates.erase(self_.address);
    return {candidates.begin(), candidates.end()};
}

void Membership::sendUrgent(Millis now, const Gossip &updates, const InstanceId &except)
{
    std::set<InstanceId> targets(ring().neighbours().begin(), ring().neighbours().end());
    targets.insert(ring_.reverseNeighbours().begin(), ring_.reverseNeighbours().end());
    targets.erase(except);
    const UrgentMessage message{sender(now), updates};
    for (const InstanceId &target : targets) {
        const MemberEntry *entry = table_.find(target);
        if (entry != nullptr && !entry->unreachable)
            send(entry->record.address, message);
    }
}

void Membership::leave(Millis now)
{
    if (self_.leaving)
        return;
    self_.leaving = true;
    tableHash_.reset();
    updates_.add(self_);
    sendUrgent(now, Gossip{{self_}, {}}, self_.id);
}

void Membership::broadcast(Millis now, const UrgentFact &fact)
{
    if (!facts_.add(fact))
        return;
    updates_.add(fact);
    sendUrgent(now, Gossip{{}, {fact}}, self_.id);
}

void Membership::announceDigest(Millis now)
{
    sendUrgent(now, Gossip(), self_.id);
}

std::vector<MemberView> Membership::members() const
{
    std::vector<MemberView> views;
    for (const auto &item : table_.entries()) {
        const MemberEntry &entry = item.second;
        if (entry.record.status != MemberStatus::Dead)
            views.push_back(MemberView{entry.record, entry.unreachable, entry.settings});
    }
    return views;
}

std::optional<MemberView> Membership::member(const InstanceId &id) const
{
    const MemberEntry *entry = table_.find(id);
    if (entry == nullptr)
        return std::nullopt;
    return MemberView{entry->record, entry->unreachable, entry->settings};
}

PeerReachability Membership::reachability() const
{
    PeerReachability reach;
    for (const auto &item : table_.entries()) {
        const MemberRecord &record = item.second.record;
        if (record.status == MemberStatus::Dead || record.leaving)
            continue;
        ++reach.known;
        if (record.status == MemberStatus::Alive)
            ++reach.alive;
    }
    for (const InstanceId &neighbour : ring_.neighbours()) {
        const auto succeeded = probes_.lastProbeSucceeded(neighbour);
        if (!succeeded)
            continue;
        ++reach.probed;
        if (*succeeded)
            ++reach.responded;
    }
    return reach;
}

void Membership::membersChanged()
{
    ringIsStale_ = true;
    tableHash_.reset();
    if (hooks_.onMembersChanged)
        hooks_.onMembersChanged();
}

std::uint64_t Membership::tableHash() const
{
    if (!tableHash_)
        tableHash_ = table_.hash() ^ MemberTable::hash(self_);
    return *tableHash_;
}

MessageSender Membership::sender(Millis now) const
{
    return MessageSender{self_, hooks_.settingsDigest(now), tableHash(), facts_.hash()};
}

Gossip Membership::takeUpdates()
{
    return updates_.take(config_.maxGossipBytes, memberCountDoublings() + config_.extraSends);
}

std::uint32_t Membership::memberCountDoublings() const
{
    return ceilLog2(table_.livingCount() + 1);
}

void Membership::sendSyncRequest(Millis now, const PeerAddress &to, bool wantsFacts)
{
    nextSyncAt_ = now + jittered(config_.syncPeriod, hooks_.random);
    ++stats_.syncs;
    SyncRequestMessage request;
    request.sender = sender(now);
    request.wantsFacts = wantsFacts;
    request.entries = summarize(table_, self_);
    send(to, request);
}

void Membership::send(const PeerAddress &to, const MembershipMessage &message)
{
    std::string frame = encodeMembership(message);
    ++stats_.framesSent;
    stats_.bytesSent += frame.size();
    hooks_.transport.send(to, std::move(frame));
}

void Membership::sendTo(const InstanceId &id, const MembershipMessage &message)
{
    if (const MemberEntry *entry = table_.find(id))
        send(entry->record.address, message);
}

const NeighbourRing &Membership::ring()
{
    if (ringIsStale_) {
        ring_.rebuild(self_.id, table_.livingIds());
        probes_.retainResults(ring_.neighbours());
        ringIsStale_ = false;
    }
    return ring_;
}

void Membership::emitEvent(const EventKind &kind, const MemberRecord &about)
{
    hooks_.events(Event{&kind,
                        {{"peer", about.id.text()},
                         {"incarnation", std::to_string(about.incarnation)},
                         {"domain", about.domain.text()},
                         {"region", about.region.text()}}});
}

} // namespace cuminrail
