#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

void RequestRelay::onEnd(const UpstreamEnd &end)
{
    silence_.clear();
    if (isOver_)
        return;
    const bool isPlainSuccess = end.kind == UpstreamEndKind::Complete && attempt_.status < 400;
    if (!isPlainSuccess || attempt_.isForeign)
        logAttempt(end);
    if (attempt_.isPrefill)
        prefillEnded(end);
    else
        runEnded(end);
}

void RequestRelay::runEnded(const UpstreamEnd &end)
{
    const bool isWhole = end.kind == UpstreamEndKind::Complete && !attempt_.isForeign
        && !(attempt_.isStreaming && events_.hasPartial());
    if (isWhole && attempt_.traits.isRefusedUnrun)
        return refusedUnrun();
    if (isWhole)
        return answered();
    attemptFailed(end);
}

void RequestRelay::refusedUnrun()
{
    // The upstream's own word that it did not run the request: it uses up no attempt, only a part
    // of the limit on repeats.
    ++refusals_;
    const std::string &id = attempt_.upstream->entry.id;
    if (attempt_.traits.isOtherUpstream)
        context_.directory.markMisplaced(id);
    else
        recordSign(AttemptSign::Full);
    if (attempt_.choice)
        context_.engines.refused(id, context_.now());
    lastCause_ = GiveUpCause::Full;
    lastProblem_ = "the upstream refused it";
    tried_.insert(id);
    // An engine that is full or changes its stage refuses what another could fetch and run; the
    // prompt would otherwise have been read for nothing. The refusal was a send, so this is one
    // more.
    if (!handle_.empty() && refusals_ == 1 && hasOtherRunner() && takeRepeat())
        return runElsewhere();
    releaseHandle();
    settleAttempt();
    isHandOverAllowed_ = false;
    dispatch();
}

void RequestRelay::attemptFailed(const UpstreamEnd &end)
{
    lastProblem_ =
        std::string(upstreamEndKindNames.name(end.kind)) + ": " + end.lastReason.toString();
    recordSign(AttemptSign::Broken);
    tried_.insert(attempt_.upstream->entry.id);
    const UpstreamPointer upstream = attempt_.upstream;
    const bool mayHaveRun = end.verdict != Verdict::NotRun;
    const bool hasBroken = mayHaveRun && end.kind == UpstreamEndKind::Broken;
    lastCause_ = mayHaveRun ? GiveUpCause::Broken : GiveUpCause::Unreachable;
    if (mayHaveRun) {
        ++sends_;
        mayHaveRun_ = true;
        // Without a sign of the upstream a run cannot be ruled out; a usage report counts it only
        // when the upstream showed that it began.
        handle_.clear();
    } else {
        ++connectFailures_;
        // Nothing reached that engine, so what was read apart can be run by another one, as the
        // first send still.
        if (!handle_.empty() && connectFailures_ < mostConnectFailures && hasOtherRunner())
            return runElsewhere();
        releaseHandle();
    }
    settleAttempt();
    // After the second upstream that broke off, the next one is not risked before it is known
    // whether the two ended.
    const bool waits = hasBroken && route_->isRepeatable() && ++breaks_ > 1;
    if (hasBroken)
        checkEnded(upstream, waits);
    if (mayHaveRun && !route_->isRepeatable())
        return giveUpAsBefore();
    if (isAnswering_)
        ++context_.counters.resumes;
    if (!waits)
        dispatch();
}

void RequestRelay::answered()
{
    const bool isFailure = attempt_.status >= 500;
    recordSign(isFailure ? AttemptSign::Failure : AttemptSign::Good);
    context_.quarantine->ranToItsEnd(fingerprint());
    if (attempt_.status < 400 || isFailure)
        began();
    promptRead();
    handle_.clear();
    ++sends_;
    mayHaveRun_ = true;
    const bool couldImprove = isFailure && route_->kind == RouteKind::Safe
        && sends_ < route_->maxAttempts && endsAt_ - context_.now() > route_->goal / 2;
    if (couldImprove && context_.directory.usable(service_).size() > 1
        && context_.retries.takeRepeat(service_, context_.now())) {
        tried_.insert(attempt_.upstream->entry.id);
        lastCause_ = GiveUpCause::Broken;
        lastProblem_ = "the upstream answered " + std::to_string(attempt_.status);
        Attempt failed = std::move(attempt_);
        attempt_ = Attempt();
        attempt_.upstream = failed.upstream;
        context_.services.finished(failed.upstream->entry.id);
        if (choose()) {
            useCredits();
            ++context_.counters.repeats;
            return sendRun({});
        }
        context_.services.started(failed.upstream->entry.id);
        attempt_ = std::move(failed);
    }
    settleAttempt();
    if (attempt_.isStreaming) {
        if (!isAnswering_)
            exchange_->beginStream(attempt_.status, attempt_.headers);
        exchange_->finish();
    } else {
        firstAnswer();
        HttpAnswer answer;
        answer.status = attempt_.status;
        answer.headers = std::move(attempt_.headers);
        answer.body = std::move(attempt_.body);
        exchange_->respond(answer);
    }
    ++(attempt_.status < 400 ? context_.counters.served : context_.counters.failed);
    logEnd(events::requestServed, attempt_.status);
    over(attempt_.status < 400 ? RequestOutcome::Served : RequestOutcome::UpstreamError);
}

} // namespace cuminrail
