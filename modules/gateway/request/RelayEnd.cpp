#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

void RequestRelay::onEnd(const UpstreamEnd &end)
{
    silenceTimer_.clear();
    // A request whose time ran out while it connected says nothing about the upstream.
    const bool isUnconnected = end.kind == UpstreamEndKind::ConnectFailed
        || (end.kind == UpstreamEndKind::ConnectTimeout
            && context_.now() - attempt_.sentAt >= connectTimeout);
    if (isUnconnected)
        context_.path.connectFailed(target()->entry);
    if (hasEnded_)
        return;
    if (isHoldingEvents_) {
        heldEnd_ = end;
        return;
    }
    evidence_.attemptEnded(proofOf(end));
    const bool isPlainSuccess = end.kind == UpstreamEndKind::Complete && attempt_.status < 400;
    const bool canGoOn = goesOnWithResponse();
    if (!isPlainSuccess || attempt_.isInvalid || !canGoOn)
        logAttempt(end);
    if (attempt_.isPrefill)
        prefillEnded(end);
    else
        runEnded(end);
}

bool RequestRelay::isWhole(const UpstreamEnd &end) const
{
    return end.kind == UpstreamEndKind::Complete && !attempt_.isInvalid
        && !(attempt_.isStreaming && sseReader_.hasPartial());
}

NotRunProof RequestRelay::proofOf(const UpstreamEnd &end) const
{
    AttemptFacts facts;
    facts.connection = end.verdict;
    facts.isPrefill = attempt_.isPrefill;
    facts.isWhole = isWhole(end);
    facts.isIdentified = attempt_.isIdentified;
    facts.statesNotExecuted = attempt_.traits.isRefusedUnrun;
    return notRunProof(facts);
}

void RequestRelay::runEnded(const UpstreamEnd &end)
{
    const bool isWhole = this->isWhole(end);
    if (proofOf(end) == NotRunProof::UpstreamStatement)
        return onNotExecuted();
    if (isWhole && !goesOnWithResponse())
        return continuationFailed();
    if (isWhole && end.isDelimitedByClose)
        return confirmResponse(end);
    if (isWhole)
        return responseCompleted(end);
    // An upstream that mixes its responses up is not down: it responds.
    const bool isMixedUp =
        end.kind == UpstreamEndKind::WrongIdentity || end.kind == UpstreamEndKind::Spliced;
    attemptFailed(end, isMixedUp ? AttemptSign::Failure : AttemptSign::Broken);
}

bool RequestRelay::goesOnWithResponse()
{
    if (attempt_.mismatch.empty() && attempt_.lastEvent && lastEventId_
        && *attempt_.lastEvent < *lastEventId_)
        attempt_.mismatch = "ended at event " + std::to_string(*attempt_.lastEvent)
            + ", before the caller's last one, " + std::to_string(*lastEventId_);
    return attempt_.mismatch.empty();
}

void RequestRelay::continuationFailed()
{
    // A 4xx says nothing of the upstream's health: it may not know the stream.
    const AttemptSign sign = attempt_.status >= 500 ? AttemptSign::Failure
        : attempt_.status >= 400                    ? AttemptSign::Good
                                                    : AttemptSign::Broken;
    attemptFailed({UpstreamEndKind::Complete,
                   Verdict::Ran,
                   {attempt_.upstream->entry.address, attempt_.mismatch}},
                  sign);
}

void RequestRelay::confirmResponse(const UpstreamEnd &end)
{
    checkEnded(attempt_.upstream, awaitStep(RequestStep::UpstreamProbe, [this, end](bool hasEnded) {
                   if (!hasEnded)
                       return responseCompleted(end);
                   attemptFailed(
                       {UpstreamEndKind::Broken,
                        Verdict::MayHaveRun,
                        {attempt_.upstream->entry.address, "the upstream ended with its response"}},
                       AttemptSign::Broken);
               }));
}

void RequestRelay::onNotExecuted()
{
    // The upstream itself states that it did not run the request: this uses up no attempt, only
    // part of the retry budget.
    ++refusals_;
    const std::string &id = attempt_.upstream->entry.id;
    if (attempt_.traits.isOtherUpstream)
        context_.directory.markMisplaced(id);
    else
        recordOutcome(AttemptSign::Full);
    if (attempt_.choice)
        context_.engines.refused(id, context_.now());
    lastCause_ = GiveUpCause::Full;
    lastProblem_ = "the upstream refused it";
    tried_.insert(id);
    // An engine that is full or changing its stage refuses a prompt whose KV cache another engine
    // could fetch and run; otherwise the prefill would be wasted. The refused attempt was a send,
    // so this one is a retry.
    if (!cacheHandle_.empty() && refusals_ == 1 && chooseOtherDecodeEngine() && takeRetry())
        return runOnOtherEngine();
    releaseCacheHandle();
    closeAttempt();
    isHandOverAllowed_ = false;
    dispatch();
}

void RequestRelay::attemptFailed(const UpstreamEnd &end, AttemptSign sign)
{
    lastProblem_ =
        std::string(upstreamEndKindNames.name(end.kind)) + ": " + end.lastReason.toString();
    recordOutcome(sign);
    tried_.insert(attempt_.upstream->entry.id);
    const UpstreamPointer upstream = attempt_.upstream;
    const bool mayHaveRun = proofOf(end) == NotRunProof::None;
    const bool hasBroken = mayHaveRun && end.kind == UpstreamEndKind::Broken;
    lastCause_ = mayHaveRun ? GiveUpCause::Broken : GiveUpCause::Unreachable;
    if (mayHaveRun) {
        ++sends_;
        // Without a statement of the upstream a run cannot be ruled out. Usage counts it only if
        // the upstream showed that the run began.
        cacheHandle_.clear();
    } else {
        ++connectFailures_;
        // Nothing reached that engine, so another one can run the prefilled prompt. This still
        // counts as the first send.
        if (!cacheHandle_.empty() && connectFailures_ < maxConnectFailures
            && chooseOtherDecodeEngine())
            return runOnOtherEngine();
        releaseCacheHandle();
    }
    closeAttempt();
    // A part of the prompt, or after a second broken attempt the request, may be what crashes
    // upstreams: the next one is not tried until it is known whether this process ended.
    ++brokenAttempts_;
    const bool awaitsProbe =
        hasBroken && route_->isRepeatable() && (route_->hasPrompts || brokenAttempts_ > 1);
    if (hasBroken)
        probeUpstream(upstream, awaitsProbe);
    // The probe tells the owner if the upstream has ended.
    if (mayHaveRun && !hasBroken)
        trialEnded();
    isTrial_ = isTrial_ && !mayHaveRun;
    if (mayHaveRun && !route_->isRepeatable())
        return giveUpWithLastCause();
    if (!awaitsProbe)
        dispatch();
}

void RequestRelay::responseCompleted(const UpstreamEnd &end)
{
    const bool isFailure = attempt_.status >= 500;
    recordOutcome(isFailure ? AttemptSign::Failure : AttemptSign::Good);
    // The end of a connection is also what a crash looks like, and a failure may be.
    if (attempt_.status < 400 && !end.isDelimitedByClose)
        context_.quarantine->requestAnswered(contents(), attempt_.headAt);
    trialEnded();
    if (attempt_.status < 400 || isFailure)
        noteExecutionStarted();
    notePrefillDone();
    cacheHandle_.clear();
    ++sends_;
    const bool canRetry = isFailure && !isHeld() && route_->kind == RouteKind::Safe
        && sends_ < attemptLimit() && deadlineAt_ - context_.now() > route_->goal / 2;
    if (canRetry && context_.directory.usable(service_).size() > 1
        && context_.retries.tryAcquireRetry(service_, context_.now())) {
        tried_.insert(attempt_.upstream->entry.id);
        lastCause_ = GiveUpCause::Broken;
        lastProblem_ = "the upstream answered " + std::to_string(attempt_.status);
        Attempt failed = std::move(attempt_);
        attempt_ = Attempt();
        attempt_.upstream = failed.upstream;
        context_.services.finished(failed.upstream->entry.id);
        if (choose()) {
            consumeCredits();
            ++context_.counters.retries;
            return sendRun({});
        }
        context_.services.started(failed.upstream->entry.id);
        attempt_ = std::move(failed);
    }
    closeAttempt();
    deliverResponse();
}

} // namespace cuminrail
