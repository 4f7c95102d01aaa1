#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *quarantineReason = "upstreams ended under requests that ask the same";
constexpr const char *heldReason =
    "upstreams ended under requests with the same part, and another one is being tried";
/** Interval at which a request that is held asks whether it may be sent. */
constexpr Millis heldRetryInterval = Millis(20);
/** Longer than a trial takes; a request that is held for longer is refused. */
constexpr Millis maxHold = Millis(2000);

} // namespace

const RequestContents &RequestRelay::contents() const
{
    if (contents_)
        return *contents_;
    std::vector<ContentFingerprint> parts;
    std::string target = exchange_->head().target;
    if (inbound_.prompt) {
        const PromptShape &prompt = *inbound_.prompt;
        const std::size_t shared = prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
        for (std::size_t i = 0; i < std::min(shared, RequestContents::maxParts); ++i) {
            const std::string &part = prompt.parts[i].id;
            parts.push_back(ContentFingerprint::ofPart(prompt.model, part));
            parts.push_back(ContentFingerprint::ofCustomerPart(customer_, prompt.model, part));
        }
        // Requests with equal bodies may differ in what their prompts are made of.
        for (const PromptPart &part : prompt.parts)
            target.append("\n").append(part.id);
    }
    contents_ = RequestContents(ContentFingerprint::ofRequest(customer_, target, exchange_->body()),
                                std::move(parts));
    return *contents_;
}

bool RequestRelay::isSuspected() const
{
    return context_.quarantine->hasSuspects() && context_.quarantine->isSuspected(contents());
}

bool RequestRelay::isHeld() const
{
    return !isTrial_ && context_.quarantine->hasSuspects()
        && context_.quarantine->isHeld(contents());
}

bool RequestRelay::endIfQuarantined()
{
    if (!context_.quarantine->hasSuspects())
        return false;
    const auto remaining = context_.quarantine->remainingQuarantine(contents());
    if (!remaining)
        return false;
    refuse(503, GiveUpCause::Quarantined, remaining, quarantineReason);
    return true;
}

bool RequestRelay::endOrHold()
{
    if (isTrial_ || !context_.quarantine->hasSuspects())
        return endIfQuarantined();
    switch (context_.quarantine->decide(contents())) {
    case QuarantineDecision::Send:
        return false;
    case QuarantineDecision::SendAsTrial:
        isTrial_ = true;
        return false;
    case QuarantineDecision::Refuse:
        if (!endIfQuarantined())
            giveUp(GiveUpCause::Held, heldReason);
        return true;
    case QuarantineDecision::Wait:
        hold();
        return true;
    }
    return false;
}

void RequestRelay::hold()
{
    const Millis now = context_.now();
    attempt_ = Attempt();
    if (!heldSince_)
        heldSince_ = now;
    if (now - *heldSince_ >= maxHold)
        return giveUp(GiveUpCause::Held, heldReason);
    dispatchAfter(heldRetryInterval);
}

void RequestRelay::onContentsRestricted()
{
    const bool hasBegunHere =
        hasBegun_ || openResponse_ || (attempt_.status != 0 && !attempt_.isPrefill);
    const bool mayBeSentAgain = attempt_.isPrefill || route_->isRepeatable();
    if (hasEnded_ || hasBegunHere || !call_.isActive() || !mayBeSentAgain || !isHeld()
        || !guardEnabled(Guard::HeldCalledBack))
        return;
    context_.events(Event{&events::requestCalledBack,
                          {{"request", inbound_.id}, {"upstream", target()->entry.id}}});
    ++context_.counters.calledBack;
    silenceTimer_.clear();
    if (cancelAttempt()) {
        ++sends_;
        lastCause_ = GiveUpCause::Held;
        lastProblem_ = heldReason;
    }
    releaseCacheHandle();
    closeAttempt();
    dispatch();
}

void RequestRelay::trialEnded()
{
    if (isTrial_)
        context_.quarantine->trialEnded(contents());
    isTrial_ = false;
}

void RequestRelay::probeUpstream(const UpstreamPointer &upstream, bool dispatchesAfter)
{
    std::function<void()> goOn;
    if (dispatchesAfter)
        goOn = awaitStep(RequestStep::UpstreamProbe, [this] { dispatch(); });
    checkEnded(upstream,
               [self = shared_from_this(), incarnation = upstream->incarnation(),
                isTrial = isTrial_, goOn](bool hasEnded) {
                   if (hasEnded)
                       self->context_.quarantine->upstreamEnded(self->contents(), incarnation,
                                                                isTrial);
                   else if (isTrial)
                       self->context_.quarantine->trialEnded(self->contents());
                   if (goOn)
                       goOn();
               });
}

void RequestRelay::checkEnded(const UpstreamPointer &upstream,
                              std::function<void(bool hasEnded)> done)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.isProbe = true;
    request.timeouts.connect = connectTimeout;
    UpstreamHooks hooks;
    hooks.onEnd = [self = shared_from_this(), upstream, done](const UpstreamEnd &end) {
        if (end.kind != UpstreamEndKind::ConnectFailed)
            return done(false);
        // A refused connection means that the process ended, unless all upstreams refuse: then the
        // path of this instance is cut.
        self->context_.path.heldConnection(upstream->entry);
        self->context_.path.connectFailed(upstream->entry);
        self->context_.path.whenJudged(done);
    };
    context_.pool.start(std::move(request), std::move(hooks));
}

} // namespace cuminrail
