#include "dataplane/roles/StagePlan.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

std::size_t StagePlan::wantedDecode(std::size_t engines) const
{
    if (engines <= 1)
        return engines;
    const auto share = std::lround(static_cast<double>(engines) * settings_.decodeShare);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, engines - 1);
}

bool StagePlan::hasLasted(const std::string &domain, int deviation, Millis now)
{
    const int sign = deviation > 0 ? 1 : deviation < 0 ? -1 : 0;
    Deviation &known = deviations_[domain];
    if (known.sign != sign)
        known = Deviation{sign, now};
    if (sign == 0)
        return false;
    return now - known.since >= (sign > 0 ? settings_.missingDecode : settings_.missingPrefill);
}

const StagedEngine *StagePlan::pick(const std::vector<const StagedEngine *> &engines,
                                    Millis now) const
{
    for (const StagedEngine *engine : engines) {
        const auto changed = changedAt_.find(engine->id);
        if (changed == changedAt_.end() || now - changed->second >= settings_.dwell)
            return engine;
    }
    return nullptr;
}

std::vector<StageChange> StagePlan::decide(const std::vector<StagedEngine> &engines, Millis now)
{
    std::map<std::string, Domain> domains;
    std::size_t changing = 0;
    std::size_t prefill = 0;
    std::size_t decode = 0;
    for (const StagedEngine &engine : engines) {
        Domain &domain = domains[engine.failureDomain];
        if (engine.isChanging) {
            ++domain.changing;
            ++changing;
        } else if (engine.stage == EngineStage::Prefill) {
            domain.prefill.push_back(&engine);
            ++prefill;
        } else {
            domain.decode.push_back(&engine);
            ++decode;
        }
    }
    const auto limit = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(static_cast<double>(engines.size()) * settings_.concurrentShare));
    std::vector<StageChange> changes;
    for (const auto &[name, domain] : domains) {
        const std::size_t size = domain.prefill.size() + domain.decode.size() + domain.changing;
        const int deviation =
            static_cast<int>(wantedDecode(size)) - static_cast<int>(domain.decode.size());
        if (!hasLasted(name, deviation, now))
            continue;
        const bool needsDecode = deviation > 0;
        const int missing = std::abs(deviation) - static_cast<int>(domain.changing);
        for (int i = 0; i < missing && changing + changes.size() < limit; ++i) {
            // Without an engine of each stage no prompt can be handed over, or none answered.
            if ((needsDecode ? prefill : decode) < 2)
                break;
            const StagedEngine *engine = pick(needsDecode ? domain.prefill : domain.decode, now);
            if (engine == nullptr)
                break;
            changedAt_[engine->id] = now;
            --(needsDecode ? prefill : decode);
            changes.push_back(
                {engine->id, needsDecode ? EngineStage::Decode : EngineStage::Prefill});
        }
    }
    return changes;
}

} // namespace cuminrail
