#pragma once

#include "instance/config/InstanceConfig.h"
#include "instance/serving/RequestCounters.h"

#include <string>
#include <vector>

namespace cuminrail {

/** Returns the metrics, summed over all request threads, in the Prometheus text format. */
std::string metricsPage(const std::vector<const RequestCounters *> &counters,
                        const InstanceConfig &config);

} // namespace cuminrail
