#include "gateway/request/UpstreamStatements.h"

#include "core/events/EventCatalogue.h"

namespace cuminrail {

namespace {

void recordLimit(RelayContext &context, const UpstreamRecord &upstream,
                 const std::optional<double> &perSecond)
{
    if (context.limits->updateLimit(upstream.incarnation(), perSecond) != LimitChange::Marked)
        return;
    context.events(Event{&events::upstreamLimited,
                         {{"upstream", upstream.entry.id},
                          {"per_second", perSecond ? std::to_string(*perSecond) : "none"}}});
}

} // namespace

void recordStatements(RelayContext &context, const UpstreamRecord &upstream,
                      const ResponseTraits &traits)
{
    if (traits.isOtherUpstream)
        return;
    recordLimit(context, upstream, traits.mostPerSecond);
    if (traits.isLeaving)
        context.departures->report(upstream.incarnation());
}

} // namespace cuminrail
