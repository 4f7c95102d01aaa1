#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"
#include "gateway/request/UpstreamStatements.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Responses other than streams are buffered whole, so that a truncated one becomes an error. */
constexpr std::size_t maxBufferedBytes = 16U << 20U;
/** Two thirds of the tightest latency goal: a retry can still be on time, and load may change. */
constexpr Millis minRetryAfter = Millis(250);
/** Callers' retries are spread at least over this time. */
constexpr Millis minRetryJitter = Millis(300);

} // namespace

void RequestRelay::onHead(HttpHead &head)
{
    silenceTimer_.clear();
    const UpstreamPointer &upstream = target();
    context_.health.progressed(upstream->entry.id, context_.now());
    context_.path.progressed();
    attempt_.status = head.status;
    attempt_.traits = context_.wire.decodeResponse(head);
    attempt_.isInvalid =
        head.find(context_.wire.identityHeader) == nullptr && !attempt_.traits.isRefusedUnrun;
    if (!attempt_.isInvalid)
        recordStatements(context_, *upstream, attempt_.traits);
    if (attempt_.isPrefill)
        return;
    attempt_.headAt = context_.now();
    const bool isSuccess = head.status >= 200 && head.status < 300;
    // A success that the upstream does not vouch for may come from another server at its address.
    // Relayed, the caller would take it for the upstream's response.
    if (isSuccess && !attempt_.traits.isVouchedFor)
        attempt_.isInvalid = true;
    if (attempt_.isInvalid)
        return;
    attempt_.headers = context_.wire.callerHeaders(head);
    attempt_.isStreaming = isSuccess && route_->kind == RouteKind::Stream;
}

void RequestRelay::onBody(std::string_view data)
{
    if (hasEnded_ || attempt_.isInvalid || attempt_.traits.isRefusedUnrun)
        return;
    if (!attempt_.isStreaming) {
        if (attempt_.body.size() + data.size() <= maxBufferedBytes)
            attempt_.body.append(data);
        else
            attempt_.isInvalid = true;
        return;
    }
    if (!sseReader_.feed(data))
        attempt_.isInvalid = true;
}

void RequestRelay::onEvent(const SseEvent &event)
{
    if (hasEnded_)
        return;
    // Without a number nobody can tell whether the caller has this event.
    attempt_.isInvalid = attempt_.isInvalid || (attempt_.mustShowPosition && !event.number);
    if (attempt_.isInvalid)
        return;
    attempt_.mustShowPosition = false;
    notePrefillDone();
    if (attempt_.choice)
        context_.engines.runBegan(*attempt_.choice, context_.now());
    noteExecutionStarted();
    if (attempt_.upstream) {
        context_.health.progressed(attempt_.upstream->entry.id, context_.now());
        context_.path.progressed();
    }
    if (holdsFirstEvent())
        return holdEvent(event);
    passEvent(event);
}

void RequestRelay::passEvent(const SseEvent &event)
{
    // A resumed stream can begin before the last relayed event; duplicate events are dropped.
    if (event.number && lastEventId_ && *event.number <= *lastEventId_)
        return;
    if (event.number)
        lastEventId_ = event.number;
    if (!hasResponseStarted_) {
        hasResponseStarted_ = true;
        noteFirstResponse();
        exchange_->beginStream(attempt_.status, attempt_.headers);
    }
    noteEvent();
    exchange_->write(event.bytes);
    if (!exchange_->isCongested())
        return;
    pauseResponse();
    exchange_->onWritable([self = shared_from_this()] { self->resumeResponse(); });
}

void RequestRelay::noteEvent()
{
    const Millis now = context_.now();
    if (stream_.eventCount++ == 0) {
        stream_.firstAt = now;
    } else {
        const Millis pause = now - stream_.lastAt;
        stream_.longestPause = std::max(stream_.longestPause, pause);
        context_.metrics.streamPaused(pause.toSeconds());
    }
    stream_.lastAt = now;
}

void RequestRelay::recordOutcome(AttemptSign outcome)
{
    context_.health.record(attempt_.upstream->entry.id, outcome, context_.now());
}

void RequestRelay::notePrefillDone()
{
    if (!attempt_.choice || attempt_.isPrefillDone)
        return;
    attempt_.isPrefillDone = true;
    context_.metrics.prefillDone((context_.now() - attempt_.sentAt).toSeconds());
    context_.engines.promptRead(*attempt_.choice, attempt_.sentAt, context_.now());
}

void RequestRelay::noteExecutionStarted()
{
    if (hasStarted_)
        return;
    hasStarted_ = true;
    if (customer_.empty() || !context_.onExecutionStarted)
        return;
    ++context_.counters.runsCounted;
    context_.onExecutionStarted(customer_);
}

void RequestRelay::closeAttempt()
{
    if (!attempt_.isCounted)
        return;
    attempt_.isCounted = false;
    if (attempt_.status == 0)
        context_.backoffs.aborted(target()->incarnation(), context_.now());
    if (context_.prefillExchange)
        context_.prefillExchange->cancelPrefill(trackedPrefill_);
    if (attempt_.choice)
        context_.engines.finished(*attempt_.choice, attempt_.isPrefillDone, context_.now());
    else
        context_.services.finished(attempt_.upstream->entry.id);
}

Millis RequestRelay::callerRetryAfter() const
{
    // Under overload, capacity is expected no sooner than after half of the time that the oldest
    // deferred prompt has already waited.
    const bool isOverload = lastCause_ == GiveUpCause::Overload;
    const Millis queueAge =
        isOverload ? context_.deferredPrompts.oldestAge(route_->name, context_.now()) : Millis(0);
    const bool isPause = lastCause_ == GiveUpCause::UpstreamPause;
    const Millis upstreamWait =
        isPause || lastCause_ == GiveUpCause::UpstreamLimit ? upstreamRetryAfter_ : Millis(0);
    const Millis base = std::max({minRetryAfter, queueAge / 2, upstreamWait});
    // Callers that were refused together must not retry together. The end of a pause is known, so
    // a short spread after it suffices.
    const Millis spread = isPause ? minRetryJitter : std::max(minRetryJitter, base);
    const auto jitter = static_cast<std::uint64_t>(spread.count());
    return base + Millis(static_cast<std::int64_t>(std::hash<std::string>()(inbound_.id) % jitter));
}

void RequestRelay::refuse(int status, GiveUpCause cause, std::optional<Millis> retryAfter,
                          const std::string &why)
{
    ++context_.counters.refused;
    context_.metrics.requestGivenUp(cause, RequestOutcome::Refused);
    logEnd(events::requestRefused, status, cause, why);
    if (!carried_)
        exchange_->respond(context_.wire.localResponse(status, inbound_.id, retryAfter, why));
    else if (status == 503 && cause != GiveUpCause::NoConfiguration && !context_.path.isCut())
        carried_->refuse(retryAfter, why);
    else
        carried_->decline(why);
    endRequest(RequestOutcome::Refused);
}

void RequestRelay::giveUp(GiveUpCause cause, const std::string &why)
{
    const auto self = shared_from_this();
    // What cannot go on later either names no time to come back.
    const bool isFinal = cause == GiveUpCause::StreamGone || cause == GiveUpCause::StreamUnknown;
    const auto retryAfter = isFinal ? std::nullopt : std::optional<Millis>(callerRetryAfter());
    if (!hasResponseStarted_ && !mayHaveRun_)
        return refuse(503, cause, retryAfter, why);
    ++context_.counters.failed;
    context_.metrics.requestGivenUp(cause, RequestOutcome::Failed);
    if (carried_)
        carried_->setSends(sends_);
    if (hasResponseStarted_) {
        logEnd(events::requestFailed, 0, cause, "stream truncated: " + why);
        exchange_->abort();
    } else {
        const bool isOverdue =
            cause == GiveUpCause::DeadlineExceeded || context_.now() >= deadlineAt_;
        const int status = isOverdue ? 504 : 502;
        logEnd(events::requestFailed, status, cause, why);
        if (carried_)
            carried_->fail(isOverdue, why);
        else
            exchange_->respond(context_.wire.localResponse(status, inbound_.id, std::nullopt, why));
    }
    endRequest(RequestOutcome::Failed);
}

void RequestRelay::noteFirstResponse()
{
    const Millis took = context_.now() - arrivedAt_;
    context_.metrics.firstResponse(route_->kind, took.toSeconds());
}

void RequestRelay::endRequest(RequestOutcome outcome)
{
    hasEnded_ = true;
    deadlineTimer_.clear();
    silenceTimer_.clear();
    deferralTimer_.clear();
    leaveDeferredQueue();
    trialEnded();
    // A refused request was not run, so its quota is returned. A request that was sent for a caller
    // that left may have run.
    if (!wasSent_ || outcome == RequestOutcome::Refused)
        context_.quotas->release(quotaGrant_);
    const Millis took = context_.now() - arrivedAt_;
    const RouteKind kind = route_ == nullptr ? RouteKind::Safe : route_->kind;
    context_.metrics.requestEnded(kind, outcome, took.toSeconds());
}

} // namespace cuminrail
