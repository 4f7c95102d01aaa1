#pragma once

#include "instance/config/InstanceConfig.h"
#include "instance/serving/RequestCounters.h"

#include <string>
#include <vector>

namespace cuminrail {

/** Returns the sums over all request threads in Prometheus' text format. */
std::string metricsPage(const std::vector<const RequestCounters *> &counters,
                        const InstanceConfig &config);

} // namespace cuminrail
