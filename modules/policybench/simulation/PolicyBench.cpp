#include "policybench/simulation/PolicyBench.h"

#include "policybench/simulation/Simulation.h"

namespace cuminrail::policybench {

Score runPolicy(const Workload &workload, PolicyKind policy, std::uint64_t seed,
                std::vector<RequestRecord> *records)
{
    Simulation simulation(workload, policy, seed);
    const std::vector<RequestRecord> &simulated = simulation.run();
    if (records != nullptr)
        *records = simulated;
    Score score = scoreOf(workload, simulated);
    simulation.describeEngines(score);
    return score;
}

} // namespace cuminrail::policybench
