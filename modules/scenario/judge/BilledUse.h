#pragma once

#include "ports/testing/FakeUsageReceiver.h"
#include "usage/counters/UsageCounters.h"

namespace cuminrail {

/** Returns the billable use according to the accepted reports, counting each window once. */
CustomerUsage billedUse(const FakeUsageReceiver &receiver);

} // namespace cuminrail
