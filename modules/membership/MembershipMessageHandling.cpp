// The part of Membership that handles received messages and the updates in them.

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "membership/Membership.h"
#include "membership/gossip/TableComparison.h"
#include "membership/messages/MembershipCodec.h"

namespace cuminrail {

namespace {

constexpr Millis kMalformedEventInterval = Millis::minutes(1);

bool isRefutation(const MemberRecord &record)
{
    return record.status == MemberStatus::Alive && record.refutation > 0;
}

} // namespace

bool Membership::handleFrame(Millis now, const std::string &frame)
{
    ++stats_.framesReceived;
    const auto message = decodeMembership(frame);
    if (message) {
        std::visit([&](const auto &typed) { handle(now, typed); }, *message);
        return true;
    }
    ++stats_.malformedFrames;
    if (!lastMalformedEventAt_ || now >= *lastMalformedEventAt_ + kMalformedEventInterval) {
        lastMalformedEventAt_ = now;
        hooks_.events(
            Event{&events::peerFrameMalformed,
                  {{"channel", "membership"}, {"so_far", std::to_string(stats_.malformedFrames)}}});
    }
    return false;
}

void Membership::handle(Millis now, const PingMessage &message)
{
    processSender(now, message.sender, std::nullopt);
    processGossip(now, message.gossip, Forwarding::Full, message.sender.self.id);
    AckMessage ack;
    ack.sender = sender(now);
    ack.sequence = message.sequence;
    ack.responder = self_.id;
    ack.gossip = takeUpdates();
    send(message.sender.self.address, ack);
    compareTables(now, message.sender);
}

void Membership::handle(Millis now, const AckMessage &message)
{
    const auto probe = probes_.handleAck(message.sequence, message.responder);
    processSender(now, message.sender,
                  probe ? std::optional<Millis>(probe->startedAt) : std::nullopt);
    processGossip(now, message.gossip, Forwarding::Full, message.sender.self.id);
    compareTables(now, message.sender);
    if (probe)
        return;
    const auto relayed = probes_.handleRelayedAck(message.sequence, message.responder);
    if (!relayed)
        return;
    AckMessage ack;
    ack.sender = sender(now);
    ack.sequence = relayed->requesterSequence;
    ack.responder = relayed->target;
    sendTo(relayed->requester, ack);
}

void Membership::handle(Millis now, const PingRequestMessage &message)
{
    processSender(now, message.sender, std::nullopt);
    const MemberEntry *target = table_.find(message.target);
    if (target == nullptr)
        return;
    PingMessage ping;
    ping.sender = sender(now);
    ping.sequence = probes_.beginRelayed(
        RelayedProbe{message.target, message.sender.self.id, message.sequence, now});
    send(target->record.address, ping);
}

void Membership::handle(Millis now, const SyncRequestMessage &message)
{
    processSender(now, message.sender, std::nullopt);
    SyncReplyMessage reply;
    reply.sender = sender(now);
    reply.gossip.members = differingRecords(table_, message.entries);
    if (message.wantsFacts && message.sender.factsHash != facts_.hash())
        reply.gossip.facts = facts_.page(factsCursor_, MembershipLimits::facts / 2);
    send(message.sender.self.address, reply);
}

void Membership::handle(Millis now, const SyncReplyMessage &message)
{
    processSender(now, message.sender, std::nullopt);
    processGossip(now, message.gossip, Forwarding::None, message.sender.self.id);
}

void Membership::handle(Millis now, const UrgentMessage &message)
{
    processSender(now, message.sender, std::nullopt);
    processGossip(now, message.gossip, Forwarding::Full, message.sender.self.id);
}

void Membership::processSender(Millis now, const MessageSender &sender,
                               std::optional<Millis> querySentAt)
{
    if (sender.self.id == self_.id)
        return;
    mergeRecord(now, sender.self);
    MemberEntry *entry = table_.find(sender.self.id);
    if (entry == nullptr || entry->record.incarnation != sender.self.incarnation)
        return;
    entry->settings = sender.settings;
    if (hooks_.onPeerDigest)
        hooks_.onPeerDigest(
            PeerDigest{sender.self.id, sender.self.address, sender.settings, querySentAt});
}

// After a network partition all members refute at the same time, and forwarding each refutation
// immediately would multiply them by the number of neighbours. Beyond a few per second they are
// only piggybacked, and table comparisons find the rest.
bool Membership::mayForwardRefutation(Millis now)
{
    if (now >= refutationWindowStart_ + Millis::seconds(1)) {
        refutationWindowStart_ = now;
        refutationsForwarded_ = 0;
    }
    return refutationsForwarded_++ < config_.maxRefutationsPerSecond;
}

void Membership::processGossip(Millis now, const Gossip &gossip, Forwarding forwarding,
                               const InstanceId &from)
{
    Gossip urgent;
    for (const MemberRecord &record : gossip.members) {
        // A refutation has to arrive before the suspicion timeout of the member expires.
        const bool isUrgent = record.leaving || (isRefutation(record) && mayForwardRefutation(now));
        if (mergeRecord(now, record, forwarding) && isUrgent)
            urgent.members.push_back(record);
    }
    for (const UrgentFact &fact : gossip.facts) {
        if (!facts_.add(fact))
            continue;
        if (forwarding == Forwarding::Full)
            updates_.add(fact);
        urgent.facts.push_back(fact);
        if (hooks_.onFact)
            hooks_.onFact(fact);
    }
    const bool hasUrgent = !urgent.members.empty() || !urgent.facts.empty();
    if (hasUrgent && forwarding == Forwarding::Full && guardEnabled(Guard::UrgentForwarded))
        sendUrgent(now, urgent, from);
}

bool Membership::mergeRecord(Millis now, const MemberRecord &record, Forwarding forwarding)
{
    if (record.id == self_.id) {
        refute(now, record);
        return false;
    }
    const MemberEntry *entry = table_.find(record.id);
    const auto previous = entry == nullptr ? std::nullopt : std::optional(entry->record);
    if (table_.merge(record, now) == MergeResult::Unchanged)
        return false;
    entry = table_.find(record.id);
    if (entry == nullptr)
        return false;
    if (forwarding == Forwarding::Full)
        updates_.add(entry->record);
    emitChangeEvents(entry->record, previous);
    membersChanged();
    return true;
}

void Membership::emitChangeEvents(const MemberRecord &known,
                                  const std::optional<MemberRecord> &previous)
{
    const bool isSameIncarnation = previous && previous->incarnation == known.incarnation;
    const MemberStatus previousStatus = isSameIncarnation ? previous->status : MemberStatus::Alive;
    const bool isDead = known.status == MemberStatus::Dead;
    if (!isSameIncarnation && !isDead)
        emitEvent(events::peerJoined, known);
    if (known.leaving && !(isSameIncarnation && previous->leaving))
        emitEvent(events::peerLeaving, known);
    if (known.status == MemberStatus::Suspect && previousStatus == MemberStatus::Alive)
        emitEvent(events::peerSuspected, known);
    if (isDead && previousStatus != MemberStatus::Dead && !known.leaving)
        emitEvent(events::peerDeclaredDead, known);
}

// A peer suspects this instance or declared it dead. Only the instance itself may contradict, with
// a higher refutation number; otherwise conflicting updates about one incarnation would never
// converge.
void Membership::refute(Millis now, const MemberRecord &claim)
{
    const bool isAboutThisIncarnation = claim.incarnation == self_.incarnation;
    if (!isAboutThisIncarnation || claim.status == MemberStatus::Alive
        || claim.refutation < self_.refutation || !guardEnabled(Guard::SuspicionRefuted))
        return;
    self_.refutation = claim.refutation + 1;
    updates_.add(self_);
    tableHash_.reset();
    sendUrgent(now, Gossip{{self_}, {}}, self_.id);
}

void Membership::compareTables(Millis now, const MessageSender &sender)
{
    const bool factsDiffer = sender.factsHash != facts_.hash();
    if (sender.tableHash == tableHash() && !factsDiffer) {
        tablesDifferSince_.reset();
        return;
    }
    if (!tablesDifferSince_)
        tablesDifferSince_ = now;
    if (now < *tablesDifferSince_ + config_.syncDelay || now < nextSyncAt_)
        return;
    tablesDifferSince_.reset();
    sendSyncRequest(now, sender.self.address, factsDiffer);
}

} // namespace cuminrail
