#pragma once

#include "ports/testing/FakeUsageReceiver.h"
#include "usage/counters/UsageCounters.h"

namespace cuminrail {

/** Returns what the platform would bill by the reports it took, each window once. */
CustomerUsage billedUse(const FakeUsageReceiver &receiver);

} // namespace cuminrail
