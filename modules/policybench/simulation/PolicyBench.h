#pragma once

#include "policybench/policy/InstancePolicy.h"
#include "policybench/score/Score.h"

#include <vector>

namespace cuminrail::policybench {

/** Runs a workload under a policy. @param records  receives each outcome; may be null. */
Score runPolicy(const Workload &workload, PolicyKind policy, std::uint64_t seed,
                std::vector<RequestRecord> *records = nullptr);

} // namespace cuminrail::policybench
