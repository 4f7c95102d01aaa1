#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

/** Whether another instance may serve what was refused for this cause. */
bool isOfThisInstance(GiveUpCause cause)
{
    return cause == GiveUpCause::NoConfiguration || cause == GiveUpCause::Stopping;
}

} // namespace

void RequestRelay::end(Ending ending, const EndCause &cause)
{
    const auto self = shared_from_this();
    if (carried_)
        carried_->setSends(sends_);
    const bool isRest = ending == Ending::Response && attempt_.isStreaming;
    if (openResponse_ && !isRest)
        return breakResponseOff(cause);
    // The caller would take the status for the statement that its request did not run.
    if (ending == Ending::Response && !route_->isRepeatable()
        && context_.wire.promisesNotRun(attempt_.status))
        return sendFailure({GiveUpCause::Broken,
                            "the upstream answered " + std::to_string(attempt_.status)
                                + " without stating that it did not run the request",
                            502, std::nullopt});
    // "Not run" must be true, whoever found nothing to send the request to.
    if (ending == Ending::Refusal && evidence_.mayHaveRun())
        return sendFailure(cause);
    switch (ending) {
    case Ending::Response:
        return sendResponse();
    case Ending::Refusal:
        return sendRefusal(cause);
    case Ending::Failure:
        return sendFailure(cause);
    }
}

void RequestRelay::sendResponse()
{
    if (attempt_.isStreaming) {
        beginResponse();
        exchange_->finish();
    } else {
        noteFirstResponse();
        HttpResponse answer;
        answer.status = attempt_.status;
        answer.headers = std::move(attempt_.headers);
        answer.body = std::move(attempt_.body);
        exchange_->respond(answer);
    }
    ++(attempt_.status < 400 ? context_.counters.served : context_.counters.failed);
    logEnd(events::requestServed, attempt_.status);
    endRequest(attempt_.status < 400 ? RequestOutcome::Served : RequestOutcome::UpstreamError);
}

void RequestRelay::sendRefusal(const EndCause &cause)
{
    ++context_.counters.refused;
    context_.metrics.requestGivenUp(cause.cause, RequestOutcome::Refused);
    logEnd(events::requestRefused, cause.status, cause.cause, cause.why);
    if (!carried_)
        exchange_->respond(
            context_.wire.localResponse(cause.status, inbound_.id, cause.retryAfter, cause.why));
    else if (cause.status == 503 && !isOfThisInstance(cause.cause) && !context_.path.isCut())
        carried_->refuse(cause.retryAfter, cause.why);
    else
        carried_->decline(cause.why);
    endRequest(RequestOutcome::Refused);
}

void RequestRelay::sendFailure(const EndCause &cause)
{
    ++context_.counters.failed;
    context_.metrics.requestGivenUp(cause.cause, RequestOutcome::Failed);
    const bool isOverdue =
        cause.cause == GiveUpCause::DeadlineExceeded || context_.now() >= deadlineAt_;
    const int status = isOverdue ? 504 : 502;
    logEnd(events::requestFailed, status, cause.cause, cause.why);
    if (carried_)
        carried_->fail(isOverdue, cause.why);
    else
        exchange_->respond(
            context_.wire.localResponse(status, inbound_.id, std::nullopt, cause.why));
    endRequest(RequestOutcome::Failed);
}

void RequestRelay::breakResponseOff(const EndCause &cause)
{
    ++context_.counters.failed;
    ++context_.counters.streamsBrokenOff;
    context_.metrics.requestGivenUp(cause.cause, RequestOutcome::Failed);
    logEnd(events::requestFailed, 0, cause.cause, "stream truncated: " + cause.why);
    exchange_->abort();
    endRequest(RequestOutcome::Failed);
}

void RequestRelay::beginResponse()
{
    if (openResponse_)
        return;
    openResponse_.emplace(attempt_.status, attempt_.headers);
    ++context_.counters.streamsBegun;
    noteFirstResponse();
    exchange_->beginStream(attempt_.status, attempt_.headers);
}

void RequestRelay::deliverResponse()
{
    end(Ending::Response, {lastCause_, lastProblem_, attempt_.status, std::nullopt});
}

void RequestRelay::refuse(int status, GiveUpCause cause, std::optional<Millis> retryAfter,
                          const std::string &why)
{
    end(Ending::Refusal, {cause, why, status, retryAfter});
}

void RequestRelay::giveUp(GiveUpCause cause, const std::string &why)
{
    // What cannot go on later either names no time to come back.
    const bool isFinal = cause == GiveUpCause::StreamGone || cause == GiveUpCause::StreamUnknown;
    const auto retryAfter = isFinal ? std::nullopt : std::optional<Millis>(callerRetryAfter());
    end(evidence_.mayHaveRun() ? Ending::Failure : Ending::Refusal, {cause, why, 503, retryAfter});
}

void RequestRelay::noteFirstResponse()
{
    const Millis took = context_.now() - arrivedAt_;
    context_.metrics.firstResponse(route_->kind, took.toSeconds());
}

void RequestRelay::endRequest(RequestOutcome outcome)
{
    hasEnded_ = true;
    pendingStep_.cancel();
    deadlineTimer_.clear();
    silenceTimer_.clear();
    retryTimer_.clear();
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
