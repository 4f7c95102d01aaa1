#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/**
    Upstreams close idle connections on their own schedule. A request sent into a connection that is
    being closed is lost, and one that must not run twice cannot be retried; so only recently used
    connections are reused for it.
*/
constexpr Millis maxIdleUnrepeatable = Millis(300);
constexpr Millis maxIdleRepeatable = Millis(4000);
/**
    Shortest stall timeout of a stream, after which another upstream may resume it. A sound upstream
    may be silent for a second or so.
*/
constexpr Millis minStreamTimeout = Millis(2500);

/** A prefill's response states a handle. */
constexpr std::uint64_t maxPrefillResponseBytes = 256 * 1024;

bool isStreamRoute(const Route &route)
{
    return route.kind == RouteKind::Stream;
}

} // namespace

OutboundFields RequestRelay::outbound(const UpstreamEntry &upstream) const
{
    OutboundFields fields;
    fields.timeLeft = deadlineAt_ - context_.now();
    fields.upstreamId = upstream.id;
    fields.customer = customer_;
    fields.resumeAfter = lastEventId_;
    if (route_->hasPrompts)
        fields.urgency = urgency();
    return fields;
}

int RequestRelay::urgency() const
{
    // A request that cannot meet its latency goal any more would delay others past theirs, and all
    // would be late.
    const auto estimate =
        static_cast<std::int64_t>(attempt_.choice ? attempt_.choice->firstEventMillis : 0);
    const Millis firstEventAfter = context_.now() - arrivedAt_ + Millis(estimate);
    const bool missesGoal = attempt_.isPrefill && firstEventAfter > route_->goal;
    const int lateUrgency = static_cast<int>(context_.settings.decisions.lateUrgency);
    return missesGoal ? lateUrgency : streamUrgency().value_or(urgency_);
}

Millis RequestRelay::silenceTimeout() const
{
    const Millis remaining = deadlineAt_ - context_.now();
    // Silence ends an attempt early only if another upstream may be tried.
    const bool mayTryAnother = route_->isRepeatable() && sends_ + 1 < attemptLimit();
    if (!mayTryAnother)
        return remaining + Millis(1000);
    return std::max(route_->goal, remaining * 2 / 5);
}

Millis RequestRelay::streamTimeout() const
{
    return std::max(minStreamTimeout, route_->gapGoal * 4);
}

void RequestRelay::sendRun(std::string cacheSource)
{
    attempt_.isPrefill = false;
    if (!isFirstSendCounted_) {
        isFirstSendCounted_ = true;
        context_.retries.recordFirstAttempt(service_, context_.now());
    }
    OutboundFields fields = outbound(attempt_.upstream->entry);
    if (!cacheSource.empty())
        context_.engines.handedOver(*attempt_.choice, *inbound_.prompt, context_.now());
    fields.cacheSource = std::move(cacheSource);
    attempt_.mustShowPosition = lastEventId_.has_value();
    sseReader_.discardPartial();
    send(attempt_.upstream, fields, silenceTimeout());
}

void RequestRelay::send(const UpstreamPointer &upstream, const OutboundFields &fields,
                        Millis timeout)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.wire =
        context_.wire.encodeRequest(exchange_->head(), exchange_->body(), inbound_, fields);
    request.requestId = inbound_.id;
    request.identityHeader = context_.wire.identityHeader;
    // onHead() requires the identity, after reading what a refusal states of the upstream.
    request.isEchoRequired = false;
    request.isHead = exchange_->head().method == "HEAD";
    request.allowsEndByClose = true;
    request.maxIdleTime = route_->isRepeatable() ? maxIdleRepeatable : maxIdleUnrepeatable;
    request.timeouts.connect = std::min(connectTimeout, fields.timeLeft);
    // While no response has begun, onSilence() decides; this timeout is only a backstop.
    request.timeouts.firstByte = fields.timeLeft + Millis::seconds(1);
    request.timeouts.stall = timeout;
    silenceTimer_.setAfter(timeout);
    if (attempt_.isPrefill)
        request.maxBodyBytes = maxPrefillResponseBytes;
    else if (isStreamRoute(*route_))
        request.timeouts.stall = streamTimeout();
    else
        request.maxBodyBytes = ResponseBudget::maxResponseBytes;
    const bool isNewAttempt = attempt_.isPrefill || !attempt_.isCounted;
    if (isNewAttempt) {
        attempt_.isCounted = true;
        if (attempt_.choice)
            context_.engines.dispatched(*attempt_.choice, *inbound_.prompt, context_.now());
        else
            context_.services.started(upstream->entry.id);
        attempt_.sentAt = context_.now();
    }
    context_.health.started(upstream->entry.id, context_.now());
    context_.backoffs.started(upstream->incarnation(), context_.now());
    if (!wasSent_) {
        wasSent_ = true;
        context_.metrics.firstSent((context_.now() - arrivedAt_).toSeconds());
    }
    ++context_.counters.sends;
    context_.path.requestSent();
    logPlaced(upstream->entry);
    evidence_.attemptStarted();
    call_ = context_.pool.start(std::move(request),
                                hooks(pendingStep_.begin(RequestStep::UpstreamAttempt)));
}

UpstreamHooks RequestRelay::hooks(PendingStep::Ticket ticket)
{
    const auto self = shared_from_this();
    UpstreamHooks hooks;
    hooks.onConnected = [self] { self->context_.path.connected(self->target()->entry); };
    hooks.onHead = [self, ticket](HttpHead &head) {
        if (self->pendingStep_.isCurrent(ticket))
            self->onHead(head);
    };
    hooks.onUnidentifiedHead = [self, ticket](const HttpHead &head) {
        if (self->pendingStep_.isCurrent(ticket))
            self->onUnidentifiedHead(head);
    };
    hooks.onBody = [self, ticket](std::string_view data) {
        if (self->pendingStep_.isCurrent(ticket))
            self->onBody(data);
    };
    hooks.onEnd = [self, ticket](const UpstreamEnd &end) {
        self->finishStep(RequestStep::UpstreamAttempt, ticket, [&] { self->onEnd(end); });
    };
    return hooks;
}

} // namespace cuminrail
