#include "gateway/request/RequestRelay.h"

namespace cuminrail {

bool RequestRelay::chooseAmong(const std::vector<UpstreamPointer> &upstreams)
{
    if (route_->hasPrompts && inbound_.prompt)
        return choosePrompt(upstreams);
    return choosePlain(upstreams);
}

PlacementQuery RequestRelay::placementQuery() const
{
    PlacementQuery query;
    query.prompt = &*inbound_.prompt;
    query.bodyBytes = exchange_->body().size();
    query.ownDomain = context_.settings.failureDomain;
    query.tried = &tried_;
    query.now = context_.now();
    query.allowsHandOver = isHandOverAllowed_;
    query.badShare = [this](const std::string &id) { return context_.health.badShare(id); };
    query.isSetAside = [this](const std::string &id) {
        return context_.health.isSetAside(id, context_.now());
    };
    query.offer = [this](const std::string &id) {
        const auto found = offers_.find(id);
        return found == offers_.end() ? std::nullopt : std::optional<ReadingOffer>(found->second);
    };
    return query;
}

bool RequestRelay::choosePrompt(const std::vector<UpstreamPointer> &upstreams)
{
    attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    // Only the first reading apart is free of charge. Another one is a send more, beside the run
    // that follows; unnoticed, such sends took the whole system past its limit on repeats.
    const bool isReadAgain = attempt_.choice && attempt_.choice->prefill && wasReadApart_;
    if (isReadAgain && !context_.retries.takeRepeat(service_, context_.now())) {
        isHandOverAllowed_ = false;
        attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    }
    if (!attempt_.choice)
        return false;
    attempt_.upstream = attempt_.choice->engine;
    return true;
}

bool RequestRelay::choosePlain(const std::vector<UpstreamPointer> &upstreams)
{
    LeastLoaded::Query query;
    query.ownDomain = context_.settings.failureDomain;
    query.tried = &tried_;
    query.badShare = [this](const std::string &id) { return context_.health.badShare(id); };
    query.isSetAside = [this](const std::string &id) {
        return context_.health.isSetAside(id, context_.now());
    };
    attempt_.upstream = context_.services.choose(upstreams, query);
    return attempt_.upstream != nullptr;
}

} // namespace cuminrail
