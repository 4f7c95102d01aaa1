#pragma once

#include "core/events/Event.h"
#include "core/time/Millis.h"
#include "routing/live/LiveLoads.h"
#include "routing/table/RoutingTable.h"

#include <cstdint>

namespace cuminrail {

/** When an upstream is ejected, for how long, and how many may be ejected at once. */
struct EjectionOptions
{
    std::uint32_t consecutiveFailures = 5;
    /** Ejects at this share of failed requests, once minRequests have ended in the window. */
    double failureShare = 0.5;
    std::uint32_t minRequests = 10;
    Millis baseDuration = Millis::seconds(5);
    Millis maxDuration = Millis::minutes(2);
    /** Greatest share of a pool, and of a pool within one failure domain, that is ejected. */
    double maxEjectedShare = 0.34;
};

/**
    Ejects upstreams whose requests fail from routing for a limited time.

    Decides by the outcomes of real requests alone, because health checks can pass while requests
    fail, and the reverse. A fault that shows everywhere (a bad model version, this instance's own
    network) must not empty the fleet, since the remaining upstreams would be overloaded in turn;
    so no more upstreams are ejected once the bound is reached.

    Called on the control thread about four times a second.
*/
class OutlierEjector
{
public:
    OutlierEjector(EjectionOptions options, EventSink events);

    /** Evaluates the outcomes counted so far and ejects outliers. */
    void evaluate(const RoutingTable &table, LiveLoads &loads, Millis now);

private:
    bool isOutlier(const UpstreamLoad &live) const;
    bool mayEject(const RoutingTable &table, const LiveLoads &loads, UpstreamIndex upstream,
                  Millis now) const;
    void eject(const RoutingTable &table, UpstreamLoad &live, UpstreamIndex upstream, Millis now);

    EjectionOptions options_;
    EventSink events_;
};

} // namespace cuminrail
