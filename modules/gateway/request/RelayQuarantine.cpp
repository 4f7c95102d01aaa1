#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

constexpr const char *quarantinedWhy = "upstreams ended under requests that ask the same";

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

bool RequestRelay::isKeptFromUpstreams()
{
    if (!context_.quarantine->hasSuspects())
        return false;
    const auto left = context_.quarantine->quarantineLeft(fingerprint());
    if (!left)
        return false;
    if (isAnswering_ || mayHaveRun_)
        giveUp(GiveUpCause::Quarantined, quarantinedWhy);
    else
        refuse(503, GiveUpCause::Quarantined, left, quarantinedWhy);
    return true;
}

void RequestRelay::checkEnded(const UpstreamPointer &upstream, bool goesOn)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.isProbe = true;
    request.timeouts.connect = connectPatience;
    UpstreamHooks hooks;
    hooks.onEnd = [self = shared_from_this(), asked = fingerprint(), life = upstream->entry.life(),
                   goesOn](const UpstreamEnd &end) {
        // A connection that is refused tells an upstream that ended from a link that broke.
        if (end.kind == UpstreamEndKind::ConnectFailed)
            self->context_.quarantine->upstreamEnded(asked, life);
        if (goesOn)
            self->dispatch();
    };
    context_.pool.start(std::move(request), std::move(hooks));
}

} // namespace cuminrail
