#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Instances to which a request is handed, one after the other, at most. */
constexpr std::size_t maxCarriers = 3;
/** Interval at which a request looks for a carrier while candidates are being asked. */
constexpr Millis carrierRetryInterval = Millis(20);
/** A request is refused if no candidate can carry it after this time. */
constexpr Millis maxCarrierWait = Millis(700);
/** A response must come back from the carrier before the deadline here. */
constexpr Millis carriageTransit = Millis(10);

/** Returns the headers of a request without any that contains the caller's key. */
std::vector<HttpHeader> withoutKey(const std::vector<HttpHeader> &headers, const std::string &key)
{
    std::vector<HttpHeader> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [&](const auto &each) {
        return key.empty() || each.value.find(key) == std::string::npos;
    });
    return kept;
}

} // namespace

int RequestRelay::attemptLimit() const
{
    const int allowed = carried_ ? static_cast<int>(carried_->request().attempts) : INT32_MAX;
    return std::min(allowed, route_->maxAttempts);
}

bool RequestRelay::adoptCarriedCaller()
{
    customer_ = carried_->request().customer;
    int priority = route_->priority;
    if (!customer_.empty()) {
        const CustomerKeys *customer = index_->customer(customer_);
        if (customer == nullptr) {
            refuse(401, GiveUpCause::UnknownKey, std::nullopt, "the customer is not known here");
            return false;
        }
        priority = customer->priority.value_or(priority);
    } else if (!route_->isOpen && !index_->configuration().customers.empty()) {
        refuse(401, GiveUpCause::UnknownKey, std::nullopt, "the route needs a customer here");
        return false;
    }
    setUrgency(priority);
    return true;
}

void RequestRelay::carry()
{
    if (carried_)
        return giveUp(GiveUpCause::Unreachable, "no upstream can be reached from here either");
    if (context_.settings.decisions.carryWhenCut < 1)
        return giveUp(GiveUpCause::Unreachable, "no upstream can be reached");
    if (triedCarriers_.size() >= maxCarriers)
        return giveUpWithLastCause();
    if (const auto carrier = context_.carriage->chooseCarrier(triedCarriers_))
        return handTo(*carrier);
    if (!carrierWaitEndsAt_)
        carrierWaitEndsAt_ = context_.now() + maxCarrierWait;
    if (context_.carriage->isSearching() && context_.now() < *carrierWaitEndsAt_) {
        context_.carriage->tick();
        return dispatchAfter(carrierRetryInterval);
    }
    giveUp(GiveUpCause::Unreachable, "neither an upstream nor an instance that could carry it");
}

CarriedOpen RequestRelay::carriedOpen() const
{
    const HttpHead &head = exchange_->head();
    CarriedOpen open;
    open.customer = customer_;
    open.method = head.method;
    open.target = head.target;
    open.fields = carriedFields(withoutKey(head.headers, inbound_.key));
    open.timeLeft = deadlineAt_ - context_.now() - carriageTransit;
    // One attempt of a repeatable request stays here, in case the link to the carrier ends.
    const int left = route_->maxAttempts - sends_;
    open.attempts = static_cast<std::uint32_t>(
        std::max(1, route_->isRepeatable() && left > 1 ? left - 1 : left));
    open.isFirstSendCounted = isFirstSendCounted_;
    open.isRepeat = sends_ + refusals_ > 0;
    open.isRunCounted = hasStarted_;
    open.resumeAfter = lastEventId_;
    return open;
}

void RequestRelay::handTo(const PeerAddress &carrier)
{
    triedCarriers_.insert(carrier);
    CarriedOpen open = carriedOpen();
    handedAttempts_ = static_cast<int>(open.attempts);
    sseReader_.discardPartial();
    handedTo_ = carrier;
    evidence_.attemptStarted();
    const auto ticket = pendingStep_.begin(RequestStep::CarriedCall);
    const auto call = context_.carriage->outgoing().start(carrier, std::move(open),
                                                          exchange_->body(), carriedHooks(ticket));
    if (!call) {
        pendingStep_.cancel();
        evidence_.attemptEnded(NotRunProof::NothingWritten);
        return giveUp(GiveUpCause::Unreachable, "its head is too large to be carried");
    }
    ++context_.counters.handedOver;
    // The link may have ended while the request was written to it.
    if (!pendingStep_.isCurrent(ticket))
        return;
    handedCall_ = call;
    if (!wasSent_) {
        wasSent_ = true;
        context_.metrics.firstSent((context_.now() - arrivedAt_).toSeconds());
    }
    context_.events(Event{&events::requestCarried,
                          {{"request", inbound_.id},
                           {"carrier", carrier},
                           {"elapsed_ms", std::to_string((context_.now() - arrivedAt_).count())}}});
}

CarriedCallHooks RequestRelay::carriedHooks(PendingStep::Ticket ticket)
{
    const auto self = shared_from_this();
    CarriedCallHooks hooks;
    hooks.onHead = [self, ticket](const CarriedHead &head) {
        if (!self->pendingStep_.isCurrent(ticket))
            return;
        self->acceptHead(head.status, headersOf(head.fields), head.isStream);
        // The carrier counts the run for usage.
        self->hasStarted_ = true;
    };
    hooks.onBody = [self, ticket](std::string_view data) {
        if (self->pendingStep_.isCurrent(ticket))
            self->onBody(data);
    };
    hooks.onEnd = [self, ticket](const CarriedEnd &end) {
        self->finishStep(RequestStep::CarriedCall, ticket, [&] { self->onCarriedEnd(end); });
    };
    return hooks;
}

void RequestRelay::onCarriedEnd(const CarriedEnd &end)
{
    handedCall_.reset();
    const NotRunProof proof = notRunProof(end.result);
    evidence_.attemptEnded(proof);
    const bool isPartial = attempt_.isStreaming && sseReader_.hasPartial();
    const bool isWhole = end.result == CarriedResult::Complete && !attempt_.isInvalid && !isPartial;
    if (isWhole && goesOnWithResponse()) {
        sends_ += static_cast<int>(end.sends);
        return deliverResponse();
    }
    const std::string reason = isWhole ? attempt_.mismatch : end.reason;
    ++context_.counters.handedOverFailed;
    context_.events(Event{&events::carriedAttemptEnded,
                          {{"request", inbound_.id},
                           {"result", std::string(carriedResultNames.name(end.result))},
                           {"proof", std::string(notRunProofNames.name(proof))},
                           {"reason", reason}}});
    lastProblem_ = reason;
    lastCause_ = GiveUpCause::Unreachable;
    if (end.result == CarriedResult::Declined)
        return dispatch();
    isFirstSendCounted_ = true;
    if (end.result == CarriedResult::NotRun)
        return refuse(503, GiveUpCause::Refused, end.retryAfter, reason);
    if (end.result == CarriedResult::Overdue)
        return giveUp(GiveUpCause::DeadlineExceeded, reason);
    lastCause_ = GiveUpCause::Broken;
    // Of a lost carrier it is not known how many attempts it made.
    const bool isLost = end.result == CarriedResult::Lost;
    sends_ += isLost ? handedAttempts_ : std::max(1, static_cast<int>(end.sends));
    // The fault was an upstream's, so the carrier may have the attempt that is left.
    if (!isLost)
        triedCarriers_.erase(handedTo_);
    if (route_->isRepeatable())
        return dispatch();
    giveUpWithLastCause();
}

void RequestRelay::pauseResponse()
{
    if (handedCall_)
        context_.carriage->outgoing().pause(*handedCall_);
    silenceTimer_.clear();
    call_.pause();
}

void RequestRelay::resumeResponse()
{
    if (handedCall_)
        context_.carriage->outgoing().resume(*handedCall_);
    if (call_.isActive())
        silenceTimer_.setAfter(streamTimeout());
    call_.resume();
}

bool RequestRelay::cancelAttempt()
{
    if (handedCall_) {
        context_.carriage->outgoing().cancel(*handedCall_);
        handedCall_.reset();
        pendingStep_.cancel();
        evidence_.attemptEnded(NotRunProof::None);
        return true;
    }
    if (!call_.isActive())
        return false;
    const UpstreamEnd cancelled{UpstreamEndKind::Cancelled,
                                call_.verdictSoFar(),
                                {target()->entry.address, "cancelled by this instance"}};
    logAttempt(cancelled);
    call_.cancel();
    pendingStep_.cancel();
    const NotRunProof proof = proofOf(cancelled);
    evidence_.attemptEnded(proof);
    return proof == NotRunProof::None;
}

} // namespace cuminrail
