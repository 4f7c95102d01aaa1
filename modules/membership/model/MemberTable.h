#pragma once

#include "membership/model/Member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail {

/** What became of a piece of news. */
enum class MergeResult : std::uint8_t {
    /** Nothing new: known, or overridden by what is known. */
    Old,
    /** Changed what is known: pass it on. */
    News,
};

/** A member with what is known of it here alone. */
struct MemberEntry
{
    MemberRecord record;
    /** When its silence was first told, by this instance's clock; never() when it answers. */
    Millis suspectSince = Millis::never();
    /** When it was declared dead; its entry is kept for a while so that old news cannot revive it.
     */
    Millis deadSince = Millis::never();
    bool unreachable = false;
    SettingsDigest settings;
};

/**
    All members, and how news of them is merged.

    Merging is idempotent and independent of the order in which news arrives: a later incarnation
    overrides an earlier one; within one, a higher refutation, then the worse status; leaving is
    never taken back. So all tables that have heard the same news are equal, and their hashes too.
*/
class MemberTable
{
public:
    /** No more members than this are kept; strangers could not, and a mistake must not, fill it. */
    static constexpr std::size_t maxMembers = 4096;

    /** Takes one piece of news. A record about a member that is not known adds it. */
    MergeResult merge(const MemberRecord &news, Millis now);

    /** Removes members that have been dead for longer than a span. */
    void forgetDead(Millis now, Millis after);

    const MemberEntry *find(const InstanceId &id) const;
    MemberEntry *find(const InstanceId &id);
    const std::map<InstanceId, MemberEntry> &entries() const { return entries_; }

    /** Returns the ids of all that are not dead, in order of name. */
    std::vector<InstanceId> livingIds() const;

    /** Returns the ids of all that are suspected. */
    std::vector<InstanceId> suspects() const;

    /** Returns how many are not dead. */
    std::size_t livingCount() const { return livingCount_; }

    /**
        Returns a hash over all members that are not dead, for comparing tables with a peer.

        Suspicions are left out: they come and go, and comparing them would never settle.
    */
    std::uint64_t hash() const;

    /** Returns a hash of what one record says, suspicion left out. */
    static std::uint64_t hash(const MemberRecord &record);

private:
    MergeResult mergeKnown(MemberEntry &entry, const MemberRecord &news, Millis now);
    static void noteStatusTimes(MemberEntry &entry, Millis now);
    void count();

    std::map<InstanceId, MemberEntry> entries_;
    std::size_t livingCount_ = 0;
    std::size_t suspectCount_ = 0;
};

} // namespace cuminrail
