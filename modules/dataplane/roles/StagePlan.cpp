#include "dataplane/roles/StagePlan.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

std::size_t StagePlan::targetDecodeCount(std::size_t engines) const
{
    if (engines <= 1)
        return engines;
    const auto share = std::lround(static_cast<double>(engines) * settings_.decodeShare);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, engines - 1);
}

bool StagePlan::hasPersisted(const std::string &domain, int deviation, Millis now)
{
    const int sign = deviation > 0 ? 1 : deviation < 0 ? -1 : 0;
    Deviation &current = deviations_[domain];
    if (current.sign != sign)
        current = Deviation{sign, now};
    if (sign == 0)
        return false;
    return now - current.startedAt >= settings_.minDeviationDuration;
}

const StagedEngine *StagePlan::findChangeable(const std::vector<const StagedEngine *> &engines,
                                              Millis now) const
{
    for (const StagedEngine *engine : engines) {
        const auto lastChange = changedAt_.find(engine->id);
        if (lastChange == changedAt_.end() || now - lastChange->second >= settings_.dwell)
            return engine;
    }
    return nullptr;
}

void StagePlan::add(StageGroups &groups, const StagedEngine &engine)
{
    if (engine.isChanging)
        ++groups.changing;
    else if (engine.stage == EngineStage::Prefill)
        groups.prefill.push_back(&engine);
    else
        groups.decode.push_back(&engine);
}

std::size_t StagePlan::maxChanging(std::size_t engines) const
{
    const auto share = static_cast<double>(engines) * settings_.concurrentShare;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool StagePlan::hasEngineForEveryInstance(const StageGroups &all) const
{
    return all.prefill.size() >= instances_ && all.decode.size() >= instances_;
}

std::vector<StageChange> StagePlan::decide(const std::vector<StagedEngine> &engines,
                                           bool isUnderLoad, Millis now)
{
    std::map<std::string, StageGroups> domains;
    std::map<std::string, StageGroups> versions;
    StageGroups all;
    for (const StagedEngine &engine : engines) {
        add(domains[engine.failureDomain], engine);
        add(versions[engine.softwareVersion], engine);
        add(all, engine);
    }
    if (isUnderLoad && versions.size() > 1) {
        auto changes = decideVersions(versions, now);
        if (!changes.empty())
            return changes;
    }
    if (hasEngineForEveryInstance(all))
        sufficientAt_ = now;
    if (sufficientAt_ && now - *sufficientAt_ < settings_.replacementTime)
        return {};
    return isUnderLoad ? decideUnderLoad(all, now) : decideIdle(domains, all, now);
}

std::vector<StageChange>
StagePlan::decideVersions(const std::map<std::string, StageGroups> &versions, Millis now)
{
    for (const auto &[version, groups] : versions) {
        if (!groups.decode.empty() || groups.changing > 0 || groups.prefill.size() < 2)
            continue;
        const StagedEngine *engine = findChangeable(groups.prefill, now);
        if (engine == nullptr)
            continue;
        changedAt_[engine->id] = now;
        return {{engine->id, EngineStage::Decode}};
    }
    return {};
}

std::vector<StageChange> StagePlan::decideIdle(const std::map<std::string, StageGroups> &domains,
                                               const StageGroups &all, Millis now)
{
    const std::size_t limit = maxChanging(all.size());
    std::size_t prefill = all.prefill.size();
    std::size_t decode = all.decode.size();
    std::vector<StageChange> changes;
    for (const auto &[name, domain] : domains) {
        const int deviation = static_cast<int>(targetDecodeCount(domain.size()))
            - static_cast<int>(domain.decode.size());
        if (!hasPersisted(name, deviation, now))
            continue;
        const bool needsDecode = deviation > 0;
        const int needed = std::abs(deviation) - static_cast<int>(domain.changing);
        for (int i = 0; i < needed && all.changing + changes.size() < limit; ++i) {
            // Without a prefill engine there is no disaggregated prefill, without a decode engine
            // no response.
            if ((needsDecode ? prefill : decode) < 2)
                break;
            const StagedEngine *engine =
                findChangeable(needsDecode ? domain.prefill : domain.decode, now);
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

std::vector<StageChange> StagePlan::decideUnderLoad(const StageGroups &all, Millis now)
{
    deviations_.clear();
    const std::size_t targetDecodes = targetDecodeCount(all.size());
    const std::size_t targetPrefills = all.size() - targetDecodes;
    const bool needsDecode = all.decode.size() < targetDecodes;
    const auto &donors = needsDecode ? all.prefill : all.decode;
    const std::size_t present = needsDecode ? all.decode.size() : all.prefill.size();
    const std::size_t target = needsDecode ? targetDecodes : targetPrefills;
    const std::size_t limit = maxChanging(all.size());
    std::vector<StageChange> changes;
    std::size_t remaining = donors.size();
    // Engines that are changing now may be changing to the stage that lacks engines.
    std::size_t expected = present + all.changing;
    const double sufficient = settings_.grossShortage * static_cast<double>(target);
    for (const StagedEngine *engine : donors) {
        if (static_cast<double>(expected) >= sufficient || remaining < 2
            || all.changing + changes.size() >= limit)
            break;
        const auto lastChange = changedAt_.find(engine->id);
        if (lastChange != changedAt_.end() && now - lastChange->second < settings_.dwell)
            continue;
        changedAt_[engine->id] = now;
        --remaining;
        ++expected;
        changes.push_back({engine->id, needsDecode ? EngineStage::Decode : EngineStage::Prefill});
    }
    return changes;
}

} // namespace cuminrail
