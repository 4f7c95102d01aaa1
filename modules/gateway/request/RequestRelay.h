#pragma once

#include "gateway/request/OpenResponse.h"
#include "gateway/request/RelayAttempt.h"
#include "gateway/request/RelayContext.h"
#include "gateway/request/RequestStep.h"
#include "gateway/request/RunEvidence.h"
#include "net/http/SseReader.h"
#include "net/upstream/UpstreamCall.h"
#include "quarantine/quarantine.h"

#include <set>

namespace cuminrail {

/**
    Relays one caller's request: validates it, chooses an upstream, streams the response back and
    retries where that is allowed.

    At most one upstream has the request at any moment. The outcome of the last attempt decides
    whether another may follow: a request that may have run is sent again only on routes declared
    as repeatable, and a refusal states "not run" only while no upstream can have run it.
*/
class RequestRelay : public std::enable_shared_from_this<RequestRelay>
{
public:
    /**
        A connection within a region is established in a few milliseconds. A full listen queue
        drops the SYN, which TCP retransmits after a second; by then another upstream is the better
        choice.
    */
    static constexpr Millis connectTimeout = PathProber::connectTimeout;

    RequestRelay(RelayContext &context, std::shared_ptr<HttpExchange> exchange);
    /** Runs a request of a caller of another instance. */
    RequestRelay(RelayContext &context, std::shared_ptr<CarriedExchange> carried);
    ~RequestRelay();
    RequestRelay(const RequestRelay &) = delete;
    RequestRelay &operator=(const RequestRelay &) = delete;

    void start();
    /** Takes the request back if its upstream has not begun to respond and its content is held. */
    void onContentsRestricted();
    /** Ends the request, as the instance stops. */
    void onStop();

private:
    /** Failed connection attempts before giving up; the request was not sent on any of them. */
    static constexpr int maxConnectFailures = 4;

    using Attempt = RelayAttempt;

    /** Events of a stream that the caller received, over all attempts. */
    struct StreamProgress
    {
        std::uint32_t eventCount = 0;
        Millis firstAt;
        Millis lastAt;
        Millis longestPause;
    };

    /** An event that waits. */
    struct HeldEvent
    {
        std::string bytes;
        std::optional<std::uint64_t> number;
    };

    /** Ends a step; returns false, after reporting it, if the request does not wait for it. */
    bool endStep(RequestStep step, PendingStep::Ticket ticket);
    /** Goes on with the request, if this is the completion that it waits for. */
    template<typename Handler>
    void finishStep(RequestStep step, PendingStep::Ticket ticket, const Handler &goOn)
    {
        const bool isRepeated = context_.repeatsCompletion && context_.repeatsCompletion(step);
        for (int i = 0; i < (isRepeated ? 2 : 1); ++i) {
            if (endStep(step, ticket))
                goOn();
        }
    }
    /** Begins a step and returns its completion, which goes on with the request. */
    template<typename Handler>
    auto awaitStep(RequestStep step, Handler goOn)
    {
        return [self = shared_from_this(), step, ticket = pendingStep_.begin(step),
                goOn = std::move(goOn)](const auto &...outcome) {
            self->finishStep(step, ticket, [&] { goOn(outcome...); });
        };
    }
    /** Logs that the request was to go on with a step that it does not wait for. */
    void reportOutOfOrder(RequestStep step) const;
    /** Tries again to choose an upstream or a carrier after this time. */
    void dispatchAfter(Millis delay);
    /** Returns the upstream to which the current attempt is sent. */
    const UpstreamPointer &target() const
    {
        return attempt_.isPrefill ? attempt_.choice->prefill : attempt_.upstream;
    }
    /** Decodes the request, finds its route and its caller; returns false after refusing it. */
    bool validateRequest();
    bool authenticateCaller();
    void setUrgency(int priority);
    /** Finds the customer that another instance stated; returns false after declining. */
    bool adoptCarriedCaller();
    /** Returns how many attempts may be made here. */
    int attemptLimit() const;
    /** Returns what the request costs of its customer's quota, in the quota's unit. */
    double quotaCost(const CustomerQuota &quota) const;
    void requestQuota();
    void onQuotaOutcome(const QuotaOutcome &outcome, double cost);
    /** Identifies what the request consists of; computed at the first call. */
    const RequestContents &contents() const;
    bool isSuspected() const;
    /** Whether the request waits for a trial of another one. */
    bool isHeld() const;
    /** Returns true if the request is quarantined, after ending it. */
    bool endIfQuarantined();
    /** Returns true if the request may not be sent now: it was ended, or is held. */
    bool endOrHold();
    void hold();
    /** The outcome of the trial that this request is, if it is one, is known. */
    void trialEnded();
    /**
        Probes whether an upstream that broke off still accepts connections, and reports to the
        quarantine one that does not.

        @param dispatchesAfter  the request is sent elsewhere only after the probe has ended
    */
    void probeUpstream(const UpstreamPointer &upstream, bool dispatchesAfter);
    /** Finds out whether an upstream's process has ended: it refuses connections, others do not. */
    void checkEnded(const UpstreamPointer &upstream, std::function<void(bool hasEnded)> done);
    /** Completes a response that ended with its connection, unless its upstream has ended too. */
    void confirmResponse(const UpstreamEnd &end);
    /** Hands the request to another instance, as no upstream can be reached from here. */
    void carry();
    void handTo(const PeerAddress &carrier);
    CarriedOpen carriedOpen() const;
    CarriedCallHooks carriedHooks(PendingStep::Ticket ticket);
    void onCarriedEnd(const CarriedEnd &end);
    /** Stops the upstream or carrier that responds faster than the caller reads. */
    void pauseResponse();
    void resumeResponse();
    /** Abandons the attempt in progress; returns whether it may run the request. */
    bool cancelAttempt();
    /** Sets what the head of a response shows; the caller may have a part of an earlier one. */
    void acceptHead(int status, std::vector<HttpHeader> headers, bool isStream);
    /** Finds out whether a whole response can be the rest of the one that the caller has. */
    bool goesOnWithResponse();
    /** Whether streams of the route may be resumed, and so must stay at one software version. */
    bool isResumable() const;
    /** Identity of the request that began the stream; empty if the caller does not state it. */
    std::string streamId() const;
    RecordKey streamKey() const;
    /** Returns true if it must first be found out where the stream began; onOrigin() continues. */
    bool resolveOrigin();
    void onOrigin(const StreamOrigin &origin);
    /** Returns the upstreams that may have the request: those of its stream's version, if set. */
    const std::vector<UpstreamPointer> &usableUpstreams();
    void noteVersionGone();
    /** Returns the urgency of a stream that few upstreams can serve; nothing for other requests. */
    std::optional<int> streamUrgency() const;
    /** Returns true if events wait until other instances know where the stream began. */
    bool holdsFirstEvent();
    void holdEvent(const SseEvent &event);
    void releaseEvents();
    /** Chooses an upstream and starts the next attempt, or gives up. */
    void dispatch();
    /** Sends to the chosen upstream, or defers the prompt. */
    void deferOrSend();
    bool choose() { return chooseAmong(candidates()); }
    bool chooseAmong(const std::vector<UpstreamPointer> &upstreams);
    /**
        Returns the upstreams that can be used now: those that do not pause, and have no limit or a
        credit here.
    */
    const std::vector<UpstreamPointer> &candidates();
    /** Returns for how long an upstream pauses; nothing if it takes requests. */
    std::optional<Millis> pauseOf(const UpstreamRecord &upstream) const;
    /** Returns true if a credit of a limited upstream was requested; onCreditResult() continues. */
    bool requestCredit();
    void onCreditResult(const CreditResult &result);
    /** An upstream takes no request before @c retryDelay has passed, for this cause. */
    void noteUnavailable(GiveUpCause cause, Millis retryDelay);
    /** Consumes the credits of the chosen upstreams, just before sending. */
    void consumeCredits();
    bool chooseEngine(const std::vector<UpstreamPointer> &upstreams);
    PlacementQuery placementQuery() const;
    bool chooseLeastLoaded(const std::vector<UpstreamPointer> &upstreams);
    /** Returns true if the prompt is not sent now: it was deferred or refused. */
    bool deferOrReject();
    /**
        Queries the instances that track the likely prefill engines' queues. Returns true if a query
        was sent; onPrefillEstimates() continues.
    */
    bool queryPrefillEstimates();
    void onPrefillEstimates(const std::vector<UpstreamPointer> &engines,
                            const PrefillExchange::Estimates &estimates);
    void sendChosen();
    void deferPrompt(const PromptOutlook &outlook);
    void leaveDeferredQueue();
    bool mayRetry();
    /** Takes one retry from the service's retry budget; returns false if none may be made. */
    bool takeRetry();
    void sendPrefill();
    void sendRun(std::string cacheSource);
    void send(const UpstreamPointer &upstream, const OutboundFields &fields, Millis timeout);
    UpstreamHooks hooks(PendingStep::Ticket ticket);
    OutboundFields outbound(const UpstreamEntry &upstream) const;
    /** Returns the scheduling urgency sent to the engine: 0 is the most urgent, 9 the least. */
    int urgency() const;
    /** Returns how long an upstream may show no sign of a response before it counts as silent. */
    Millis silenceTimeout() const;
    Millis prefillSilenceTimeout() const;
    /** Returns how long a stream may go on without an event, after which another may resume it. */
    Millis streamTimeout() const;

    void onHead(HttpHead &head);
    void onUnidentifiedHead(const HttpHead &head);
    void onBody(std::string_view data);
    /** Keeps a part of the response. Returns false if it is not one or is too long. */
    bool takeBody(std::string_view data);
    bool bufferBody(std::string_view data);
    /** Ends the attempt without waiting for the rest of its response. */
    void cutResponse(const UpstreamEnd &end);
    void rejectResponse(UpstreamEndKind kind, const std::string &why);
    void onEvent(const SseEvent &event);
    /** Passes an event on to the caller, unless it has it. */
    void passEvent(const SseEvent &event);
    void onEnd(const UpstreamEnd &end);
    void prefillEnded(const UpstreamEnd &end);
    void runEnded(const UpstreamEnd &end);
    /** The upstream stated that it did not run the request. */
    void onNotExecuted();
    /** A prefill engine holds the prompt's KV cache, for the decode engine to fetch. */
    void prefillSucceeded();
    /** Chooses another decode engine to fetch the prefilled KV cache; returns false if none can. */
    bool chooseOtherDecodeEngine();
    void runOnOtherEngine();
    void runWithCache();
    void attemptFailed(const UpstreamEnd &end, AttemptSign sign);
    /** A whole response can't be the rest of the one that the caller has begun to receive. */
    void continuationFailed();
    void responseCompleted(const UpstreamEnd &end);

    void noteEvent();
    void recordOutcome(AttemptSign outcome);
    void notePrefillDone();
    void noteExecutionStarted();
    /** Removes the attempt from the load estimates. */
    void closeAttempt();
    void releaseCacheHandle();

    void onDeadline();
    void onSilence();
    void onCallerDisconnected();
    /** How a request ends, unless its caller has received a part of a response. */
    enum class Ending : std::uint8_t {
        /** With the response of the last attempt. */
        Response,
        /** No upstream has run it. */
        Refusal,
        /** An upstream may have run it, and there is no response. */
        Failure,
    };
    struct EndCause
    {
        GiveUpCause cause;
        std::string why;
        /** Of a refusal. */
        int status = 503;
        std::optional<Millis> retryAfter;
    };

    /**
        Ends the request. All its ends come here, as what the caller has received decides what may
        still be sent: after a part of a stream only the stream's rest, or a break.
    */
    void end(Ending ending, const EndCause &cause);
    void sendResponse();
    void sendRefusal(const EndCause &cause);
    void sendFailure(const EndCause &cause);
    void breakResponseOff(const EndCause &cause);
    void beginResponse();
    /** Sends the caller the response of an attempt that is complete. */
    void deliverResponse();
    void refuse(int status, GiveUpCause cause, std::optional<Millis> retryAfter,
                const std::string &why);
    void giveUp(GiveUpCause cause, const std::string &why);
    void giveUpWithLastCause() { giveUp(lastCause_, lastProblem_); }
    /** Returns the Retry-After of a refusal, spread over the callers. */
    Millis callerRetryAfter() const;
    void logPlaced(const UpstreamEntry &upstream) const;
    void logAttempt(const UpstreamEnd &end) const;
    /** Returns what shows that the attempt did not run the request. */
    NotRunProof proofOf(const UpstreamEnd &end) const;
    /** Returns whether the attempt ended with a whole response that can be used. */
    bool isWhole(const UpstreamEnd &end) const;
    void logEnd(const EventKind &kind, int status, std::optional<GiveUpCause> cause = std::nullopt,
                const std::string &why = {}) const;
    /** Returns which of the route's latency goals the response missed, or "no". */
    const char *lateness() const;
    void noteFirstResponse();
    void endRequest(RequestOutcome outcome);

    RelayContext &context_;
    std::shared_ptr<HttpExchange> exchange_;
    std::shared_ptr<const RouteIndex> index_;
    const Route *route_ = nullptr;
    InboundRequest inbound_;
    std::string customer_;
    int urgency_ = 5;
    std::string service_;
    Millis arrivedAt_;
    Millis deadlineAt_;
    Deadline deadlineTimer_;
    /**
        Runs until the response begins, then until a stream's next event or the end of another
        response; on expiry another upstream may be tried.
    */
    Deadline silenceTimer_;
    /** On expiry it is tried again to choose an upstream or a carrier. */
    Deadline retryTimer_;

    PendingStep pendingStep_;
    PendingStep::Ticket retryTicket_ = 0;

    /** Set if the caller is connected to another instance. */
    std::shared_ptr<CarriedExchange> carried_;
    /** The request at the instance that carries it. */
    std::optional<CarriedCallId> handedCall_;
    /** Attempts that the instance which carries the request may make. */
    int handedAttempts_ = 0;
    PeerAddress handedTo_;
    std::set<PeerAddress> triedCarriers_;
    /** Until then the request waits for an instance that can carry it. */
    std::optional<Millis> carrierWaitEndsAt_;
    UpstreamCall call_;
    Attempt attempt_;
    SseReader sseReader_;
    std::set<std::string> tried_;
    mutable std::optional<RequestContents> contents_;
    /** The request is sent while others with its content wait for its outcome. */
    bool isTrial_ = false;
    /** Since when the request has been held. */
    std::optional<Millis> heldSince_;
    std::vector<UpstreamPointer> candidates_;
    int creditRequests_ = 0;
    /** How soon the first of the upstreams that pause or refused a credit takes a request again. */
    Millis upstreamRetryAfter_ = Millis::never();
    /** Attempts in which an upstream may have run the request. */
    int sends_ = 0;
    /** Of these, attempts whose connection broke. */
    int brokenAttempts_ = 0;
    int connectFailures_ = 0;
    /** Upstreams that stated that they did not run the request. */
    int refusals_ = 0;
    bool wasSent_ = false;
    bool isFirstSendCounted_ = false;
    /** Once an upstream may have run the request, it must no longer be refused as not run. */
    RunEvidence evidence_;
    bool wasDeferred_ = false;
    bool isDeferred_ = false;
    bool hasQueriedEstimates_ = false;
    /** Prefill estimates for this prompt by engine; set only while they are used to choose. */
    std::unordered_map<std::string, PrefillEstimate> prefillEstimates_;
    /** This prompt's entry in the prefill tracker of its engine. */
    PrefillExchange::Entry trackedPrefill_;
    QuotaGrant quotaGrant_;
    bool isHandOverAllowed_ = true;
    /** A prefill engine has been sent this prompt. */
    bool wasPrefillSent_ = false;
    UpstreamPointer otherDecodeEngine_;
    bool hasStarted_ = false;
    /** Set once the caller has received a part of a response. */
    std::optional<OpenResponse> openResponse_;
    bool hasEnded_ = false;
    std::string cacheHandle_;
    std::optional<std::uint64_t> lastEventId_;
    /** Where the stream began, once it has. */
    std::optional<StreamOrigin> origin_;
    std::vector<UpstreamPointer> sameVersion_;
    /** An event arrived here. */
    bool hasBegun_ = false;
    bool isHoldingEvents_ = false;
    std::vector<HeldEvent> heldEvents_;
    /** The end of an upstream's response, while events wait. */
    std::optional<UpstreamEnd> heldEnd_;
    StreamProgress stream_;
    GiveUpCause lastCause_ = GiveUpCause::NoUpstream;
    std::string lastProblem_ = "no upstream of the service is available";
};

} // namespace cuminrail
