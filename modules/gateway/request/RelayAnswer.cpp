#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"
#include "gateway/request/UpstreamStatements.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** A body that is not needed is read up to here, so that its connection can be used again. */
constexpr std::size_t maxIgnoredBytes = 64U << 10U;
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
    context_.path.heldConnection(upstream->entry);
    context_.path.progressed();
    attempt_.status = head.status;
    attempt_.traits = context_.wire.decodeResponse(head);
    attempt_.isIdentified = head.find(context_.wire.identityHeader) != nullptr;
    // What a refusal without an identity states of the upstream holds, whoever it was for. Of this
    // request it proves nothing: it may be another one's, or have been sent before any.
    if (attempt_.isIdentified || attempt_.traits.isRefusedUnrun)
        recordStatements(context_, *upstream, attempt_.traits);
    if (!attempt_.isIdentified)
        return rejectResponse(UpstreamEndKind::WrongIdentity, "states no identity");
    if (attempt_.isPrefill)
        return silenceTimer_.setAfter(prefillSilenceTimeout());
    attempt_.headAt = context_.now();
    const bool isSuccess = head.status >= 200 && head.status < 300;
    // A success that the upstream does not vouch for may come from another server at its address.
    // Relayed, the caller would take it for the upstream's response.
    if (isSuccess && !attempt_.traits.isVouchedFor)
        return rejectResponse(UpstreamEndKind::Malformed, "not vouched for by the upstream");
    acceptHead(head.status, context_.wire.callerHeaders(head),
               isSuccess && route_->kind == RouteKind::Stream);
    if (attempt_.isInvalid)
        return rejectResponse(UpstreamEndKind::Malformed, "no memory for its head");
    if (!attempt_.mismatch.empty() && !attempt_.traits.isRefusedUnrun)
        return cutResponse({UpstreamEndKind::Complete, Verdict::Ran, {}});
    silenceTimer_.setAfter(attempt_.isStreaming ? streamTimeout() : silenceTimeout());
}

void RequestRelay::onUnidentifiedHead(const HttpHead &head)
{
    // As in onHead(): what a refusal states of the upstream holds, whoever it was for.
    const ResponseTraits traits = context_.wire.decodeResponse(head);
    if (traits.isRefusedUnrun)
        recordStatements(context_, *target(), traits);
}

void RequestRelay::acceptHead(int status, std::vector<HttpHeader> headers, bool isStream)
{
    attempt_.status = status;
    attempt_.headers = std::move(headers);
    attempt_.headMemory = memoryBytesOf(attempt_.headers);
    attempt_.isInvalid = !attempt_.memory.setToPart(context_.responses, attempt_.headMemory);
    if (openResponse_)
        attempt_.mismatch = openResponse_->mismatch(status, attempt_.headers);
    attempt_.isStreaming = isStream && attempt_.mismatch.empty();
    if (openResponse_ && attempt_.isStreaming)
        ++context_.counters.resumes;
}

void RequestRelay::onBody(std::string_view data)
{
    if (hasEnded_ || attempt_.isInvalid)
        return;
    if (!takeBody(data))
        attempt_.isInvalid = true;
    // What a carrier passes on has been checked there.
    if (attempt_.isInvalid && !hasEnded_ && call_.isActive())
        rejectResponse(UpstreamEndKind::Malformed, "malformed or too long");
}

bool RequestRelay::takeBody(std::string_view data)
{
    if (attempt_.traits.isRefusedUnrun || !attempt_.mismatch.empty()) {
        attempt_.ignoredBytes += data.size();
        return attempt_.ignoredBytes <= maxIgnoredBytes || !call_.isActive();
    }
    if (!attempt_.isStreaming)
        return bufferBody(data);
    return sseReader_.feed(data)
        && attempt_.memory.setToPart(context_.responses,
                                     attempt_.headMemory + sseReader_.partialBytes());
}

bool RequestRelay::bufferBody(std::string_view data)
{
    // Responses other than streams are buffered whole, so that a truncated one becomes an error.
    std::string &body = attempt_.body;
    const std::size_t size = body.size() + data.size();
    if (size > ResponseBudget::maxResponseBytes)
        return false;
    if (size > body.capacity()) {
        const std::size_t doubled = std::min(body.capacity() * 2, ResponseBudget::maxResponseBytes);
        const std::size_t capacity = std::max(size, doubled);
        if (!attempt_.memory.growTo(context_.responses, attempt_.headMemory + capacity))
            return false;
        body.reserve(capacity);
    }
    body.append(data);
    return true;
}

void RequestRelay::cutResponse(const UpstreamEnd &end)
{
    // The attempt's hooks may be all that refers to this request.
    const auto self = shared_from_this();
    call_.cancel();
    pendingStep_.cancel();
    onEnd(end);
}

void RequestRelay::rejectResponse(UpstreamEndKind kind, const std::string &why)
{
    attempt_.isInvalid = true;
    cutResponse({kind, Verdict::MayHaveRun, {target()->entry.address, why}});
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
    if (call_.isActive() && !isHoldingEvents_)
        silenceTimer_.setAfter(streamTimeout());
    if (event.number)
        attempt_.lastEvent = std::max(attempt_.lastEvent.value_or(0), *event.number);
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
    beginResponse();
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

} // namespace cuminrail
