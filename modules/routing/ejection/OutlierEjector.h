#pragma once

#include "core/events/Event.h"
#include "core/time/Millis.h"
#include "routing/live/LiveLoads.h"
#include "routing/table/RoutingTable.h"

#include <cstdint>

namespace cuminrail {

/** When an upstream's outcomes are bad enough, and how many may be out at once. */
struct EjectionOptions
{
    std::uint32_t consecutiveFailures = 5;
    /** Share of failed requests, with at least minimumRequests since the last evaluation. */
    double failureShare = 0.5;
    std::uint32_t minimumRequests = 10;
    Millis baseTime = Millis::seconds(5);
    Millis maximumTime = Millis::minutes(2);
    /** At most this share of a pool, and of a pool within one failure domain, is ejected. */
    double maximumShare = 0.34;
};

/**
    Takes upstreams with bad outcomes out of routing for a while. Judges by real requests alone.

    Health checks can pass while requests fail, and the reverse. The bound keeps a fault that
    shows everywhere (a bad model version, this instance's own network) from emptying the fleet:
    the rest would be overloaded in turn. Past the bound nobody more is ejected.

    Control thread, about four times a second.
*/
class OutlierEjector
{
public:
    OutlierEjector(EjectionOptions options, EventSink events);

    /** Looks at all outcomes since the last call and ejects what stands out. */
    void evaluate(const RoutingTable &table, LiveLoads &loads, Millis now);

private:
    bool isBad(const UpstreamLive &live) const;
    bool mayEject(const RoutingTable &table, const LiveLoads &loads, UpstreamIndex upstream,
                  Millis now) const;
    void eject(const RoutingTable &table, UpstreamLive &live, UpstreamIndex upstream, Millis now);

    EjectionOptions options_;
    EventSink events_;
};

} // namespace cuminrail
