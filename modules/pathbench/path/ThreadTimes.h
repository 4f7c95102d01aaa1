#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace cuminrail::pathbench {

/** Returns the identities of this process's threads. */
std::set<std::string> threadIds();

/** Returns the processor time that these threads have used, in µs; ended ones count nothing. */
double processorMicros(const std::set<std::string> &threads);

} // namespace cuminrail::pathbench
