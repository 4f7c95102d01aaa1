#pragma once

#include "gateway/request/RelayContext.h"
#include "net/http/SseReader.h"
#include "net/upstream/UpstreamCall.h"
#include "quarantine/quarantine.h"

#include <set>

namespace cuminrail {

/**
    One caller's request on its way: judged, sent, relayed, sent once more where that is allowed.

    At any moment at most one upstream has the request. What is known of the last attempt decides
    whether another may follow: a request that may have run goes out again only on routes that say
    so, and a refusal is worded as "not run" only while no upstream can have run it.
*/
class RequestRelay : public std::enable_shared_from_this<RequestRelay>
{
public:
    /**
        A connection within a region is made in a few milliseconds. A full listen queue drops the
        first packet, which TCP sends again after a second; another upstream is better by then.
    */
    static constexpr Millis connectPatience = Millis(400);

    RequestRelay(RelayContext &context, std::shared_ptr<HttpExchange> exchange);
    ~RequestRelay();
    RequestRelay(const RequestRelay &) = delete;
    RequestRelay &operator=(const RequestRelay &) = delete;

    void start();

private:
    /** Connections refused or unanswered before giving up; none of them reached anyone. */
    static constexpr int mostConnectFailures = 4;

    /** One send to one upstream, with what has come back of it. */
    struct Attempt
    {
        UpstreamPointer upstream;
        /** Set for prompts. */
        std::optional<EngineChoice> choice;
        bool isPrefill = false;
        bool isPromptRead = false;
        bool isCounted = false;
        Millis sentAt;
        int status = 0;
        AnswerTraits traits;
        std::vector<HttpHeader> headers;
        std::string body;
        bool isStreaming = false;
        bool isForeign = false;
    };

    /** What the caller got of a stream, over all attempts. */
    struct StreamProgress
    {
        std::uint32_t events = 0;
        Millis firstAt;
        Millis lastAt;
        Millis longestPause;
    };

    bool judge();
    bool identifyCaller();
    /** What the request counts for against its customer's quota. */
    double quotaCost(const CustomerQuota &quota) const;
    void askQuota();
    void quotaAnswered(const QuotaVerdict &verdict, double cost);
    /** What the request asks for; worked out at the first call. */
    const RequestFingerprint &fingerprint() const;
    bool isSuspected() const;
    /** Returns true after ending the request because it is quarantined. */
    bool isKeptFromUpstreams();
    /**
        Asks whether an upstream that broke off still takes connections, and reports one that does
        not.

        @param goesOn  the request waits for this before it is sent elsewhere
    */
    void checkEnded(const UpstreamPointer &upstream, bool goesOn);
    void dispatch();
    /** Sends to what was chosen, or keeps the prompt back. */
    void goOn();
    bool choose() { return chooseAmong(candidates()); }
    bool chooseAmong(const std::vector<UpstreamPointer> &upstreams);
    /** Upstreams that may get the request now: those without a limit, or with a credit here. */
    const std::vector<UpstreamPointer> &candidates();
    /** Returns true when a credit of a limited upstream was asked for; creditAnswered() goes on. */
    bool waitsForCredit();
    void creditAnswered(const CreditAnswer &answer);
    /** A limited upstream has no room before then. */
    void noteNoRoom(Millis roomAfter);
    /** What was chosen is sent to. */
    void useCredits();
    bool choosePrompt(const std::vector<UpstreamPointer> &upstreams);
    PlacementQuery placementQuery() const;
    bool choosePlain(const std::vector<UpstreamPointer> &upstreams);
    /** Returns true when the prompt is not sent now: it waits here, or was refused. */
    bool isKeptBack();
    /** Returns true when books were asked; booksAnswered() goes on. */
    bool asksBooks();
    void booksAnswered(const std::vector<UpstreamPointer> &readers,
                       const BookExchange::Offers &offers);
    void sendChosen();
    void hold(const PromptOutlook &outlook);
    void releaseHeld();
    bool mayRepeat();
    bool takeRepeat();
    void sendPrefill();
    void sendRun(std::string cacheSource);
    void send(const UpstreamPointer &upstream, const OutboundFields &fields, Millis patience);
    UpstreamHooks hooks();
    OutboundFields outbound(const UpstreamEntry &upstream) const;
    int urgency() const;
    Millis patience() const;
    Millis readerPatience() const;

    void onHead(HttpHead &head);
    void onBody(std::string_view data);
    void onEvent(const SseEvent &event);
    void onEnd(const UpstreamEnd &end);
    void prefillEnded(const UpstreamEnd &end);
    void runEnded(const UpstreamEnd &end);
    void refusedUnrun();
    void promptWasReadApart();
    /** Looks for an engine that may fetch what was read apart, and remembers it. */
    bool hasOtherRunner();
    void runElsewhere();
    void runHandedOver();
    void attemptFailed(const UpstreamEnd &end);
    void answered();

    void noteLimit(const UpstreamEntry &upstream);
    void noteEvent();
    void recordSign(AttemptSign sign);
    void promptRead();
    void began();
    void settleAttempt();
    void releaseHandle();

    void onDeadline();
    void onSilence();
    void onCallerLeft();
    void refuse(int status, GiveUpCause cause, std::optional<Millis> retryAfter,
                const std::string &why);
    void giveUp(GiveUpCause cause, const std::string &why);
    void giveUpAsBefore() { giveUp(lastCause_, lastProblem_); }
    Millis comeBackAfter() const;
    void logPlaced(const UpstreamEntry &upstream) const;
    void logAttempt(const UpstreamEnd &end) const;
    void logEnd(const EventKind &kind, int status, std::optional<GiveUpCause> cause = std::nullopt,
                const std::string &why = {}) const;
    /** Whether an answer came later than the route's goals, and by which of them. */
    const char *lateness() const;
    void firstAnswer();
    void over(RequestOutcome outcome);

    RelayContext &context_;
    std::shared_ptr<HttpExchange> exchange_;
    std::shared_ptr<const RouteIndex> index_;
    const Route *route_ = nullptr;
    InboundRequest inbound_;
    std::string customer_;
    int urgency_ = 5;
    std::string service_;
    Millis arrivedAt_;
    Millis endsAt_;
    Deadline deadline_;
    /** Runs while nothing of an answer has come, where another upstream may take over. */
    Deadline silence_;
    /** Runs while the prompt is kept back. */
    Deadline heldLook_;

    UpstreamCall call_;
    Attempt attempt_;
    SseReader events_;
    std::set<std::string> tried_;
    mutable std::optional<RequestFingerprint> fingerprint_;
    std::vector<UpstreamPointer> candidates_;
    int creditsAsked_ = 0;
    /** When the first of the upstreams that refused a credit may have room. */
    Millis limitComeBack_ = Millis::never();
    /** Upstreams that may have run it. */
    int sends_ = 0;
    /** Of these, broke off. */
    int breaks_ = 0;
    int connectFailures_ = 0;
    /** Upstreams that stated that they did not run it. */
    int refusals_ = 0;
    bool wasSent_ = false;
    bool isFirstCounted_ = false;
    /** An upstream may have run it; no refusal may say otherwise any more. */
    bool mayHaveRun_ = false;
    bool wasHeld_ = false;
    bool isHeld_ = false;
    bool wasAsked_ = false;
    /** What books say of this prompt; filled only while an engine is chosen by it. */
    std::unordered_map<std::string, ReadingOffer> offers_;
    BookExchange::Entry entry_;
    QuotaGrant quotaGrant_;
    bool isHandOverAllowed_ = true;
    /** A reader had this prompt once. */
    bool wasReadApart_ = false;
    UpstreamPointer otherRunner_;
    bool hasBegun_ = false;
    bool isAnswering_ = false;
    bool isOver_ = false;
    std::string handle_;
    std::optional<std::uint64_t> lastEvent_;
    StreamProgress stream_;
    GiveUpCause lastCause_ = GiveUpCause::NoUpstream;
    std::string lastProblem_ = "no upstream of the service is available";
};

} // namespace cuminrail
