// What arrives: the part of Membership that takes messages and the news in them.

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "membership/Membership.h"
#include "membership/gossip/TableComparison.h"
#include "membership/messages/MembershipCodec.h"

namespace cuminrail {

namespace {

constexpr Millis kMalformedReportPeriod = Millis::minutes(1);

bool isRefutation(const MemberRecord &record)
{
    return record.status == MemberStatus::Alive && record.refutation > 0;
}

} // namespace

bool Membership::receive(Millis now, const std::string &frame)
{
    ++stats_.framesReceived;
    const auto message = decodeMembership(frame);
    if (message) {
        std::visit([&](const auto &typed) { handle(now, typed); }, *message);
        return true;
    }
    ++stats_.malformedFrames;
    if (!lastMalformedReport_ || now >= *lastMalformedReport_ + kMalformedReportPeriod) {
        lastMalformedReport_ = now;
        hooks_.events(
            Event{&events::peerFrameMalformed,
                  {{"channel", "membership"}, {"so_far", std::to_string(stats_.malformedFrames)}}});
    }
    return false;
}

void Membership::handle(Millis now, const PingMessage &message)
{
    takeSender(now, message.sender, std::nullopt);
    takeGossip(now, message.gossip, Spread::Full, message.sender.self.id);
    AckMessage ack;
    ack.sender = sender(now);
    ack.sequence = message.sequence;
    ack.answering = self_.id;
    ack.gossip = takeNews();
    send(message.sender.self.address, ack);
    compareTables(now, message.sender);
}

void Membership::handle(Millis now, const AckMessage &message)
{
    const auto probe = probes_.answered(message.sequence, message.answering);
    takeSender(now, message.sender, probe ? std::optional<Millis>(probe->startedAt) : std::nullopt);
    takeGossip(now, message.gossip, Spread::Full, message.sender.self.id);
    compareTables(now, message.sender);
    if (probe)
        return;
    const auto relayed = probes_.relayedAnswered(message.sequence, message.answering);
    if (!relayed)
        return;
    AckMessage ack;
    ack.sender = sender(now);
    ack.sequence = relayed->askerSequence;
    ack.answering = relayed->target;
    sendTo(relayed->asker, ack);
}

void Membership::handle(Millis now, const PingRequestMessage &message)
{
    takeSender(now, message.sender, std::nullopt);
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
    takeSender(now, message.sender, std::nullopt);
    SyncReplyMessage reply;
    reply.sender = sender(now);
    reply.gossip.members = recordsThatDiffer(table_, message.lines);
    if (message.wantsFacts && message.sender.factsHash != facts_.hash())
        reply.gossip.facts = facts_.page(factsPlace_, MembershipLimits::facts / 2);
    send(message.sender.self.address, reply);
}

void Membership::handle(Millis now, const SyncReplyMessage &message)
{
    takeSender(now, message.sender, std::nullopt);
    takeGossip(now, message.gossip, Spread::None, message.sender.self.id);
}

void Membership::handle(Millis now, const UrgentMessage &message)
{
    takeSender(now, message.sender, std::nullopt);
    takeGossip(now, message.gossip, Spread::Full, message.sender.self.id);
}

void Membership::takeSender(Millis now, const MessageSender &sender, std::optional<Millis> askedAt)
{
    if (sender.self.id == self_.id)
        return;
    takeRecord(now, sender.self);
    MemberEntry *entry = table_.find(sender.self.id);
    if (entry == nullptr || entry->record.incarnation != sender.self.incarnation)
        return;
    entry->settings = sender.settings;
    if (hooks_.onPeerDigest)
        hooks_.onPeerDigest(
            PeerDigest{sender.self.id, sender.self.address, sender.settings, askedAt});
}

// After a cut all members refute at once. Passing each on at once would multiply that by the
// neighbours of all; beyond a few a second they ride along, and comparing tables finds the rest.
bool Membership::mayForwardRefutation(Millis now)
{
    if (now >= refutationsSince_ + Millis::seconds(1)) {
        refutationsSince_ = now;
        refutationsForwarded_ = 0;
    }
    return refutationsForwarded_++ < config_.refutationsPerSecond;
}

void Membership::takeGossip(Millis now, const Gossip &gossip, Spread spread, const InstanceId &from)
{
    Gossip urgent;
    for (const MemberRecord &record : gossip.members) {
        // A refutation runs against the time that is left until the member is declared dead.
        const bool isUrgent = record.leaving || (isRefutation(record) && mayForwardRefutation(now));
        if (takeRecord(now, record, spread) && isUrgent)
            urgent.members.push_back(record);
    }
    for (const UrgentFact &fact : gossip.facts) {
        if (!facts_.add(fact))
            continue;
        if (spread == Spread::Full)
            updates_.add(fact);
        urgent.facts.push_back(fact);
        if (hooks_.onFact)
            hooks_.onFact(fact);
    }
    const bool hasUrgent = !urgent.members.empty() || !urgent.facts.empty();
    if (hasUrgent && spread == Spread::Full && guardEnabled(Guard::UrgentForwarded))
        forwardAtOnce(now, urgent, from);
}

bool Membership::takeRecord(Millis now, const MemberRecord &record, Spread spread)
{
    if (record.id == self_.id) {
        refute(now, record);
        return false;
    }
    const MemberEntry *entry = table_.find(record.id);
    const auto before = entry == nullptr ? std::nullopt : std::optional(entry->record);
    if (table_.merge(record, now) == MergeResult::Old)
        return false;
    entry = table_.find(record.id);
    if (entry == nullptr)
        return false;
    if (spread == Spread::Full)
        updates_.add(entry->record);
    reportChange(entry->record, before);
    membersChanged();
    return true;
}

void Membership::reportChange(const MemberRecord &known, const std::optional<MemberRecord> &before)
{
    const bool isSameLife = before && before->incarnation == known.incarnation;
    const MemberStatus oldStatus = isSameLife ? before->status : MemberStatus::Alive;
    const bool isDead = known.status == MemberStatus::Dead;
    if (!isSameLife && !isDead)
        report(events::peerJoined, known);
    if (known.leaving && !(isSameLife && before->leaving))
        report(events::peerLeaving, known);
    if (known.status == MemberStatus::Suspect && oldStatus == MemberStatus::Alive)
        report(events::peerSuspected, known);
    if (isDead && oldStatus != MemberStatus::Dead && !known.leaving)
        report(events::peerDeclaredDead, known);
}

// Somebody lost sight of this instance and is about to have it declared dead. Only the instance
// itself may contradict, by a higher refutation number; else news of one life could never settle.
void Membership::refute(Millis now, const MemberRecord &claim)
{
    const bool isAboutThisLife = claim.incarnation == self_.incarnation;
    if (!isAboutThisLife || claim.status == MemberStatus::Alive
        || claim.refutation < self_.refutation || !guardEnabled(Guard::SuspicionRefuted))
        return;
    self_.refutation = claim.refutation + 1;
    updates_.add(self_);
    tableHash_.reset();
    forwardAtOnce(now, Gossip{{self_}, {}}, self_.id);
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
    if (now < *tablesDifferSince_ + config_.syncPatience || now < nextSyncAt_)
        return;
    tablesDifferSince_.reset();
    sendSyncRequest(now, sender.self.address, factsDiffer);
}

} // namespace cuminrail
