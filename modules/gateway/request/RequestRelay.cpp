#include "gateway/request/RequestRelay.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** The answer must still reach the caller before it stops waiting: a few network delays. */
constexpr Millis answerTravel = Millis(30);
/** With less time than this left no upstream can do anything useful. */
constexpr Millis leastUseful = Millis(20);
/**
    An idle engine's first event takes 45 to 80 ms, more while others run there. A repeat with less
    time than this would use up the limit for nothing.
*/
constexpr Millis leastUsefulRepeat = Millis(150);
/** Refusals after which a request is given up: its service has no room. */
constexpr int mostRefusals = 2;
/** An upstream that showed something to any request within this long counts as alive. */
constexpr Millis progressSpan = Millis(700);
/**
    The same for a reader: one instance's share of its answers is small, and a prompt of 50,000
    tokens takes 1.5 s by itself. Left sooner, busy readers lost work that they had done.
*/
constexpr Millis readerProgressSpan = Millis(2500);
constexpr int configurationMissingRetryMs = 500;
constexpr int usualUrgency = 3;

} // namespace

RequestRelay::RequestRelay(RelayContext &context, std::shared_ptr<HttpExchange> exchange)
    : context_(context), exchange_(std::move(exchange)),
      deadline_(context.deadlines, [this] { onDeadline(); }),
      silence_(context.deadlines, [this] { onSilence(); }),
      heldLook_(context.deadlines,
                [this] {
                    const auto self = shared_from_this();
                    dispatch();
                }),
      events_([this](const SseEvent &event) { onEvent(event); })
{
    ++context_.counters.inProgress;
}

RequestRelay::~RequestRelay()
{
    --context_.counters.inProgress;
}

void RequestRelay::start()
{
    ++context_.counters.requests;
    arrivedAt_ = context_.now();
    if (!judge())
        return;
    if (isKeptFromUpstreams())
        return;
    exchange_->onCallerLeft([self = shared_from_this()] { self->onCallerLeft(); });
    askQuota();
}

bool RequestRelay::judge()
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
    if (!identifyCaller())
        return false;
    service_ = RouteIndex::target(*route_, inbound_.id);
    lastEvent_ = inbound_.resumeAfter;
    const Millis patience = inbound_.patience ? *inbound_.patience - answerTravel : route_->timeout;
    endsAt_ = arrivedAt_ + std::min(patience, route_->timeout);
    deadline_.setAt(endsAt_);
    return true;
}

bool RequestRelay::identifyCaller()
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
    urgency_ = std::clamp(usualUrgency + priority, 0, 9);
    return true;
}

void RequestRelay::dispatch()
{
    if (isOver_)
        return;
    attempt_ = Attempt();
    if (isKeptFromUpstreams())
        return;
    const bool isRepeat = sends_ + refusals_ > 0;
    const Millis least = isRepeat && route_->hasPrompts ? leastUsefulRepeat : leastUseful;
    if (endsAt_ - context_.now() < least)
        return giveUp(GiveUpCause::TimeOver, "no time is left");
    if (connectFailures_ >= mostConnectFailures)
        return giveUp(GiveUpCause::Unreachable, "upstreams cannot be reached");
    if (refusals_ > mostRefusals)
        return giveUpAsBefore();
    if (isRepeat && !mayRepeat())
        return giveUpAsBefore();
    if (choose())
        goOn();
    else if (!waitsForCredit())
        giveUpAsBefore();
}

void RequestRelay::goOn()
{
    const bool isRepeat = sends_ + refusals_ > 0;
    // Engines that are known to be busy need not be asked of again.
    if (!isRepeat && ((wasAsked_ && isKeptBack()) || asksBooks() || isKeptBack()))
        return;
    sendChosen();
}

void RequestRelay::sendChosen()
{
    releaseHeld();
    useCredits();
    if (attempt_.choice && attempt_.choice->prefill)
        sendPrefill();
    else
        sendRun({});
}

bool RequestRelay::mayRepeat()
{
    return sends_ < route_->maxAttempts && takeRepeat();
}

bool RequestRelay::takeRepeat()
{
    if (isSuspected()) {
        lastProblem_ += ", and upstreams ended under requests like it";
        return false;
    }
    if (!context_.retries.takeRepeat(service_, context_.now())) {
        lastCause_ = GiveUpCause::RepeatLimit;
        lastProblem_ += ", and the limit on repeats is reached";
        return false;
    }
    ++context_.counters.repeats;
    return true;
}

void RequestRelay::onDeadline()
{
    if (isOver_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.timeouts;
    if (call_.isActive()) {
        const bool mayRun = call_.verdictSoFar() != Verdict::NotRun && !attempt_.isPrefill;
        mayHaveRun_ = mayHaveRun_ || mayRun;
        call_.cancel();
    }
    releaseHandle();
    settleAttempt();
    giveUp(GiveUpCause::TimeOver, "the time for it is over");
}

void RequestRelay::onSilence()
{
    if (isOver_ || !call_.isActive())
        return;
    const UpstreamPointer &upstream =
        attempt_.isPrefill ? attempt_.choice->prefill : attempt_.upstream;
    // An upstream that answers others is busy, not dead. Sent elsewhere, the request would lose
    // its place, and the work done for it, just when there is too little of both.
    const Millis span = attempt_.isPrefill ? readerProgressSpan : progressSpan;
    if (context_.health.hasProgressed(upstream->entry.id, span, context_.now())) {
        silence_.setAfter(progressSpan);
        return;
    }
    const auto self = shared_from_this();
    const Verdict verdict = call_.verdictSoFar();
    call_.cancel();
    onEnd(UpstreamEnd{
        UpstreamEndKind::Silent, verdict, {upstream->entry.address, "no answer in time"}});
}

void RequestRelay::onCallerLeft()
{
    if (isOver_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.callersLeft;
    logEnd(events::callerLeft, 0);
    // Nobody waits any more: the upstream's work is ended with its connection.
    call_.cancel();
    releaseHandle();
    settleAttempt();
    over(RequestOutcome::CallerLeft);
}

} // namespace cuminrail
