#include "configsync/freshness/Freshness.h"

#include "core/guards/Guards.h"

namespace cuminrail {

namespace {

void advanceTo(Millis &instant, Millis candidate)
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
    advanceTo(storeConfirmedAt_, querySentAt);
}

void Freshness::confirmByPeer(Millis querySentAt, Millis peersStoreAge)
{
    advanceTo(peersConfirmedAt_, querySentAt);
    if (peersStoreAge < Millis::never())
        advanceTo(storeConfirmedAt_, querySentAt - peersStoreAge);
}

Millis Freshness::storeAge(Millis now) const
{
    return ageOf(storeConfirmedAt_, now);
}

// If a key is withdrawn in the store, an instance that reaches neither the store nor any peer that
// does would accept the key for as long as it is cut off. It therefore refuses requests once the
// limit is exceeded. If the store is unavailable to all instances, nothing can be withdrawn, and
// refusing would stop the whole service, possibly for an hour: then it is sufficient that a
// majority of the instances agree that none has newer settings.
FreshnessReport Freshness::report(Millis now, const PeerReachability &reachability) const
{
    FreshnessReport report;
    report.storeAge = ageOf(storeConfirmedAt_, now);
    report.peersAge = ageOf(peersConfirmedAt_, now);
    if (report.storeAge <= limit_)
        report.confirmedBy = ConfirmedBy::Store;
    else if (report.peersAge <= limit_ && reachability.isMajority())
        report.confirmedBy = ConfirmedBy::Peers;
    report.mayServe =
        report.confirmedBy != ConfirmedBy::Nobody || !guardEnabled(Guard::StaleRefused);
    return report;
}

} // namespace cuminrail
