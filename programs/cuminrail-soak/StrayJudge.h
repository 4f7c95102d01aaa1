#pragma once

#include "Callers.h"
#include "Fleet.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail::soak {

/** Returns the faults of responses with a name; all of them for "all", nothing for another one. */
std::optional<std::vector<ResponseFault>> responseFaultsNamed(const std::string &name);

/** Marks the requests whose response had no end. */
void markEndless(std::vector<CallResult> &results, const std::vector<SpoiltResponse> &spoilt);

/** Returns which requests didn't end by their deadline, one line each. */
std::vector<std::string> judgeDeadlines(const std::vector<CallResult> &results);

/** Returns which gateways needed more memory than their settings allow, one line each. */
std::vector<std::string> judgeMemory(const Fleet &fleet);

/** Returns how many responses were spoilt, how many requests failed, and what is broken by sort. */
std::string straySummary(const std::vector<CallResult> &results,
                         const std::vector<SpoiltResponse> &spoilt, const Fleet &fleet,
                         const std::vector<std::string> &broken);

/** Writes what callers, servers and links saw of each request, in the order of time. */
void writeTimeline(const std::string &path, const std::vector<CallResult> &results,
                   const std::vector<SpoiltResponse> &spoilt,
                   const platform::ServerRequestLog &record);

} // namespace cuminrail::soak
