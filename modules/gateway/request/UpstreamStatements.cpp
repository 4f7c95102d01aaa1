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

void recordBackoff(RelayContext &context, const UpstreamRecord &upstream,
                   const ResponseTraits &traits)
{
    const Millis now = context.now();
    if (!traits.backoff)
        return context.backoffs.responded(upstream.incarnation(), now);
    if (!context.backoffs.request(upstream.incarnation(), *traits.backoff, now))
        return;
    const auto remaining = context.backoffs.remaining(upstream.incarnation(), now);
    context.events(Event{&events::upstreamPauses,
                         {{"upstream", upstream.entry.id},
                          {"asked", traits.backoffText},
                          {"pause_ms", std::to_string(remaining.value_or(Millis(0)).count())}}});
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
    recordBackoff(context, upstream, traits);
}

} // namespace cuminrail
