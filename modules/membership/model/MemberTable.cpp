#include "membership/model/MemberTable.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Returns true when news of the same life overrides what is known of the member's silence. */
bool overrides(const MemberRecord &news, const MemberRecord &known)
{
    if (news.refutation != known.refutation)
        return news.refutation > known.refutation;
    return news.status > known.status;
}

} // namespace

MergeResult MemberTable::merge(const MemberRecord &news, Millis now)
{
    const auto found = entries_.find(news.id);
    if (found != entries_.end()) {
        const MergeResult result = mergeKnown(found->second, news, now);
        if (result == MergeResult::News)
            count();
        return result;
    }
    if (entries_.size() >= maxMembers)
        return MergeResult::Old;
    MemberEntry entry;
    entry.record = news;
    noteStatusTimes(entry, now);
    entries_.emplace(news.id, std::move(entry));
    count();
    return MergeResult::News;
}

MergeResult MemberTable::mergeKnown(MemberEntry &entry, const MemberRecord &news, Millis now)
{
    MemberRecord &known = entry.record;
    if (news.incarnation < known.incarnation)
        return MergeResult::Old;
    if (news.incarnation > known.incarnation) {
        known = news;
        entry.unreachable = false;
        entry.settings = SettingsDigest();
        noteStatusTimes(entry, now);
        return MergeResult::News;
    }
    // An instance that is stopping refutes a suspicion, or an old message of its arrives late. If
    // that took "leaving" back, peers would hand it duties that it is about to drop.
    const bool wasLeaving = guardEnabled(Guard::MemberLeavingSticky) && known.leaving;
    const bool isLeaving = wasLeaving || news.leaving;
    MergeResult result = isLeaving != known.leaving ? MergeResult::News : MergeResult::Old;
    if (overrides(news, known)) {
        known = news;
        noteStatusTimes(entry, now);
        result = MergeResult::News;
    }
    known.leaving = isLeaving;
    return result;
}

void MemberTable::noteStatusTimes(MemberEntry &entry, Millis now)
{
    const MemberStatus status = entry.record.status;
    if (status == MemberStatus::Alive)
        entry.unreachable = false;
    if (status != MemberStatus::Suspect)
        entry.suspectSince = Millis::never();
    else
        entry.suspectSince = std::min(entry.suspectSince, now);
    entry.deadSince = status == MemberStatus::Dead ? now : Millis::never();
}

void MemberTable::forgetDead(Millis now, Millis after)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool isOld = entry->second.deadSince + after <= now;
        entry = isOld ? entries_.erase(entry) : std::next(entry);
    }
}

const MemberEntry *MemberTable::find(const InstanceId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

MemberEntry *MemberTable::find(const InstanceId &id)
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberTable::livingIds() const
{
    std::vector<InstanceId> ids;
    for (const auto &entry : entries_) {
        if (entry.second.record.status != MemberStatus::Dead)
            ids.push_back(entry.first);
    }
    return ids;
}

std::vector<InstanceId> MemberTable::suspects() const
{
    std::vector<InstanceId> ids;
    if (suspectCount_ == 0)
        return ids;
    for (const auto &entry : entries_) {
        if (entry.second.record.status == MemberStatus::Suspect)
            ids.push_back(entry.first);
    }
    return ids;
}

void MemberTable::count()
{
    livingCount_ = 0;
    suspectCount_ = 0;
    for (const auto &entry : entries_) {
        livingCount_ += entry.second.record.status != MemberStatus::Dead ? 1 : 0;
        suspectCount_ += entry.second.record.status == MemberStatus::Suspect ? 1 : 0;
    }
}

std::uint64_t MemberTable::hash() const
{
    std::uint64_t sum = 0;
    for (const auto &entry : entries_) {
        if (entry.second.record.status != MemberStatus::Dead)
            sum ^= hash(entry.second.record);
    }
    return sum;
}

std::uint64_t MemberTable::hash(const MemberRecord &record)
{
    return StableHash()
        .add(record.id.text())
        .add(record.incarnation)
        .add(record.refutation)
        .add(std::uint64_t(record.leaving))
        .value();
}

} // namespace cuminrail
