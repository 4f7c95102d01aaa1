#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr int resumedUrgency = 0;

} // namespace

bool RequestRelay::isResumable() const
{
    return route_->kind == RouteKind::Stream && route_->canResume;
}

std::string RequestRelay::streamId() const
{
    // The caller of a carried request may have received events of it through another carrier.
    return inbound_.resumeAfter ? inbound_.resumes.value_or("") : inbound_.id;
}

RecordKey RequestRelay::streamKey() const
{
    return StreamOrigins::keyOf(customer_, route_->name, streamId());
}

bool RequestRelay::resolveOrigin()
{
    if (origin_ || !lastEventId_ || !isResumable())
        return false;
    context_.origins->resolve({streamKey(), streamId(), *route_},
                              awaitStep(RequestStep::StreamOrigin,
                                        [this](const StreamOrigin &origin) { onOrigin(origin); }));
    return true;
}

void RequestRelay::onOrigin(const StreamOrigin &origin)
{
    ++context_.counters.streamsTakenUp;
    switch (origin.status) {
    case OriginStatus::Known:
        origin_ = origin;
        service_ = origin.service;
        return dispatch();
    case OriginStatus::Gone:
        return giveUp(GiveUpCause::StreamGone,
                      "no upstream of the software version that began the stream is left; it must "
                      "begin anew");
    case OriginStatus::Unknown:
        return giveUp(
            GiveUpCause::StreamUnknown,
            "it is not known which software version began the stream; it must begin anew");
    case OriginStatus::Unreachable:
        return giveUp(GiveUpCause::StreamUnreachable,
                      "no instance replied that may know which software version began the stream");
    }
}

const std::vector<UpstreamPointer> &RequestRelay::usableUpstreams()
{
    const auto &usable = context_.directory.usable(service_);
    const auto isOther = [this](const UpstreamPointer &upstream) {
        return upstream->entry.softwareVersion != origin_->softwareVersion;
    };
    if (!origin_ || !guardEnabled(Guard::StreamVersionKept)
        || std::none_of(usable.begin(), usable.end(), isOther))
        return usable;
    sameVersion_.clear();
    std::remove_copy_if(usable.begin(), usable.end(), std::back_inserter(sameVersion_), isOther);
    return sameVersion_;
}

void RequestRelay::noteVersionGone()
{
    if (!origin_ || !lastEventId_ || !usableUpstreams().empty())
        return;
    lastCause_ = GiveUpCause::StreamGone;
    lastProblem_ = "no upstream of the software version that began the stream is left";
}

std::optional<int> RequestRelay::streamUrgency() const
{
    // Upstreams of its version may be few, and no other one can serve it.
    if (!origin_ || !lastEventId_ || context_.origins->isSettled(*route_))
        return std::nullopt;
    return resumedUrgency;
}

bool RequestRelay::holdsFirstEvent()
{
    if (isHoldingEvents_)
        return true;
    // Without an upstream here, the carrier has seen to the record.
    if (hasBegun_ || !isResumable() || !attempt_.upstream)
        return false;
    hasBegun_ = true;
    const UpstreamEntry &upstream = attempt_.upstream->entry;
    const RecordValue value = StreamOrigins::valueOf(upstream.service, upstream.softwareVersion);
    // A stream that goes on has its record; that is renewed without waiting.
    const bool isRenewal = origin_.has_value();
    if (!isRenewal)
        origin_ = {OriginStatus::Known, service_, upstream.softwareVersion};
    if (streamId().empty())
        return false;
    isHoldingEvents_ = !isRenewal;
    context_.origins->began(streamKey(), *route_, value,
                            [self = shared_from_this()] { self->releaseEvents(); });
    if (isHoldingEvents_)
        pauseResponse();
    return isHoldingEvents_;
}

void RequestRelay::holdEvent(const SseEvent &event)
{
    heldEvents_.push_back({std::string(event.bytes), event.number});
}

void RequestRelay::releaseEvents()
{
    if (!isHoldingEvents_)
        return;
    isHoldingEvents_ = false;
    if (hasEnded_ || heldEvents_.empty())
        return;
    const auto self = shared_from_this();
    for (const HeldEvent &held : std::exchange(heldEvents_, {})) {
        // The caller may leave while it is written to.
        if (!hasEnded_)
            passEvent({held.bytes, held.number, {}});
    }
    if (hasEnded_)
        return;
    if (!exchange_->isCongested())
        resumeResponse();
    if (const auto end = std::exchange(heldEnd_, std::nullopt))
        onEnd(*end);
}

} // namespace cuminrail
