#include "gateway/request/RequestRelay.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** The response must reach the caller before its timeout: reserves a few network delays. */
constexpr Millis responseTransit = Millis(30);
/** With less time remaining than this, no upstream can produce a useful response. */
constexpr Millis minUsefulTime = Millis(20);
/**
    An idle engine's first event takes 45 to 80 ms, and longer while other requests run there. A
    retry with less time than this would only use up the retry budget.
*/
constexpr Millis minUsefulRetryTime = Millis(150);
/** A request refused by more upstreams than this is given up: its service is full. */
constexpr int maxRefusals = 2;
/** An upstream that sent data for any request within this time counts as alive. */
constexpr Millis progressWindow = Millis(700);
/**
    The same for a prefill engine: one instance receives a small share of its responses, and a
    prompt of 50,000 tokens takes 1.5 s by itself. With a shorter time, completed work of busy
    prefill engines was abandoned.
*/
constexpr Millis prefillProgressWindow = Millis(2500);
constexpr int configurationMissingRetryMs = 500;
constexpr int defaultUrgency = 3;

} // namespace

RequestRelay::RequestRelay(RelayContext &context, std::shared_ptr<HttpExchange> exchange)
    : context_(context), exchange_(std::move(exchange)),
      deadlineTimer_(context.deadlines, [this] { onDeadline(); }),
      silenceTimer_(context.deadlines, [this] { onSilence(); }),
      retryTimer_(context.deadlines,
                  [this] {
                      const auto self = shared_from_this();
                      finishStep(RequestStep::Retry, retryTicket_, [this] { dispatch(); });
                  }),
      sseReader_([this](const SseEvent &event) { onEvent(event); })
{
    ++context_.counters.inProgress;
    context_.relays.insert(this);
}

RequestRelay::RequestRelay(RelayContext &context, std::shared_ptr<CarriedExchange> carried)
    : RequestRelay(context, std::shared_ptr<HttpExchange>(carried))
{
    carried_ = std::move(carried);
    isFirstSendCounted_ = carried_->request().isFirstSendCounted;
    hasStarted_ = carried_->request().isRunCounted;
    ++context_.counters.carried;
}

RequestRelay::~RequestRelay()
{
    context_.relays.erase(this);
    --context_.counters.inProgress;
}

void RequestRelay::start()
{
    ++context_.counters.requests;
    arrivedAt_ = context_.now();
    if (!validateRequest())
        return;
    if (endIfQuarantined())
        return;
    exchange_->onCallerDisconnected([self = shared_from_this()] { self->onCallerDisconnected(); });
    // The customer's quota was taken by the instance to which the caller is connected.
    if (carried_ && carried_->request().isRepeat && !takeRetry())
        return giveUpWithLastCause();
    if (carried_)
        return dispatch();
    requestQuota();
}

bool RequestRelay::validateRequest()
{
    index_ = context_.index;
    Reason reason;
    auto inbound = context_.wire.decodeRequest(exchange_->head(), &reason);
    if (inbound)
        inbound_ = std::move(*inbound);
    if (index_ == nullptr) {
        refuse(503, GiveUpCause::NoConfiguration, Millis(configurationMissingRetryMs),
               "no configuration is known here yet");
        return false;
    }
    if (!inbound) {
        refuse(400, GiveUpCause::Malformed, std::nullopt, reason.toString());
        return false;
    }
    const std::string *host = exchange_->head().find("Host");
    route_ = index_->find(host == nullptr ? "" : *host, exchange_->head().path());
    if (route_ == nullptr) {
        refuse(404, GiveUpCause::NoRoute, std::nullopt, "no route has this host and path");
        return false;
    }
    if (!(carried_ ? adoptCarriedCaller() : authenticateCaller()))
        return false;
    service_ = RouteIndex::target(*route_, inbound_.id);
    lastEventId_ = inbound_.resumeAfter;
    Millis timeout = inbound_.timeout ? *inbound_.timeout - responseTransit : route_->timeout;
    if (carried_) {
        timeout = carried_->request().timeLeft;
        lastEventId_ = carried_->request().resumeAfter;
    }
    deadlineAt_ = arrivedAt_ + std::min(timeout, route_->timeout);
    if (context_.stopsAt && deadlineAt_ > *context_.stopsAt) {
        refuse(503, GiveUpCause::Stopping, callerRetryAfter(),
               "the instance stops before the request's time is over");
        return false;
    }
    deadlineTimer_.setAt(deadlineAt_);
    return true;
}

bool RequestRelay::authenticateCaller()
{
    int priority = route_->priority;
    if (!route_->isOpen && !index_->configuration().customers.empty()) {
        const RouteIndex::Caller *caller = index_->caller(inbound_.key);
        if (caller == nullptr) {
            refuse(401, GiveUpCause::UnknownKey, std::nullopt, "the key is not known");
            return false;
        }
        customer_ = caller->customer;
        priority = caller->priority.value_or(priority);
    }
    setUrgency(priority);
    return true;
}

void RequestRelay::setUrgency(int priority)
{
    urgency_ = std::clamp(defaultUrgency + priority, 0, 9);
}

bool RequestRelay::endStep(RequestStep step, PendingStep::Ticket ticket)
{
    if (hasEnded_)
        return false;
    if (pendingStep_.complete(ticket) || !guardEnabled(Guard::OneStepAtATime))
        return true;
    reportOutOfOrder(step);
    return false;
}

void RequestRelay::reportOutOfOrder(RequestStep step) const
{
    context_.events(Event{&events::stepOutOfOrder,
                          {{"request", inbound_.id},
                           {"step", std::string(requestStepNames.name(step))},
                           {"awaits", std::string(requestStepNames.name(pendingStep_.step()))}}});
}

void RequestRelay::dispatchAfter(Millis delay)
{
    retryTicket_ = pendingStep_.begin(RequestStep::Retry);
    retryTimer_.setAfter(delay);
}

void RequestRelay::dispatch()
{
    if (hasEnded_)
        return;
    // Another way to go on is open already, and would send the request as well.
    if (pendingStep_.isPending() && guardEnabled(Guard::OneStepAtATime))
        return reportOutOfOrder(RequestStep::None);
    attempt_ = Attempt();
    if (endIfQuarantined())
        return;
    const bool isRetry = sends_ + refusals_ > 0;
    const Millis minTime = isRetry && route_->hasPrompts ? minUsefulRetryTime : minUsefulTime;
    if (deadlineAt_ - context_.now() < minTime)
        return giveUp(GiveUpCause::DeadlineExceeded, "no time is left");
    const bool mustCarry = context_.path.isCut() && context_.carriage;
    if (!mustCarry && resolveOrigin())
        return;
    if (connectFailures_ >= maxConnectFailures && !mustCarry)
        return giveUp(GiveUpCause::Unreachable, "upstreams cannot be reached");
    if (refusals_ > maxRefusals)
        return giveUpWithLastCause();
    // The carrier takes a repeat from its allowance, as it counted the first send.
    if (isRetry && !(mustCarry ? sends_ < attemptLimit() : mayRetry()))
        return giveUpWithLastCause();
    if (mustCarry)
        return carry();
    if (choose())
        return deferOrSend();
    noteVersionGone();
    if (!requestCredit())
        giveUpWithLastCause();
}

void RequestRelay::deferOrSend()
{
    const bool isRetry = sends_ + refusals_ > 0;
    // After one query, a prompt that the estimates kept here still defer is not queried for again.
    if (!isRetry
        && ((hasQueriedEstimates_ && deferOrReject()) || queryPrefillEstimates()
            || deferOrReject()))
        return;
    sendChosen();
}

void RequestRelay::sendChosen()
{
    if (endOrHold())
        return;
    leaveDeferredQueue();
    consumeCredits();
    if (attempt_.choice && attempt_.choice->prefill)
        sendPrefill();
    else
        sendRun({});
}

bool RequestRelay::mayRetry()
{
    return sends_ < attemptLimit() && takeRetry();
}

bool RequestRelay::takeRetry()
{
    if (isSuspected()) {
        lastProblem_ += ", and upstreams ended under requests like it";
        return false;
    }
    if (!context_.retries.tryAcquireRetry(service_, context_.now())) {
        lastCause_ = GiveUpCause::RetryLimit;
        lastProblem_ += ", and the limit on repeats is reached";
        return false;
    }
    ++context_.counters.retries;
    return true;
}

void RequestRelay::onDeadline()
{
    if (hasEnded_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.timeouts;
    cancelAttempt();
    releaseCacheHandle();
    closeAttempt();
    giveUp(GiveUpCause::DeadlineExceeded, "the time for it is over");
}

void RequestRelay::onStop()
{
    if (hasEnded_)
        return;
    const auto self = shared_from_this();
    cancelAttempt();
    releaseCacheHandle();
    closeAttempt();
    giveUp(GiveUpCause::Stopping, "the instance stops");
}

void RequestRelay::onSilence()
{
    if (hasEnded_ || !call_.isActive())
        return;
    const UpstreamPointer &upstream = target();
    const bool hasBegun = attempt_.status != 0;
    // An upstream that responds to other requests is busy, not dead. Sent elsewhere, this request
    // would lose its place in the queue and the work already done, just when capacity is scarce.
    const Millis window = attempt_.isPrefill ? prefillProgressWindow : progressWindow;
    if (!hasBegun && context_.health.hasProgressed(upstream->entry.id, window, context_.now())) {
        silenceTimer_.setAfter(progressWindow);
        return;
    }
    if (!hasBegun)
        context_.path.requestSilent();
    cutResponse({UpstreamEndKind::Silent,
                 call_.verdictSoFar(),
                 {upstream->entry.address, "no answer in time"}});
}

void RequestRelay::onCallerDisconnected()
{
    if (hasEnded_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.callersLeft;
    logEnd(events::callerLeft, 0);
    // The caller is gone: closing the connection makes the upstream abort the request.
    cancelAttempt();
    releaseCacheHandle();
    closeAttempt();
    endRequest(RequestOutcome::CallerLeft);
}

} // namespace cuminrail
