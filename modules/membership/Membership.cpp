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

/** Returns a span of the given length, moved by up to a quarter either way. */
Millis jittered(Millis span, const RandomHook &random)
{
    const std::int64_t half = std::max<std::int64_t>(span.count() / 2, 1);
    const auto offset = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(half));
    return span - Millis(half / 2) + Millis(offset);
}

} // namespace

Membership::Membership(MembershipConfig config, MemberRecord self, MembershipHooks hooks)
    : config_(config), self_(std::move(self)), hooks_(std::move(hooks)),
      probes_(config.probeTimeout, config.indirectTimeout),
      silenceBound_(config.silentShare, config.silentWindow)
{ }

void Membership::setListed(const std::vector<ListedInstance> &listed)
{
    listed_.clear();
    for (const ListedInstance &instance : listed) {
        if (instance.isOwn)
            listed_.push_back(instance.address);
    }
}

void Membership::tick(Millis now)
{
    noticeOwnPause(now);
    lastTick_ = now;
    followUpProbes(now);
    settleSuspicions(now);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + jittered(config_.probePeriod, hooks_.random);
        probeNext(now);
    }
    if (now >= nextContactAt_) {
        const bool isAlone = table_.livingCount() == 0;
        const Millis period = isAlone ? config_.firstContactPeriod : config_.contactPeriod;
        nextContactAt_ = now + jittered(period, hooks_.random);
        contactOthers(now);
        table_.forgetDead(now, config_.deadRetention);
    }
}

// A process that was paused finds all its probes overdue and all suspicions expired, though
// nobody but itself was silent. Believing that, it would declare healthy instances dead.
void Membership::noticeOwnPause(Millis now)
{
    if (!lastTick_ || !guardEnabled(Guard::PauseNoticed))
        return;
    const Millis gap = now - *lastTick_;
    if (gap <= config_.ownPause)
        return;
    probes_.clear();
    for (const InstanceId &id : table_.suspects())
        table_.find(id)->suspectSince += gap;
    hooks_.events(Event{&events::ownPauseNoticed, {{"gap_ms", std::to_string(gap.count())}}});
}

void Membership::probeNext(Millis now)
{
    const auto &neighbours = ring().neighbours();
    const bool isAnySilent =
        std::any_of(neighbours.begin(), neighbours.end(), [this](const InstanceId &neighbour) {
            return !probes_.lastAnswer(neighbour).value_or(true);
        });
    if (isAnySilent && hooks_.random() % 2 == 0 && probeDistant(now))
        return;
    for (std::size_t tried = 0; tried < neighbours.size(); ++tried) {
        const InstanceId target = neighbours[nextNeighbour_++ % neighbours.size()];
        if (probes_.isProbing(target))
            continue;
        probe(now, target);
        return;
    }
}

// An instance that is cut off hears nothing of members that it does not probe itself, and would
// go on taking them for alive. So a silence among the neighbours makes it look at others too.
bool Membership::probeDistant(Millis now)
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
    ping.gossip = takeNews();
    // A suspected member must hear of it, or it could not refute.
    if (entry->record.status != MemberStatus::Alive)
        ping.gossip.members.push_back(entry->record);
    send(entry->record.address, ping);
}

void Membership::followUpProbes(Millis now)
{
    const OverdueProbes overdue = probes_.overdue(now);
    for (const std::uint64_t sequence : overdue.toConfirm)
        askOthers(now, sequence);
    for (const InstanceId &id : overdue.silent)
        suspect(now, id);
}

void Membership::askOthers(Millis now, std::uint64_t sequence)
{
    const OutstandingProbe *probe = probes_.find(sequence);
    const MemberEntry *target = table_.find(probe->target);
    if (target == nullptr || target->record.status != MemberStatus::Alive)
        return;
    std::vector<InstanceId> helpers;
    for (const auto &item : table_.entries()) {
        const bool answers = item.second.record.status == MemberStatus::Alive;
        if (answers && item.first != probe->target)
            helpers.push_back(item.first);
    }
    for (std::uint32_t i = 0; i < config_.helpers && !helpers.empty(); ++i) {
        const std::size_t pick = hooks_.random() % helpers.size();
        sendTo(helpers[pick], PingRequestMessage{sender(now), sequence, probe->target});
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void Membership::suspect(Millis now, const InstanceId &id)
{
    const MemberEntry *entry = table_.find(id);
    if (entry == nullptr || entry->record.status != MemberStatus::Alive)
        return;
    MemberRecord claim = entry->record;
    claim.status = MemberStatus::Suspect;
    takeRecord(now, claim);
}

void Membership::settleSuspicions(Millis now)
{
    const Millis timeout = config_.suspicionBase + config_.suspicionStep * doublings();
    for (const InstanceId &id : table_.suspects()) {
        MemberEntry &entry = *table_.find(id);
        const MemberRecord &record = entry.record;
        if (!record.leaving && now < entry.suspectSince + timeout)
            continue;
        // Who announced its stop is not missed: its silence is the end of it.
        const bool mayDeclare =
            record.leaving || silenceBound_.mayDeclareDead(table_, self_, record.region, now);
        if (mayDeclare)
            declareDead(now, entry);
        else
            keepUnreachable(entry);
    }
}

void Membership::declareDead(Millis now, MemberEntry &entry)
{
    MemberRecord claim = entry.record;
    claim.status = MemberStatus::Dead;
    ++stats_.declaredDead;
    panicRegions_.erase(claim.region);
    takeRecord(now, claim);
}

void Membership::keepUnreachable(MemberEntry &entry)
{
    if (entry.unreachable)
        return;
    entry.unreachable = true;
    if (panicRegions_.insert(entry.record.region).second)
        report(events::tooManySilent, entry.record);
    membersChanged();
}

void Membership::contactOthers(Millis now)
{
    const auto addresses = contactAddresses();
    if (addresses.empty())
        return;
    sendSyncRequest(now, addresses[hooks_.random() % addresses.size()], true);
}

std::vector<PeerAddress> Membership::contactAddresses() const
{
    std::set<PeerAddress> candidates(seeds_.begin(), seeds_.end());
    candidates.insert(listed_.begin(), listed_.end());
    for (const auto &item : table_.entries()) {
        const MemberRecord &record = item.second.record;
        // A member declared dead by mistake, or after a cut, is found again this way.
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

void Membership::forwardAtOnce(Millis now, const Gossip &news, const InstanceId &except)
{
    std::set<InstanceId> targets(ring().neighbours().begin(), ring().neighbours().end());
    targets.insert(ring_.watchers().begin(), ring_.watchers().end());
    targets.erase(except);
    const UrgentMessage message{sender(now), news};
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
    forwardAtOnce(now, Gossip{{self_}, {}}, self_.id);
}

void Membership::broadcast(Millis now, const UrgentFact &fact)
{
    if (!facts_.add(fact))
        return;
    updates_.add(fact);
    forwardAtOnce(now, Gossip{{}, {fact}}, self_.id);
}

void Membership::announceDigest(Millis now)
{
    forwardAtOnce(now, Gossip(), self_.id);
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

PeerReach Membership::reach() const
{
    PeerReach reach;
    for (const auto &item : table_.entries()) {
        const MemberRecord &record = item.second.record;
        if (record.status == MemberStatus::Dead || record.leaving)
            continue;
        ++reach.known;
        if (record.status == MemberStatus::Alive)
            ++reach.alive;
    }
    for (const InstanceId &neighbour : ring_.neighbours()) {
        const auto answer = probes_.lastAnswer(neighbour);
        if (!answer)
            continue;
        ++reach.probed;
        if (*answer)
            ++reach.answered;
    }
    return reach;
}

void Membership::membersChanged()
{
    ringIsOld_ = true;
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

Gossip Membership::takeNews()
{
    return updates_.take(config_.gossipBytes, doublings() + config_.extraSends);
}

std::uint32_t Membership::doublings() const
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
    request.lines = summarize(table_, self_);
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
    if (ringIsOld_) {
        ring_.rebuild(self_.id, table_.livingIds());
        probes_.retainResults(ring_.neighbours());
        ringIsOld_ = false;
    }
    return ring_;
}

void Membership::report(const EventKind &kind, const MemberRecord &about)
{
    hooks_.events(Event{&kind,
                        {{"peer", about.id.text()},
                         {"incarnation", std::to_string(about.incarnation)},
                         {"domain", about.domain.text()},
                         {"region", about.region.text()}}});
}

} // namespace cuminrail
