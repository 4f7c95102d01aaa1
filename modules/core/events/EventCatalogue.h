#pragma once

#include "core/events/Event.h"

#include <vector>

namespace cuminrail {

/**
    All events of the system, one constant each.

    Numbers are never reused. Hundreds: 1 process, 2 request path, 3 upstreams, 4 platform store,
    5 configuration and keys, 6 membership, 7 leases and orders, 8 capacity, 9 usage.
*/
namespace events {

// 1xx process
inline constexpr EventKind processStarted{101, EventLevel::Info, "process-started",
                                          "The process is up; its addresses are in the fields."};
inline constexpr EventKind processStopping{
    102, EventLevel::Info, "process-stopping",
    "A planned stop began: not ready any more, requests in progress go on."};
inline constexpr EventKind processStopped{103, EventLevel::Info, "process-stopped",
                                          "The planned stop is over; cut counts the requests that "
                                          "the limit ended."};
inline constexpr EventKind certificateReloaded{
    104, EventLevel::Info, "certificate-reloaded",
    "New certificate files are in use for connections from now on."};
inline constexpr EventKind certificateNotReloaded{
    105, EventLevel::Warning, "certificate-not-reloaded",
    "Changed certificate files cannot be used; the former ones stay in use."};

inline constexpr EventKind logLinesDropped{
    106, EventLevel::Warning, "log-lines-dropped",
    "Log lines were left out, by the event's name: more came than the bounds allow."};
inline constexpr EventKind settingsReread{
    107, EventLevel::Info, "settings-reread",
    "The settings file changed and was read again; what can change while running did."};
inline constexpr EventKind settingsNotReread{
    108, EventLevel::Warning, "settings-not-reread",
    "The settings file changed and is bad; the former settings stay in use."};

// 2xx request path
inline constexpr EventKind requestRefused{201, EventLevel::Info, "request-refused",
                                          "A request got an error; code and verdict say why."};
inline constexpr EventKind claimAnswerNotStored{
    202, EventLevel::Warning, "claim-answer-not-stored",
    "An answer was too large, or too many waited for the store; repeats learn only that the "
    "call ran."};

inline constexpr EventKind requestPlaced{
    203, EventLevel::Info, "request-placed",
    "A request goes to an upstream; what the choice was made from is in the fields."};
inline constexpr EventKind attemptEnded{
    204, EventLevel::Warning, "attempt-ended",
    "An attempt at an upstream failed or was refused; whether the request may have run is given."};
inline constexpr EventKind requestServed{205, EventLevel::Info, "request-served",
                                         "The upstream's whole answer went to the caller."};
inline constexpr EventKind requestFailed{
    206, EventLevel::Warning, "request-failed",
    "A request ended without an upstream's whole answer; it may have run."};
inline constexpr EventKind callerLeft{
    207, EventLevel::Info, "caller-left",
    "The caller closed its connection before its answer was complete; the work was cancelled."};

inline constexpr EventKind requestHeld{
    208, EventLevel::Info, "request-held",
    "A prompt that would be late waits here until engines have room; the estimate is in the "
    "fields."};

inline constexpr EventKind requestSuspected{
    209, EventLevel::Info, "request-suspected",
    "Two upstreams ended under requests with this content; it is not retried, or tried once at a "
    "time."};
inline constexpr EventKind requestQuarantined{
    210, EventLevel::Warning, "request-quarantined",
    "Three upstreams or more ended under requests with this content; they are refused from now "
    "on."};
inline constexpr EventKind suspicionCleared{
    211, EventLevel::Info, "suspicion-cleared",
    "A request with a suspected content was answered; endings from before do not count for it."};
inline constexpr EventKind quarantineEntryRefused{
    212, EventLevel::Warning, "quarantine-entry-refused",
    "An entry of the store's quarantine cannot be read; the others hold."};
inline constexpr EventKind quarantineNotRemoved{
    213, EventLevel::Warning, "quarantine-not-removed",
    "An entry of the store's quarantine that is over may still be there; instances that start read "
    "it."};

inline constexpr EventKind requestCarried{
    214, EventLevel::Info, "request-carried",
    "This instance reaches no upstream, and handed a request to another instance."};
inline constexpr EventKind carriedAttemptEnded{
    215, EventLevel::Warning, "carried-attempt-ended",
    "An instance to which a request was handed did not serve it."};

inline constexpr EventKind contentTried{
    216, EventLevel::Info, "content-tried",
    "A request with a suspected content is sent, while all others with it wait for its outcome."};
inline constexpr EventKind quarantineLifted{217, EventLevel::Warning, "quarantine-lifted",
                                            "An operator ended a quarantine at all instances."};
inline constexpr EventKind requestCalledBack{
    218, EventLevel::Info, "request-called-back",
    "A request that an upstream had not begun to answer was taken back, as its content is "
    "suspected."};

inline constexpr EventKind responseOutOfOrder{
    219, EventLevel::Error, "response-out-of-order",
    "A fault of this process: it called for a part of a response out of its order. Nothing of it "
    "was sent, and the response was broken off."};

// 3xx upstreams
inline constexpr EventKind upstreamEjected{
    301, EventLevel::Warning, "upstream-ejected",
    "An upstream gets no work for a while, because its real outcomes were bad."};
inline constexpr EventKind routingDecision{
    302, EventLevel::Info, "routing-decision",
    "A sample of the routing decisions: where a request went, and why."};

inline constexpr EventKind upstreamListed{
    303, EventLevel::Info, "upstream-listed",
    "An upstream was listed, changed its state, or was removed from the list."};
inline constexpr EventKind upstreamMisplaced{
    304, EventLevel::Warning, "upstream-misplaced",
    "Another upstream answered at an upstream's address; it gets no work until it lists anew."};
inline constexpr EventKind upstreamLimited{
    305, EventLevel::Info, "upstream-limited",
    "An upstream named, changed or ended the requests a second that it takes from all instances."};
inline constexpr EventKind upstreamLeaving{
    306, EventLevel::Info, "upstream-leaving",
    "An upstream stated in a response, here or at another instance, that it leaves; it gets no new "
    "work."};
inline constexpr EventKind upstreamPauses{
    307, EventLevel::Info, "upstream-pauses",
    "An upstream refused a request and asked this instance for a pause; it gets no requests until "
    "then, and one afterwards to try it."};
inline constexpr EventKind upstreamsListed{
    308, EventLevel::Info, "upstreams-listed",
    "So many more upstreams were listed, changed or removed within a second, without a line each."};
inline constexpr EventKind stepOutOfOrder{220, EventLevel::Error, "step-out-of-order",
                                          "A fault of this process: a request was to go on a "
                                          "second time, or while it waits for something "
                                          "else. It did not."};
inline constexpr EventKind pathChanged{
    309, EventLevel::Warning, "upstream-path-changed",
    "Whether new connections from this instance reach any upstream; while they do not, other "
    "instances carry its requests."};
inline constexpr EventKind upstreamEntryRefused{
    310, EventLevel::Warning, "upstream-entry-refused",
    "An entry in the list of upstreams names none that could be used; the others hold."};
inline constexpr EventKind strayResponse{
    311, EventLevel::Warning, "stray-response",
    "An upstream sent bytes that are not, or may not be, the response to the request of their "
    "connection; both identities are in the fields."};

// 4xx platform store
inline constexpr EventKind storeUnavailable{
    401, EventLevel::Warning, "store-unavailable",
    "The platform's store does not answer; traffic goes on, orders and claims wait."};
inline constexpr EventKind storeReturned{402, EventLevel::Info, "store-returned",
                                         "The platform's store answers again."};
inline constexpr EventKind feedGap{
    403, EventLevel::Info, "feed-gap",
    "Changes told by another instance follow on some that are not known here; they are asked for."};
inline constexpr EventKind storeRestored{
    404, EventLevel::Warning, "store-restored",
    "The store came back from a copy: what was written shortly before is lost. Leases are waited "
    "for, and what this instance keeps there is written again."};

inline constexpr EventKind rosterMalformed{
    405, EventLevel::Warning, "roster-malformed",
    "The store's list of all instances could not be read; their entries are listed instead."};

// 5xx configuration and keys
inline constexpr EventKind configurationInForce{
    501, EventLevel::Info, "configuration-in-force",
    "A newer version of a settings subtree is in force here."};
inline constexpr EventKind configurationRefused{
    510, EventLevel::Warning, "configuration-refused",
    "New settings are not valid here; the previous ones stay in force."};
inline constexpr EventKind configurationWouldRevert{
    511, EventLevel::Error, "configuration-would-revert",
    "The store or a peer shows older settings than those in force; they are not taken."};
inline constexpr EventKind configurationStale{
    512, EventLevel::Warning, "configuration-stale",
    "Nobody confirms the settings; from the limit on requests are refused."};
inline constexpr EventKind configurationConfirmed{
    513, EventLevel::Info, "configuration-confirmed",
    "The settings are confirmed again; requests are served."};
inline constexpr EventKind keyWithdrawnHeard{
    514, EventLevel::Info, "key-withdrawn-heard",
    "A peer says that a key is withdrawn; it is refused from now on."};
inline constexpr EventKind watchDutyChanged{
    515, EventLevel::Info, "watch-duty-changed",
    "This instance begins or ends watching the settings for its failure domain."};
inline constexpr EventKind watchReplaced{516, EventLevel::Warning, "watch-replaced",
                                         "A watch on the settings went silent and was replaced."};

// 6xx membership
inline constexpr EventKind peerSuspected{601, EventLevel::Info, "peer-suspected",
                                         "An instance shows no progress; others are asked."};
inline constexpr EventKind peerJoined{
    602, EventLevel::Info, "peer-joined",
    "An instance, or a new life of one, is known for the first time."};
inline constexpr EventKind peerLeaving{603, EventLevel::Info, "peer-leaving",
                                       "An instance announced its planned stop."};
inline constexpr EventKind peerDeclaredDead{604, EventLevel::Warning, "peer-declared-dead",
                                            "An instance stayed silent; it gets no more messages."};
inline constexpr EventKind tooManySilent{605, EventLevel::Error, "too-many-silent",
                                         "So many of a region are silent that this instance may be "
                                         "the one cut off; none is declared dead."};
inline constexpr EventKind ownPauseNoticed{
    606, EventLevel::Warning, "own-pause-noticed",
    "This process did not run for a while; silences seen meanwhile are not counted."};
inline constexpr EventKind peerFrameMalformed{
    607, EventLevel::Warning, "peer-frame-malformed",
    "A frame from a peer could not be read and changed nothing."};
inline constexpr EventKind peerLinkRefused{
    610, EventLevel::Warning, "peer-link-refused",
    "A connection did not prove the shared secret, or a frame its origin; it is closed."};
inline constexpr EventKind peerLinkReplaced{
    611, EventLevel::Info, "peer-link-replaced",
    "A connection to a peer showed no progress; the next message opens a new one."};

inline constexpr EventKind peerSecretsReloaded{612, EventLevel::Info, "peer-secrets-reloaded",
                                               "The file of shared secrets was read again."};
inline constexpr EventKind peerSecretsNotReloaded{
    613, EventLevel::Error, "peer-secrets-not-reloaded",
    "The file of shared secrets changed and is bad; the former secrets stay in force."};
inline constexpr EventKind peerLinksOpen{
    614, EventLevel::Info, "peer-links-open",
    "The instances' shared secret was read from the store, and links are taken."};
inline constexpr EventKind peerLinksNotOpen{
    615, EventLevel::Warning, "peer-links-not-open",
    "Links between instances cannot be taken; placement knows only this instance's own work."};

inline constexpr EventKind peerLinksFull{
    616, EventLevel::Warning, "peer-links-full",
    "As many links are open as may be; the one without frames for the longest time is closed."};

// 7xx leases and orders
inline constexpr EventKind leaseTaken{701, EventLevel::Info, "lease-taken",
                                      "This instance holds a duty; the fence is in the fields."};

inline constexpr EventKind leaseLost{
    702, EventLevel::Info, "lease-lost",
    "This instance no longer holds a duty: lapsed, replaced or given back."};
inline constexpr EventKind orderRecorded{703, EventLevel::Info, "order-recorded",
                                         "An order to an engine was recorded and is to be sent."};
inline constexpr EventKind orderSettled{
    704, EventLevel::Info, "order-settled",
    "The engine's state showed what became of an order: done or without effect."};
inline constexpr EventKind orderInDoubt{
    705, EventLevel::Warning, "order-in-doubt",
    "An order's result is unknown; nothing else goes to the engine until it is settled."};

// 8xx capacity
inline constexpr EventKind roleChangeDecided{801, EventLevel::Info, "role-change-decided",
                                             "An engine is to change role; the evidence is given."};

inline constexpr EventKind fleetTargetDeclared{
    802, EventLevel::Info, "fleet-target-declared",
    "The platform was told how many upstreams a failure domain is to have."};
inline constexpr EventKind fleetTargetInDoubt{
    803, EventLevel::Warning, "fleet-target-in-doubt",
    "The platform did not answer a declared target; it is read back before another one."};

// 9xx usage
inline constexpr EventKind usageWindowSealed{901, EventLevel::Info, "usage-window-sealed",
                                             "A usage window's figures are final."};

inline constexpr EventKind usageWindowReported{
    902, EventLevel::Info, "usage-window-reported",
    "The platform took a usage window's sealed figures."};
inline constexpr EventKind usageWindowRefused{
    903, EventLevel::Error, "usage-window-refused",
    "The platform refused a usage window; the sealed figures stay as they are."};
inline constexpr EventKind usageReportFailed{
    904, EventLevel::Info, "usage-report-postponed",
    "A window's report could not be made yet; it is tried again until it is due and after."};
inline constexpr EventKind usageWindowLeftOut{908, EventLevel::Warning, "usage-window-left-out",
                                              "The store lost a window's seal, and another holder "
                                              "may have reported the window from it; it is "
                                              "not summed again."};
inline constexpr EventKind usageLedgerUnreadable{
    905, EventLevel::Warning, "usage-ledger-unreadable",
    "An instance's counts in the store cannot be read; the window's report lacks them."};
inline constexpr EventKind usageLedgersNotWritten{
    907, EventLevel::Warning, "usage-ledgers-not-written",
    "Counts that other instances gave to this one could not be written to the store."};

} // namespace events

/** Returns every event kind, by number. docs/EVENTS.md is checked against this list. */
const std::vector<const EventKind *> &eventCatalogue();

} // namespace cuminrail
