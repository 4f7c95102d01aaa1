#include "gateway/request/RequestRelay.h"

namespace cuminrail {

bool RequestRelay::chooseAmong(const std::vector<UpstreamPointer> &upstreams)
{
    if (route_->hasPrompts && inbound_.prompt)
        return chooseEngine(upstreams);
    return chooseLeastLoaded(upstreams);
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
    query.isEjected = [this](const std::string &id) {
        return context_.health.isEjected(id, context_.now());
    };
    query.offer = [this](const std::string &id) {
        const auto found = prefillEstimates_.find(id);
        return found == prefillEstimates_.end() ? std::nullopt
                                                : std::optional<PrefillEstimate>(found->second);
    };
    return query;
}

bool RequestRelay::chooseEngine(const std::vector<UpstreamPointer> &upstreams)
{
    attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    // Only the first disaggregated prefill is free. Another one is an additional send besides the
    // run that follows; uncounted, such sends took the whole system past its retry budget.
    const bool isPrefillRetry = attempt_.choice && attempt_.choice->prefill && wasPrefillSent_;
    if (isPrefillRetry && !context_.retries.tryAcquireRetry(service_, context_.now())) {
        isHandOverAllowed_ = false;
        attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    }
    if (!attempt_.choice)
        return false;
    attempt_.upstream = attempt_.choice->engine;
    return true;
}

bool RequestRelay::chooseLeastLoaded(const std::vector<UpstreamPointer> &upstreams)
{
    LeastLoaded::Query query;
    query.ownDomain = context_.settings.failureDomain;
    query.spreadKey = context_.spreadKey;
    query.tried = &tried_;
    query.badShare = [this](const std::string &id) { return context_.health.badShare(id); };
    query.isEjected = [this](const std::string &id) {
        return context_.health.isEjected(id, context_.now());
    };
    attempt_.upstream = context_.services.choose(upstreams, query);
    return attempt_.upstream != nullptr;
}

} // namespace cuminrail
