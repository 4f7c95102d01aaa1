#include "core/events/EventCatalogue.h"

namespace cuminrail {

const std::vector<const EventKind *> &eventCatalogue()
{
    using namespace events;
    static const std::vector<const EventKind *> kinds = {
        // 1xx process
        &processStarted,
        &processStopping,
        &processStopped,
        &certificateReloaded,
        &certificateNotReloaded,
        &logLinesDropped,
        &settingsReread,
        &settingsNotReread,
        // 2xx request path
        &requestRefused,
        &claimAnswerNotStored,
        &requestPlaced,
        &attemptEnded,
        &requestServed,
        &requestFailed,
        &callerLeft,
        &requestHeld,
        &requestSuspected,
        &requestQuarantined,
        &suspicionCleared,
        &quarantineEntryRefused,
        &quarantineNotRemoved,
        &requestCarried,
        &carriedAttemptEnded,
        &contentTried,
        &quarantineLifted,
        &requestCalledBack,
        &responseOutOfOrder,
        &stepOutOfOrder,
        // 3xx upstreams
        &upstreamEjected,
        &routingDecision,
        &upstreamListed,
        &upstreamMisplaced,
        &upstreamLimited,
        &upstreamLeaving,
        &upstreamPauses,
        &upstreamsListed,
        &pathChanged,
        &upstreamEntryRefused,
        &strayResponse,
        // 4xx platform store
        &storeUnavailable,
        &storeReturned,
        &feedGap,
        &storeRestored,
        &rosterMalformed,
        // 5xx configuration and keys
        &configurationInForce,
        &configurationRefused,
        &configurationWouldRevert,
        &configurationStale,
        &configurationConfirmed,
        &keyWithdrawnHeard,
        &watchDutyChanged,
        &watchReplaced,
        // 6xx membership
        &peerSuspected,
        &peerJoined,
        &peerLeaving,
        &peerDeclaredDead,
        &tooManySilent,
        &ownPauseNoticed,
        &peerFrameMalformed,
        &peerLinkRefused,
        &peerLinkReplaced,
        &peerSecretsReloaded,
        &peerSecretsNotReloaded,
        &peerLinksOpen,
        &peerLinksNotOpen,
        &peerLinksFull,
        // 7xx leases and orders
        &leaseTaken,
        &leaseLost,
        &orderRecorded,
        &orderSettled,
        &orderInDoubt,
        // 8xx capacity
        &roleChangeDecided,
        &fleetTargetDeclared,
        &fleetTargetInDoubt,
        // 9xx usage
        &usageWindowSealed,
        &usageWindowReported,
        &usageWindowRefused,
        &usageReportFailed,
        &usageLedgerUnreadable,
        &usageLedgersNotWritten,
        &usageWindowLeftOut,
    };
    return kinds;
}

} // namespace cuminrail
