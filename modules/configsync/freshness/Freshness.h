#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "membership/Membership.h"

#include <cstdint>

namespace cuminrail {

/** Source of the last confirmation that the settings in force are the newest. */
enum class ConfirmedBy : std::uint8_t {
    Nobody,
    /** The store, called by this instance or by a peer that forwarded the result. */
    Store,
    /**
        A majority of the peers, which have no newer settings either, while none of them reaches the
        store.
    */
    Peers,
};

inline constexpr NameTable<ConfirmedBy, 3> confirmedByNames{{{
    {ConfirmedBy::Nobody, "nobody"},
    {ConfirmedBy::Store, "store"},
    {ConfirmedBy::Peers, "peers"},
}}};

/**
    How current an instance's settings are; decides whether it serves, and is shown in /readyz and
    /state.
*/
struct FreshnessReport
{
    ConfirmedBy confirmedBy = ConfirmedBy::Nobody;
    /** Time since the store was last known to have these settings; never() if it never was. */
    Millis storeAge = Millis::never();
    /** Time since a peer last reported that it has no newer settings. */
    Millis peersAge = Millis::never();
    /** False: requests are refused with stale_configuration. */
    bool mayServe = false;
};

/**
    Tracks the latest instant before which every accepted change is known to be in force here. Newer
    settings never move it back.

    All instants are by this machine's clock and never later than the actual ones: a reply of the
    store counts from when its call was sent, and a peer's digest from when its query was sent, less
    the age in the digest.
*/
class Freshness
{
public:
    explicit Freshness(Millis limit) : limit_(limit) { }

    /**
        Records that at some time after this instant the store had nothing newer than the settings
        in force.
    */
    void confirmByStore(Millis querySentAt);
    /** Records the reply of a peer without newer settings to a query sent at this instant. */
    void confirmByPeer(Millis querySentAt, Millis peersStoreAge);

    /** Returns the time since the store's last confirmation, never() if there is none. */
    Millis storeAge(Millis now) const;
    FreshnessReport report(Millis now, const PeerReachability &reachability) const;

private:
    Millis limit_;
    Millis storeConfirmedAt_ = Millis::never();
    Millis peersConfirmedAt_ = Millis::never();
};

} // namespace cuminrail
