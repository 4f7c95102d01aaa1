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
    return now - known.since >= settings_.borne;
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

void StagePlan::add(Division &division, const StagedEngine &engine)
{
    if (engine.isChanging)
        ++division.changing;
    else if (engine.stage == EngineStage::Prefill)
        division.prefill.push_back(&engine);
    else
        division.decode.push_back(&engine);
}

std::size_t StagePlan::mostChanging(std::size_t engines) const
{
    const auto share = static_cast<double>(engines) * settings_.concurrentShare;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool StagePlan::hasPlenty(const Division &all) const
{
    return all.prefill.size() >= instances_ && all.decode.size() >= instances_;
}

std::vector<StageChange> StagePlan::decide(const std::vector<StagedEngine> &engines,
                                           bool isUnderLoad, Millis now)
{
    std::map<std::string, Division> domains;
    Division all;
    for (const StagedEngine &engine : engines) {
        add(domains[engine.failureDomain], engine);
        add(all, engine);
    }
    if (hasPlenty(all))
        return {};
    return isUnderLoad ? decideUnderLoad(all, now) : decideCalm(domains, all, now);
}

std::vector<StageChange> StagePlan::decideCalm(const std::map<std::string, Division> &domains,
                                               const Division &all, Millis now)
{
    const std::size_t limit = mostChanging(all.size());
    std::size_t prefill = all.prefill.size();
    std::size_t decode = all.decode.size();
    std::vector<StageChange> changes;
    for (const auto &[name, domain] : domains) {
        const int deviation =
            static_cast<int>(wantedDecode(domain.size())) - static_cast<int>(domain.decode.size());
        if (!hasLasted(name, deviation, now))
            continue;
        const bool needsDecode = deviation > 0;
        const int missing = std::abs(deviation) - static_cast<int>(domain.changing);
        for (int i = 0; i < missing && all.changing + changes.size() < limit; ++i) {
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

std::vector<StageChange> StagePlan::decideUnderLoad(const Division &all, Millis now)
{
    deviations_.clear();
    const std::size_t wantedDecodes = wantedDecode(all.size());
    const std::size_t wantedPrefills = all.size() - wantedDecodes;
    const bool needsDecode = all.decode.size() < wantedDecodes;
    const auto &giving = needsDecode ? all.prefill : all.decode;
    const std::size_t present = needsDecode ? all.decode.size() : all.prefill.size();
    const std::size_t wanted = needsDecode ? wantedDecodes : wantedPrefills;
    const std::size_t limit = mostChanging(all.size());
    std::vector<StageChange> changes;
    std::size_t left = giving.size();
    // Those that are changing may be on their way to the missing stage.
    std::size_t coming = present + all.changing;
    const double enough = settings_.grossShortage * static_cast<double>(wanted);
    for (const StagedEngine *engine : giving) {
        if (static_cast<double>(coming) >= enough || left < 2
            || all.changing + changes.size() >= limit)
            break;
        const auto changed = changedAt_.find(engine->id);
        if (changed != changedAt_.end() && now - changed->second < settings_.dwell)
            continue;
        changedAt_[engine->id] = now;
        --left;
        ++coming;
        changes.push_back({engine->id, needsDecode ? EngineStage::Decode : EngineStage::Prefill});
    }
    return changes;
}

} // namespace cuminrail
