#pragma once

#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <utility>

namespace cuminrail {

/**
    The assumed state of another instance; within an incarnation a later value overrides an earlier
    one.
*/
enum class MemberStatus : std::uint8_t {
    Alive,
    /** It responded neither directly nor to indirect probes; it may still refute the suspicion. */
    Suspect,
    /**
        The suspicion timed out, or it left; it receives nothing but an occasional contact attempt.
    */
    Dead,
};

inline constexpr NameTable<MemberStatus, 3> memberStatusNames{{{
    {MemberStatus::Alive, "alive"},
    {MemberStatus::Suspect, "suspect"},
    {MemberStatus::Dead, "dead"},
}}};

/** The state of one instance as exchanged between members. */
struct MemberRecord
{
    InstanceId id;
    /**
        Distinguishes two processes that run under the same name one after the other; the later one
        is greater.
    */
    Incarnation incarnation = 0;
    /** Raised by the member itself, within one incarnation, to refute a suspicion. */
    std::uint64_t refutation = 0;
    MemberStatus status = MemberStatus::Alive;
    /** Never reset to false within an incarnation. */
    bool leaving = false;
    FailureDomainId domain;
    RegionId region;
    PeerAddress address;
};

/** How current an instance's settings are; included in every message. */
struct SettingsDigest
{
    /** The store's version of the settings head in force; 0 for none. */
    std::uint64_t headVersion = 0;
    /** Time since the store was last known to have this head, as of sending. */
    Millis confirmedAge = Millis::never();
};

/** A member as the other modules of the instance see it. */
struct MemberView
{
    MemberRecord record;
    /**
        Unresponsive for longer than the suspicion timeout, but kept because too many members of its
        region are unresponsive at once.
    */
    bool unreachable = false;
    SettingsDigest settings;

    /** Returns true if the member may be assigned duties: it responds and is not leaving. */
    bool isUsable() const
    {
        return record.status == MemberStatus::Alive && !record.leaving && !unreachable;
    }
};

} // namespace cuminrail
