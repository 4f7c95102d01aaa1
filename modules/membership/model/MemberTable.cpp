#include "membership/model/MemberTable.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Returns true if an update about the same incarnation overrides the known status. */
bool overrides(const MemberRecord &update, const MemberRecord &known)
{
    if (update.refutation != known.refutation)
        return update.refutation > known.refutation;
    return update.status > known.status;
}

} // namespace

MergeResult MemberTable::merge(const MemberRecord &update, Millis now)
{
    const auto found = entries_.find(update.id);
    if (found != entries_.end()) {
        const MergeResult result = mergeKnown(found->second, update, now);
        if (result == MergeResult::Changed)
            updateCounts();
        return result;
    }
    if (entries_.size() >= maxMembers)
        return MergeResult::Unchanged;
    MemberEntry entry;
    entry.record = update;
    updateStatusTimes(entry, now);
    entries_.emplace(update.id, std::move(entry));
    updateCounts();
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeKnown(MemberEntry &entry, const MemberRecord &update, Millis now)
{
    MemberRecord &known = entry.record;
    if (update.incarnation < known.incarnation)
        return MergeResult::Unchanged;
    if (update.incarnation > known.incarnation) {
        known = update;
        entry.unreachable = false;
        entry.settings = SettingsDigest();
        updateStatusTimes(entry, now);
        return MergeResult::Changed;
    }
    // A stopping instance may still refute a suspicion, or a delayed message of it may arrive. If
    // that reset "leaving", peers would assign it duties that it is about to drop.
    const bool wasLeaving = guardEnabled(Guard::MemberLeavingSticky) && known.leaving;
    const bool isLeaving = wasLeaving || update.leaving;
    MergeResult result = isLeaving != known.leaving ? MergeResult::Changed : MergeResult::Unchanged;
    if (overrides(update, known)) {
        known = update;
        updateStatusTimes(entry, now);
        result = MergeResult::Changed;
    }
    known.leaving = isLeaving;
    return result;
}

void MemberTable::updateStatusTimes(MemberEntry &entry, Millis now)
{
    const MemberStatus status = entry.record.status;
    if (status == MemberStatus::Alive)
        entry.unreachable = false;
    if (status != MemberStatus::Suspect)
        entry.suspectedAt = Millis::never();
    else
        entry.suspectedAt = std::min(entry.suspectedAt, now);
    entry.deadAt = status == MemberStatus::Dead ? now : Millis::never();
}

void MemberTable::removeDead(Millis now, Millis retention)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool isOld = entry->second.deadAt + retention <= now;
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

void MemberTable::updateCounts()
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
