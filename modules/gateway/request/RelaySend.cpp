#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/**
    Upstreams close idle connections at times of their own. What is sent into one that is being
    closed is lost, and a request that may not run twice cannot be sent again.
*/
constexpr Millis idleForUnrepeatable = Millis(300);
constexpr Millis idleForRepeatable = Millis(4000);
/** The least a stream may pause before an upstream counts as silent, where others could go on. */
constexpr Millis leastStreamPatience = Millis(1500);

bool isStreamRoute(const Route &route)
{
    return route.kind == RouteKind::Stream;
}

} // namespace

OutboundFields RequestRelay::outbound(const UpstreamEntry &upstream) const
{
    OutboundFields fields;
    fields.timeLeft = endsAt_ - context_.now();
    fields.upstreamId = upstream.id;
    fields.customer = customer_;
    fields.resumeAfter = lastEvent_;
    if (route_->hasPrompts)
        fields.urgency = urgency();
    return fields;
}

int RequestRelay::urgency() const
{
    // A request whose goal is out of reach would push others past theirs, and all would be late.
    const auto expected =
        static_cast<std::int64_t>(attempt_.choice ? attempt_.choice->firstEventMillis : 0);
    const Millis reached = context_.now() - arrivedAt_ + Millis(expected);
    const bool isHopeless = attempt_.isPrefill && reached > route_->goal;
    const int late = static_cast<int>(context_.settings.decisions.lateUrgency);
    return isHopeless ? late : urgency_;
}

Millis RequestRelay::patience() const
{
    const Millis left = endsAt_ - context_.now();
    // Silence ends an attempt early only where another upstream may take over.
    const bool hasAnother = route_->isRepeatable() && sends_ + 1 < route_->maxAttempts;
    if (!hasAnother)
        return left + Millis(1000);
    return std::max(route_->goal, left * 2 / 5);
}

void RequestRelay::sendRun(std::string cacheSource)
{
    attempt_.isPrefill = false;
    if (!isFirstCounted_) {
        isFirstCounted_ = true;
        context_.retries.countFirst(service_, context_.now());
    }
    OutboundFields fields = outbound(attempt_.upstream->entry);
    if (!cacheSource.empty())
        context_.engines.handedOver(*attempt_.choice, *inbound_.prompt, context_.now());
    fields.cacheSource = std::move(cacheSource);
    events_.restart();
    send(attempt_.upstream, fields, patience());
}

void RequestRelay::send(const UpstreamPointer &upstream, const OutboundFields &fields,
                        Millis patience)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.wire =
        context_.wire.encodeRequest(exchange_->head(), exchange_->body(), inbound_, fields);
    request.requestId = inbound_.id;
    request.identityHeader = context_.wire.identityHeader;
    // Refusals need not repeat the identity; onHead() asks for it from all other answers.
    request.isEchoRequired = false;
    request.isHead = exchange_->head().method == "HEAD";
    request.allowsEndByClose = true;
    request.longestIdle = route_->isRepeatable() ? idleForRepeatable : idleForUnrepeatable;
    request.timeouts.connect = std::min(connectPatience, fields.timeLeft);
    // Without any sign of an answer, onSilence() decides; this only ends what it leaves.
    request.timeouts.firstByte = fields.timeLeft + Millis::seconds(1);
    request.timeouts.stall = patience;
    silence_.setAfter(patience);
    if (isStreamRoute(*route_) && !attempt_.isPrefill)
        request.timeouts.stall = std::max(leastStreamPatience, route_->gapGoal * 4);
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
    if (!wasSent_) {
        wasSent_ = true;
        context_.metrics.firstSent((context_.now() - arrivedAt_).toSeconds());
    }
    ++context_.counters.sends;
    logPlaced(upstream->entry);
    call_ = context_.pool.start(std::move(request), hooks());
}

UpstreamHooks RequestRelay::hooks()
{
    const auto self = shared_from_this();
    UpstreamHooks hooks;
    hooks.onHead = [self](HttpHead &head) { self->onHead(head); };
    hooks.onBody = [self](std::string_view data) { self->onBody(data); };
    hooks.onEnd = [self](const UpstreamEnd &end) { self->onEnd(end); };
    return hooks;
}

} // namespace cuminrail
