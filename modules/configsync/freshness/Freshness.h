#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "membership/Membership.h"

#include <cstdint>

namespace cuminrail {

/** Who last said that the settings in force are the newest. */
enum class ConfirmedBy : std::uint8_t {
    Nobody,
    /** The store, asked here or by a peer whose word came here. */
    Store,
    /** A majority of the peers, who have no newer ones either, while the store is silent to all. */
    Peers,
};

inline constexpr NameTable<ConfirmedBy, 3> confirmedByNames{{{
    {ConfirmedBy::Nobody, "nobody"},
    {ConfirmedBy::Store, "store"},
    {ConfirmedBy::Peers, "peers"},
}}};

/** How current an instance is, for its decision to serve and for /readyz and /state. */
struct FreshnessReport
{
    ConfirmedBy confirmedBy = ConfirmedBy::Nobody;
    /** Since the store was last known to have these settings; never() for "it never was". */
    Millis storeAge = Millis::never();
    /** Since a peer last said that it has no newer ones either. */
    Millis peersAge = Millis::never();
    /** False: requests are refused with stale_configuration. */
    bool mayServe = false;
};

/**
    Keeps account of how far the settings in force are confirmed: of the latest instant before which
    every accepted change is known to be in force here. Newer settings never make it earlier.

    All instants are this machine's and never later than the true one: an answer counts from when
    its question was sent, and a peer's word from when it was asked, less the age that it gave.
*/
class Freshness
{
public:
    explicit Freshness(Millis limit) : limit_(limit) { }

    /** The store had nothing newer than is in force here, at some time after this instant. */
    void confirmByStore(Millis querySentAt);
    /** A peer that has nothing newer in force either answered a question of this instant. */
    void confirmByPeer(Millis querySentAt, Millis peersStoreAge);

    /** Returns the span since the store's confirmation, never() if there is none. */
    Millis storeAge(Millis now) const;
    FreshnessReport report(Millis now, const PeerReachability &reachability) const;

private:
    Millis limit_;
    Millis storeAt_ = Millis::never();
    Millis peersAt_ = Millis::never();
};

} // namespace cuminrail
