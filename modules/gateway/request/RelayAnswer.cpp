#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Answers that are no streams are held whole, so that a broken one can still become an error. */
constexpr std::size_t mostBufferedBytes = 16U << 20U;
/** Two thirds of the tightest present goal: soon enough to be on time, late enough for a change. */
constexpr Millis leastComeBack = Millis(250);
/** Returns are spread at least over this. */
constexpr Millis comeBackSpread = Millis(300);

} // namespace

void RequestRelay::onHead(HttpHead &head)
{
    silence_.clear();
    const UpstreamPointer &upstream =
        attempt_.isPrefill ? attempt_.choice->prefill : attempt_.upstream;
    context_.health.progressed(upstream->entry.id, context_.now());
    attempt_.status = head.status;
    attempt_.traits = context_.wire.decodeAnswer(head);
    attempt_.isForeign =
        head.find(context_.wire.identityHeader) == nullptr && !attempt_.traits.isRefusedUnrun;
    if (!attempt_.isForeign && !attempt_.traits.isOtherUpstream)
        noteLimit(upstream->entry);
    if (attempt_.isPrefill)
        return;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    // Whoever else answered, a caller would take it for the upstream's own answer.
    if (isSuccess && !attempt_.traits.isVouchedFor)
        attempt_.isForeign = true;
    if (attempt_.isForeign)
        return;
    attempt_.headers = context_.wire.callerHeaders(head);
    attempt_.isStreaming = isSuccess && route_->kind == RouteKind::Stream;
}

void RequestRelay::onBody(std::string_view data)
{
    if (isOver_ || attempt_.isForeign || attempt_.traits.isRefusedUnrun)
        return;
    if (!attempt_.isStreaming) {
        if (attempt_.body.size() + data.size() <= mostBufferedBytes)
            attempt_.body.append(data);
        else
            attempt_.isForeign = true;
        return;
    }
    if (!events_.feed(data))
        attempt_.isForeign = true;
}

void RequestRelay::onEvent(const SseEvent &event)
{
    if (isOver_)
        return;
    promptRead();
    if (attempt_.choice)
        context_.engines.runBegan(*attempt_.choice, context_.now());
    began();
    context_.health.progressed(attempt_.upstream->entry.id, context_.now());
    // A resumed stream that begins too early would give the caller pieces twice.
    if (event.number && lastEvent_ && *event.number <= *lastEvent_)
        return;
    if (event.number)
        lastEvent_ = event.number;
    if (!isAnswering_) {
        isAnswering_ = true;
        firstAnswer();
        exchange_->beginStream(attempt_.status, attempt_.headers);
    }
    noteEvent();
    exchange_->write(event.bytes);
    if (!exchange_->isCongested())
        return;
    call_.pause();
    exchange_->onWritable([self = shared_from_this()] { self->call_.resume(); });
}

void RequestRelay::noteEvent()
{
    const Millis now = context_.now();
    if (stream_.events++ == 0) {
        stream_.firstAt = now;
    } else {
        const Millis pause = now - stream_.lastAt;
        stream_.longestPause = std::max(stream_.longestPause, pause);
        context_.metrics.paused(pause.toSeconds());
    }
    stream_.lastAt = now;
}

void RequestRelay::recordSign(AttemptSign sign)
{
    context_.health.record(attempt_.upstream->entry.id, sign, context_.now());
}

void RequestRelay::promptRead()
{
    if (!attempt_.choice || attempt_.isPromptRead)
        return;
    attempt_.isPromptRead = true;
    context_.metrics.promptRead((context_.now() - attempt_.sentAt).toSeconds());
    context_.engines.promptRead(*attempt_.choice, attempt_.sentAt, context_.now());
}

void RequestRelay::began()
{
    if (hasBegun_)
        return;
    hasBegun_ = true;
    if (!customer_.empty() && context_.onBegan)
        context_.onBegan(customer_);
}

void RequestRelay::settleAttempt()
{
    if (!attempt_.isCounted)
        return;
    attempt_.isCounted = false;
    if (context_.books)
        context_.books->takeBack(entry_);
    if (attempt_.choice)
        context_.engines.finished(*attempt_.choice, attempt_.isPromptRead, context_.now());
    else
        context_.services.finished(attempt_.upstream->entry.id);
}

Millis RequestRelay::comeBackAfter() const
{
    // Room is foreseen no sooner than half of what others have waited for it in vain.
    const bool isOverload = lastCause_ == GiveUpCause::Overload;
    const Millis queueAge =
        isOverload ? context_.held.oldestAge(route_->name, context_.now()) : Millis(0);
    const Millis room = lastCause_ == GiveUpCause::UpstreamLimit ? limitComeBack_ : Millis(0);
    const Millis least = std::max({leastComeBack, queueAge / 2, room});
    // Callers that were refused together must not come back together.
    const auto spread = static_cast<std::uint64_t>(std::max(comeBackSpread, least).count());
    return least
        + Millis(static_cast<std::int64_t>(std::hash<std::string>()(inbound_.id) % spread));
}

void RequestRelay::refuse(int status, GiveUpCause cause, std::optional<Millis> retryAfter,
                          const std::string &why)
{
    ++context_.counters.refused;
    context_.metrics.gaveUp(cause, RequestOutcome::Refused);
    logEnd(events::requestRefused, status, cause, why);
    exchange_->respond(context_.wire.ownAnswer(status, inbound_.id, retryAfter, why));
    over(RequestOutcome::Refused);
}

void RequestRelay::giveUp(GiveUpCause cause, const std::string &why)
{
    const auto self = shared_from_this();
    if (!isAnswering_ && !mayHaveRun_)
        return refuse(503, cause, comeBackAfter(), why);
    ++context_.counters.failed;
    context_.metrics.gaveUp(cause, RequestOutcome::Failed);
    if (isAnswering_) {
        logEnd(events::requestFailed, 0, cause, "cut in the stream: " + why);
        exchange_->abort();
    } else {
        const int status = context_.now() >= endsAt_ ? 504 : 502;
        logEnd(events::requestFailed, status, cause, why);
        exchange_->respond(context_.wire.ownAnswer(status, inbound_.id, std::nullopt, why));
    }
    over(RequestOutcome::Failed);
}

void RequestRelay::firstAnswer()
{
    const Millis took = context_.now() - arrivedAt_;
    context_.metrics.firstAnswer(route_->kind, took.toSeconds());
}

void RequestRelay::over(RequestOutcome outcome)
{
    isOver_ = true;
    deadline_.clear();
    silence_.clear();
    heldLook_.clear();
    releaseHeld();
    // A refusal says that it was not run. What was sent for a caller that left may have run.
    if (!wasSent_ || outcome == RequestOutcome::Refused)
        context_.quotas->giveBack(quotaGrant_);
    const Millis took = context_.now() - arrivedAt_;
    const RouteKind kind = route_ == nullptr ? RouteKind::Safe : route_->kind;
    context_.metrics.requestEnded(kind, outcome, took.toSeconds());
}

} // namespace cuminrail
