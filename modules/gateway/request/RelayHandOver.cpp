#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** The least that a reader may show nothing: the usual delay of a busy one. */
constexpr Millis leastReaderPatience = Millis(1500);
/** Estimates may miss other instances' prompts; a reading may take a multiple of what they say. */
constexpr std::int64_t readerPatienceFactor = 3;

} // namespace

Millis RequestRelay::readerPatience() const
{
    // Reading apart runs nothing, so it can always be done elsewhere; half of the time is kept for
    // that. A reader that answers others is waited for beyond this.
    const Millis expected(static_cast<std::int64_t>(attempt_.choice->expectedMillis));
    const Millis half = (endsAt_ - context_.now()) / 2;
    return std::min(std::max(leastReaderPatience, expected * readerPatienceFactor), half);
}

void RequestRelay::sendPrefill()
{
    attempt_.isPrefill = true;
    ++context_.counters.handOvers;
    OutboundFields fields = outbound(attempt_.choice->prefill->entry);
    fields.prefillOnly = true;
    if (attempt_.choice->prefixFrom)
        fields.prefixSource = attempt_.choice->prefixFrom->entry.address;
    fields.resumeAfter.reset();
    const double fresh = attempt_.choice->freshTokens;
    if (context_.books && context_.settings.decisions.isEntered(fresh)) {
        const ReadingRate &rate = context_.engines.prefillRate();
        const ReadingPace pace{rate.tokensPerMilli(), rate.fixedMillis()};
        entry_ = context_.books->enter(PromptChain::of(*inbound_.prompt),
                                       engineKey(*attempt_.choice->prefill), fresh, pace);
    }
    send(attempt_.choice->prefill, fields, readerPatience());
}

void RequestRelay::prefillEnded(const UpstreamEnd &end)
{
    Reason reason{"prefill", "answered " + std::to_string(attempt_.status)};
    std::optional<CacheHandle> handle;
    if (end.kind == UpstreamEndKind::Complete && attempt_.status == 200)
        handle = context_.wire.decodeCacheHandle(attempt_.body, &reason);
    const UpstreamEntry &prefill = attempt_.choice->prefill->entry;
    if (attempt_.traits.isOtherUpstream)
        context_.directory.markMisplaced(prefill.id);
    const bool wasSent = end.verdict != Verdict::NotRun;
    if (wasSent && end.kind == UpstreamEndKind::Broken)
        checkEnded(attempt_.choice->prefill, false);
    wasReadApart_ = wasReadApart_ || wasSent;
    if (handle) {
        handle_ = handle->id;
        return promptWasReadApart();
    }
    ++context_.counters.handOversFailed;
    const bool isFull = end.kind == UpstreamEndKind::Complete && attempt_.traits.isRefusedUnrun;
    context_.health.record(prefill.id, isFull ? AttemptSign::Full : AttemptSign::Broken,
                           context_.now());
    context_.engines.refused(prefill.id, context_.now());
    // Only the engine that generates can run the request, so nothing has run yet.
    settleAttempt();
    isHandOverAllowed_ = false;
    lastCause_ = isFull ? GiveUpCause::Full : GiveUpCause::Broken;
    lastProblem_ = end.lastReason.what.empty() ? reason.toString() : end.lastReason.toString();
    // A prefill call that reached an engine in vain counts as a send; what follows is a repeat.
    if (wasSent && !takeRepeat())
        return giveUpAsBefore();
    dispatch();
}

void RequestRelay::promptWasReadApart()
{
    context_.health.record(attempt_.choice->prefill->entry.id, AttemptSign::Good, context_.now());
    promptRead();
    if (context_.books)
        context_.books->read(entry_);
    // The engine that was to generate may be on its way out by now. That is nobody's failure and no
    // send: another one fetches the prompt instead.
    if (!attempt_.choice->engine->isLeaving) {
        attempt_.body.clear();
        return runHandedOver();
    }
    if (hasOtherRunner())
        return runElsewhere();
    releaseHandle();
    settleAttempt();
    lastCause_ = GiveUpCause::NoUpstream;
    lastProblem_ = "the engine that was to generate is leaving";
    dispatch();
}

bool RequestRelay::hasOtherRunner()
{
    otherRunner_ = context_.engines.chooseRunner(candidates(), placementQuery());
    return otherRunner_ != nullptr;
}

void RequestRelay::runElsewhere()
{
    context_.engines.moved(*attempt_.choice, otherRunner_, context_.now());
    attempt_.upstream = otherRunner_;
    context_.limits->use(otherRunner_->entry.life());
    otherRunner_.reset();
    attempt_.body.clear();
    runHandedOver();
}

void RequestRelay::runHandedOver()
{
    attempt_.status = 0;
    attempt_.traits = {};
    if (isKeptFromUpstreams()) {
        releaseHandle();
        return settleAttempt();
    }
    sendRun(attempt_.choice->prefill->entry.address + "/" + handle_);
}

void RequestRelay::releaseHandle()
{
    if (handle_.empty() || !attempt_.choice || !attempt_.choice->prefill)
        return;
    const UpstreamEntry &prefill = attempt_.choice->prefill->entry;
    UpstreamRequest request;
    request.address = prefill.address;
    request.wire = context_.wire.encodeHandleRelease(handle_, prefill);
    request.isEchoRequired = false;
    request.timeouts.connect = connectPatience;
    request.timeouts.firstByte = Millis::seconds(1);
    request.timeouts.stall = Millis::seconds(1);
    context_.pool.start(std::move(request), {});
    handle_.clear();
}

} // namespace cuminrail
