#include "gateway/request/RequestRelay.h"
#include "gateway/request/UpstreamStatements.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Shortest silence timeout of a prefill engine: the usual delay of a busy one. */
constexpr Millis minPrefillTimeout = Millis(1500);
/** Estimates may miss other instances' prompts, so a prefill may take a multiple of them. */
constexpr std::int64_t prefillTimeoutFactor = 3;
/** The response to the release of a cache is not read for its body. */
constexpr std::uint64_t maxReleaseResponseBytes = 64 * 1024;

} // namespace

Millis RequestRelay::prefillSilenceTimeout() const
{
    // A disaggregated prefill does not run the request, so it can always be redone elsewhere; half
    // of the remaining time is reserved for that. A prefill engine that responds to other requests
    // is given longer, see onSilence().
    const Millis estimate(static_cast<std::int64_t>(attempt_.choice->expectedMillis));
    const Millis half = (deadlineAt_ - context_.now()) / 2;
    return std::min(std::max(minPrefillTimeout, estimate * prefillTimeoutFactor), half);
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
    if (context_.prefillExchange && context_.settings.decisions.isEntered(fresh)) {
        const PrefillRateEstimator &rate = context_.engines.prefillRate();
        const PrefillRate pace{rate.tokensPerMilli(), rate.fixedMillis()};
        trackedPrefill_ = context_.prefillExchange->announcePrefill(
            PromptChain::of(*inbound_.prompt), engineKey(*attempt_.choice->prefill), fresh, pace);
    }
    send(attempt_.choice->prefill, fields, prefillSilenceTimeout());
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
        probeUpstream(attempt_.choice->prefill, false);
    wasPrefillSent_ = wasPrefillSent_ || wasSent;
    if (handle) {
        cacheHandle_ = handle->id;
        return prefillSucceeded();
    }
    ++context_.counters.handOversFailed;
    const bool isFull = end.kind == UpstreamEndKind::Complete && attempt_.traits.isRefusedUnrun;
    context_.health.record(prefill.id, isFull ? AttemptSign::Full : AttemptSign::Broken,
                           context_.now());
    context_.engines.refused(prefill.id, context_.now());
    // Only the decode engine can run the request, so nothing has run yet.
    closeAttempt();
    isHandOverAllowed_ = false;
    lastCause_ = isFull ? GiveUpCause::Full : GiveUpCause::Broken;
    lastProblem_ = end.lastReason.what.empty() ? reason.toString() : end.lastReason.toString();
    // A failed prefill call that reached an engine counts as a send, so what follows is a retry.
    if (wasSent && !takeRetry())
        return giveUpWithLastCause();
    dispatch();
}

void RequestRelay::prefillSucceeded()
{
    context_.health.record(attempt_.choice->prefill->entry.id, AttemptSign::Good, context_.now());
    notePrefillDone();
    if (context_.prefillExchange)
        context_.prefillExchange->completePrefill(trackedPrefill_);
    // The decode engine may have begun to leave or to pause meanwhile. That is neither a failure
    // nor a send: another engine fetches the KV cache instead.
    if (!attempt_.choice->engine->isLeaving && !pauseOf(*attempt_.choice->engine)) {
        attempt_.body.clear();
        return runWithCache();
    }
    if (chooseOtherDecodeEngine())
        return runOnOtherEngine();
    releaseCacheHandle();
    closeAttempt();
    lastCause_ = GiveUpCause::NoUpstream;
    lastProblem_ = "the engine that was to generate leaves or pauses";
    dispatch();
}

bool RequestRelay::chooseOtherDecodeEngine()
{
    otherDecodeEngine_ = context_.engines.chooseDecodeEngine(candidates(), placementQuery());
    return otherDecodeEngine_ != nullptr;
}

void RequestRelay::runOnOtherEngine()
{
    context_.engines.moved(*attempt_.choice, otherDecodeEngine_, context_.now());
    attempt_.upstream = otherDecodeEngine_;
    context_.limits->use(otherDecodeEngine_->incarnation());
    otherDecodeEngine_.reset();
    attempt_.body.clear();
    runWithCache();
}

void RequestRelay::runWithCache()
{
    attempt_.status = 0;
    attempt_.isIdentified = false;
    attempt_.traits = {};
    // Upstreams may have ended under its content while the prompt was prefilled.
    if (endIfQuarantined() || isHeld()) {
        releaseCacheHandle();
        closeAttempt();
        return dispatch();
    }
    sendRun(attempt_.choice->prefill->entry.address + "/" + cacheHandle_);
}

void RequestRelay::releaseCacheHandle()
{
    if (cacheHandle_.empty() || !attempt_.choice || !attempt_.choice->prefill)
        return;
    // A release would be one more request; the engine frees the cache by itself after a while.
    if (pauseOf(*attempt_.choice->prefill))
        return cacheHandle_.clear();
    const UpstreamEntry &prefill = attempt_.choice->prefill->entry;
    UpstreamRequest request;
    request.address = prefill.address;
    request.wire = context_.wire.encodeHandleRelease(cacheHandle_, prefill);
    request.identityHeader.clear();
    request.isEchoRequired = false;
    request.timeouts.connect = connectTimeout;
    request.timeouts.firstByte = Millis::seconds(1);
    request.timeouts.stall = Millis::seconds(1);
    request.timeouts.total = Millis::seconds(2);
    request.maxBodyBytes = maxReleaseResponseBytes;
    UpstreamHooks hooks;
    hooks.onHead = [&context = context_, upstream = attempt_.choice->prefill](HttpHead &head) {
        recordStatements(context, *upstream, context.wire.decodeResponse(head));
    };
    context_.pool.start(std::move(request), std::move(hooks));
    cacheHandle_.clear();
}

} // namespace cuminrail
