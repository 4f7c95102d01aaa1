#pragma once

#include "core/time/Millis.h"

#include <cstddef>

namespace cuminrail {

/**
    Timing that determines how fast a duty changes its holder and what that costs the store.

    A crashed holder is replaced within pollInterval + term + stagger × candidates, below 10 s. The
    store receives duties / renewInterval writes and duties × (candidates - 1) / pollInterval reads,
    whatever the number of instances, and instances / listInterval lists.
*/
struct LeaseTiming
{
    Millis term{5000};
    Millis renewInterval{1500};
    Millis pollInterval{1500};
    /** The holder stops acting this long before its term ends, as clocks run at different rates. */
    Millis margin{500};
    /** Additional delay of a candidate for each rank. */
    Millis stagger{300};
    /**
        Additional delay of a candidate that already holds its share: acquiring late is better than
        never.
    */
    Millis fullShareDelay{1500};
    /** How often all leases are listed, to find those that no candidate acquires. */
    Millis listInterval = Millis::seconds(30);
    /** At most one duty is released for rebalancing in this interval. */
    Millis rebalanceInterval = Millis::seconds(5);
    /** How long an instance leaves a duty that it released for rebalancing to others. */
    Millis rebalanceCooldown = Millis::seconds(15);
    Millis acquireInterval{50};
    Millis firstRetryDelay{300};
    Millis maxRetryDelay = Millis::seconds(8);
    std::size_t candidates = 3;
};

} // namespace cuminrail
