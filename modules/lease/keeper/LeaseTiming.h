#pragma once

#include "core/time/Millis.h"

#include <cstddef>

namespace cuminrail {

/**
    Spans that decide how fast a duty changes hands and what that costs the store.

    A crashed holder is replaced within pollEvery + term + stagger × candidates, below 10 s. The
    store sees duties / renewEvery writes and duties × (candidates - 1) / pollEvery reads, whatever
    the number of instances, and instances / listEvery lists.
*/
struct LeaseTiming
{
    Millis term{5000};
    Millis renewEvery{1500};
    Millis pollEvery{1500};
    /** The holder stops this much before its term ends, for clocks that run at other rates. */
    Millis margin{500};
    /** A candidate of a lower place waits this much longer for each place. */
    Millis stagger{300};
    /** A candidate that holds its share waits this much longer: better late than never taken. */
    Millis fullDelay{1500};
    /** How often all leases are read at once, to find those that no candidate takes. */
    Millis listEvery = Millis::seconds(30);
    /** At most one duty is handed over to others for balance in this span. */
    Millis rebalanceEvery = Millis::seconds(5);
    /** How long a duty given away for balance is left to others. */
    Millis restraint = Millis::seconds(15);
    Millis takeEvery{50};
    Millis retryFirst{300};
    Millis retryMost = Millis::seconds(8);
    std::size_t candidates = 3;
};

} // namespace cuminrail
