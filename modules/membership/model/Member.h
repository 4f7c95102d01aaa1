#pragma once

#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <utility>

namespace cuminrail {

/** What is believed of another instance, in the order in which news overrides older news. */
enum class MemberStatus : std::uint8_t {
    Alive,
    /** It did not answer, directly or through others; it may still refute that. */
    Suspect,
    /** Its silence was confirmed, or it left; it gets no messages but an occasional probe. */
    Dead,
};

inline constexpr NameTable<MemberStatus, 3> memberStatusNames{{{
    {MemberStatus::Alive, "alive"},
    {MemberStatus::Suspect, "suspect"},
    {MemberStatus::Dead, "dead"},
}}};

/** One instance as its peers tell of it. */
struct MemberRecord
{
    InstanceId id;
    /** Distinguishes two lives of one name; the later one is greater. */
    Incarnation incarnation = 0;
    /** Raised by the member itself, within one life, to refute a suspicion. */
    std::uint64_t refutation = 0;
    MemberStatus status = MemberStatus::Alive;
    /** Once true it stays true for this incarnation. */
    bool leaving = false;
    FailureDomainId domain;
    RegionId region;
    PeerAddress address;
};

/** What an instance says of how current it is, with every message. */
struct SettingsDigest
{
    /** The store's version of the settings head in force; 0 for none. */
    std::uint64_t headVersion = 0;
    /** How long ago the store was last known to have this head: a span, at the time of sending. */
    Millis confirmedAge = Millis::never();
};

/** One member as the rest of the instance sees it. */
struct MemberView
{
    MemberRecord record;
    /** Silent for long, but kept, because too many are silent at once to believe it of them. */
    bool unreachable = false;
    SettingsDigest settings;

    /** Returns true for a member that may be given duties: it answers and is not leaving. */
    bool isUsable() const
    {
        return record.status == MemberStatus::Alive && !record.leaving && !unreachable;
    }
};

} // namespace cuminrail
