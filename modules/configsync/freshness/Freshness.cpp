#include "configsync/freshness/Freshness.h"

#include "core/guards/Guards.h"

namespace cuminrail {

namespace {

void moveForward(Millis &instant, Millis candidate)
{
    if (instant == Millis::never() || candidate > instant)
        instant = candidate;
}

Millis ageOf(Millis instant, Millis now)
{
    return instant == Millis::never() ? Millis::never() : now - instant;
}

} // namespace

void Freshness::confirmByStore(Millis querySentAt)
{
    moveForward(storeAt_, querySentAt);
}

void Freshness::confirmByPeer(Millis querySentAt, Millis peersStoreAge)
{
    moveForward(peersAt_, querySentAt);
    if (peersStoreAge < Millis::never())
        moveForward(storeAt_, querySentAt - peersStoreAge);
}

Millis Freshness::storeAge(Millis now) const
{
    return ageOf(storeAt_, now);
}

// A key is withdrawn in the store. An instance that hears neither from the store nor from anybody
// who does would honour it for as long as it is cut off; so from the limit on it refuses. When the
// store is out for everybody nothing can be withdrawn, and refusing would stop all service for an
// hour: then it is enough that a majority of the instances agree that they know nothing newer.
FreshnessReport Freshness::report(Millis now, const PeerReachability &reachability) const
{
    FreshnessReport report;
    report.storeAge = ageOf(storeAt_, now);
    report.peersAge = ageOf(peersAt_, now);
    if (report.storeAge <= limit_)
        report.confirmedBy = ConfirmedBy::Store;
    else if (report.peersAge <= limit_ && reachability.isMajority())
        report.confirmedBy = ConfirmedBy::Peers;
    report.mayServe =
        report.confirmedBy != ConfirmedBy::Nobody || !guardEnabled(Guard::StaleRefused);
    return report;
}

} // namespace cuminrail
