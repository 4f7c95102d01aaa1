#pragma once

#include "membership/model/Member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail {

/** The effect of merging an update. */
enum class MergeResult : std::uint8_t {
    /** The update was already known, or is overridden by the known state. */
    Unchanged,
    /** The update changed the known state and has to be forwarded. */
    Changed,
};

/** A member with its local state, which is not exchanged. */
struct MemberEntry
{
    MemberRecord record;
    /**
        When the suspicion was first received, by this instance's clock; never() unless it is
        suspected.
    */
    Millis suspectedAt = Millis::never();
    /**
        When it was declared dead. The entry is retained for a while so that outdated updates cannot
        revive the member.
    */
    Millis deadAt = Millis::never();
    bool unreachable = false;
    SettingsDigest settings;
};

/**
    All members, and the rules by which updates are merged.

    Merging is idempotent and independent of the order in which updates arrive: a later incarnation
    overrides an earlier one; within an incarnation a higher refutation wins, then the worse status;
    leaving is never reset. Tables that received the same updates are therefore equal, and so are
    their hashes.
*/
class MemberTable
{
public:
    /**
        Maximum number of members. Unauthenticated senders cannot add any; this limit prevents that
        a faulty peer fills the memory.
    */
    static constexpr std::size_t maxMembers = 4096;

    /** Merges an update. A record of an unknown member adds it. */
    MergeResult merge(const MemberRecord &update, Millis now);

    /** Removes members that have been dead for at least the given duration. */
    void removeDead(Millis now, Millis retention);

    const MemberEntry *find(const InstanceId &id) const;
    MemberEntry *find(const InstanceId &id);
    const std::map<InstanceId, MemberEntry> &entries() const { return entries_; }

    /** Returns the ids of all members that are not dead, in order of name. */
    std::vector<InstanceId> livingIds() const;

    /** Returns the ids of all suspected members. */
    std::vector<InstanceId> suspects() const;

    /** Returns the number of members that are not dead. */
    std::size_t livingCount() const { return livingCount_; }

    /**
        Returns a hash of all members that are not dead, for comparison with a peer's table.

        Suspicions are excluded: they change often, so tables that included them would never
        converge.
    */
    std::uint64_t hash() const;

    /** Returns a hash of one record without its suspicion. */
    static std::uint64_t hash(const MemberRecord &record);

private:
    MergeResult mergeKnown(MemberEntry &entry, const MemberRecord &update, Millis now);
    static void updateStatusTimes(MemberEntry &entry, Millis now);
    void updateCounts();

    std::map<InstanceId, MemberEntry> entries_;
    std::size_t livingCount_ = 0;
    std::size_t suspectCount_ = 0;
};

} // namespace cuminrail
