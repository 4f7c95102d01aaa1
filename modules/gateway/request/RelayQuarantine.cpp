#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

constexpr const char *quarantineReason = "upstreams ended under requests that ask the same";

} // namespace

const RequestFingerprint &RequestRelay::fingerprint() const
{
    if (!fingerprint_)
        fingerprint_ =
            RequestFingerprint::of(customer_, exchange_->head().target, exchange_->body());
    return *fingerprint_;
}

bool RequestRelay::isSuspected() const
{
    return context_.quarantine->hasSuspects()
        && context_.quarantine->level(fingerprint()) >= SuspicionLevel::Suspected;
}

bool RequestRelay::endIfQuarantined()
{
    if (!context_.quarantine->hasSuspects())
        return false;
    const auto remaining = context_.quarantine->remainingQuarantine(fingerprint());
    if (!remaining)
        return false;
    if (hasResponseStarted_ || mayHaveRun_)
        giveUp(GiveUpCause::Quarantined, quarantineReason);
    else
        refuse(503, GiveUpCause::Quarantined, remaining, quarantineReason);
    return true;
}

void RequestRelay::probeUpstream(const UpstreamPointer &upstream, bool dispatchesAfter)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.isProbe = true;
    request.timeouts.connect = connectTimeout;
    UpstreamHooks hooks;
    hooks.onEnd = [self = shared_from_this(), content = fingerprint(), upstream,
                   incarnation = upstream->incarnation(), dispatchesAfter](const UpstreamEnd &end) {
        const auto finish = [self, content, incarnation, dispatchesAfter](bool hasEnded) {
            if (hasEnded)
                self->context_.quarantine->upstreamEnded(content, incarnation);
            if (dispatchesAfter)
                self->dispatch();
        };
        if (end.kind != UpstreamEndKind::ConnectFailed)
            return finish(false);
        // A refused connection means that the process ended, unless all upstreams refuse: then the
        // path of this instance is cut.
        self->context_.path.connectFailed(upstream->entry);
        self->context_.path.whenJudged(finish);
    };
    context_.pool.start(std::move(request), std::move(hooks));
}

} // namespace cuminrail
