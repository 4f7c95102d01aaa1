#include "capacity/roles/RoleBalancer.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

bool canPrefill(EngineRole role)
{
    return role == EngineRole::Prefill || role == EngineRole::Mixed;
}

bool canDecode(EngineRole role)
{
    return role == EngineRole::Decode || role == EngineRole::Mixed;
}

struct RoleCounts
{
    double prefill = 0;
    double decode = 0;
    double mixed = 0;
};

RoleCounts countRoles(const std::vector<RoleEngine> &engines)
{
    RoleCounts counts;
    for (const RoleEngine &engine : engines) {
        counts.prefill += engine.role == EngineRole::Prefill ? 1 : 0;
        counts.decode += engine.role == EngineRole::Decode ? 1 : 0;
        counts.mixed += engine.role == EngineRole::Mixed ? 1 : 0;
    }
    return counts;
}

std::vector<RoleEngine> withRole(std::vector<RoleEngine> engines, const UpstreamId &id,
                                 EngineRole role)
{
    for (RoleEngine &engine : engines) {
        if (engine.id == id)
            engine.role = role;
    }
    return engines;
}

} // namespace

double RoleBalancer::shortage(const std::vector<RoleEngine> &engines,
                              const ModelDemand &demand) const
{
    const RoleCounts counts = countRoles(engines);
    const double prefillCapacity = counts.prefill * options_.utilisation;
    const double decodeCapacity = counts.decode * options_.utilisation;
    const double unmetPrefill = std::max(0.0, demand.prefillEngines - prefillCapacity);
    const double unmetDecode = std::max(0.0, demand.decodeEngines - decodeCapacity);
    const double idleDecode = std::max(0.0, decodeCapacity - demand.decodeEngines);
    const double lent =
        std::min({unmetPrefill, idleDecode, counts.decode * options_.maxPrefillShareOfDecode});
    const double mixedCapacity = counts.mixed * options_.utilisation;
    return std::max(0.0, unmetPrefill - lent + unmetDecode - mixedCapacity);
}

ModelDemand RoleBalancer::smooth(ModelState &state, Millis now, const ModelDemand &demand) const
{
    if (!state.hasSmoothed) {
        state.smoothed = demand;
        state.hasSmoothed = true;
    }
    const double elapsed = (now - state.smoothedAt).toSeconds();
    const double previousWeight = std::exp(-elapsed / options_.smoothing.toSeconds());
    const auto blend = [previousWeight](double previous, double current) {
        return previous * previousWeight + current * (1 - previousWeight);
    };
    state.smoothed.prefillEngines = blend(state.smoothed.prefillEngines, demand.prefillEngines);
    state.smoothed.decodeEngines = blend(state.smoothed.decodeEngines, demand.decodeEngines);
    state.smoothedAt = now;
    return state.smoothed;
}

std::vector<RoleChange> RoleBalancer::decide(Millis now, const RoleInput &input)
{
    std::map<ModelId, std::vector<RoleEngine>> byModel;
    for (const RoleEngine &engine : input.engines)
        byModel[engine.model].push_back(engine);
    std::vector<RoleChange> changes;
    for (const auto &[model, engines] : byModel) {
        const auto change = decideModel(now, model, engines, input);
        if (change)
            changes.push_back(*change);
    }
    return changes;
}

std::optional<RoleChange> RoleBalancer::decideModel(Millis now, const ModelId &model,
                                                    const std::vector<RoleEngine> &engines,
                                                    const RoleInput &input)
{
    ModelState &state = models_[model];
    const auto found = input.demand.find(model);
    const ModelDemand demand =
        smooth(state, now, found == input.demand.end() ? ModelDemand{} : found->second);
    // A change in progress has no effect on the demand figures yet; another decision would
    // overshoot.
    const bool isChanging = std::any_of(engines.begin(), engines.end(),
                                        [](const RoleEngine &engine) { return engine.changing; });
    if (isChanging)
        return std::nullopt;
    const double missing = shortage(engines, demand);
    const RoleCounts counts = countRoles(engines);
    const double unmetPrefill = demand.prefillEngines - counts.prefill * options_.utilisation;
    const double unmetDecode = demand.decodeEngines - counts.decode * options_.utilisation;
    const EngineRole missingRole =
        unmetPrefill > unmetDecode ? EngineRole::Prefill : EngineRole::Decode;
    if (!isSustained(state, now, missing, missingRole))
        return std::nullopt;

    const RoleEngine *best = nullptr;
    double bestGain = options_.minGain;
    for (const RoleEngine &engine : engines) {
        if (!mayChange(engine, now, engines, input, missingRole))
            continue;
        const double gain = missing - shortage(withRole(engines, engine.id, missingRole), demand);
        const bool isLessLoaded =
            best != nullptr && gain == bestGain && engine.running < best->running;
        if (gain <= bestGain && !isLessLoaded)
            continue;
        best = &engine;
        bestGain = gain;
    }
    if (best == nullptr || !paysBack(bestGain))
        return std::nullopt;
    state.changedAt = now;
    state.changedTo = missingRole;
    state.shortageSince.reset();
    changedAt_[best->id] = now;
    RoleChange change;
    change.engine = best->id;
    change.to = missingRole;
    change.evidence = model.text() + " lacks " + std::to_string(missing) + " engines for "
        + std::string(engineRoleNames.name(missingRole)) + "; the change provides "
        + std::to_string(bestGain);
    return change;
}

bool RoleBalancer::isSustained(ModelState &state, Millis now, double missing,
                               EngineRole missingRole) const
{
    if (missing < options_.minGain) {
        state.shortageSince.reset();
        return false;
    }
    if (!state.shortageSince || state.missingRole != missingRole) {
        state.shortageSince = now;
        state.missingRole = missingRole;
    }
    // If the demand oscillated, each reversal would make another engine unavailable for seconds
    // without any gain in throughput. A change in the opposite direction therefore has to wait
    // longer.
    const bool isReversal = state.changedAt && state.changedTo != missingRole;
    const Millis reversalAllowedAt = state.changedAt.value_or(Millis(0)) + options_.reversalDelay;
    if (isReversal && now < reversalAllowedAt)
        return false;
    return now - *state.shortageSince >= options_.sustainedDuration;
}

bool RoleBalancer::mayChange(const RoleEngine &engine, Millis now,
                             const std::vector<RoleEngine> &ofModel, const RoleInput &input,
                             EngineRole to) const
{
    if (engine.role == to || engine.role == EngineRole::None || engine.changing)
        return false;
    const auto lastChange = changedAt_.find(engine.id);
    if (lastChange != changedAt_.end() && now < lastChange->second + options_.minRoleDuration)
        return false;
    const auto inDomain =
        std::count_if(input.engines.begin(), input.engines.end(), [&](const RoleEngine &other) {
            return other.changing && other.domain == engine.domain;
        });
    const auto configured = input.concurrentChanges.find(engine.domain);
    const std::uint32_t limit =
        configured == input.concurrentChanges.end() ? 1 : configured->second;
    if (static_cast<std::uint32_t>(inDomain) >= limit)
        return false;
    // Without any engine for one kind of work the model is unavailable, whatever the demand.
    const auto after = withRole(ofModel, engine.id, to);
    const bool keepsPrefill = std::any_of(after.begin(), after.end(), [&](const RoleEngine &e) {
        return e.id != engine.id && canPrefill(e.role);
    });
    const bool keepsDecode = std::any_of(after.begin(), after.end(), [&](const RoleEngine &e) {
        return e.id != engine.id && canDecode(e.role);
    });
    const bool isLastPrefill = canPrefill(engine.role) && !keepsPrefill;
    const bool isLastDecode = canDecode(engine.role) && !keepsDecode;
    return !isLastPrefill && !isLastDecode;
}

bool RoleBalancer::paysBack(double gain) const
{
    // The engine is unavailable during the change, and again if it has to be reversed.
    const double cost = options_.changeDuration.toSeconds() * 2;
    return gain * options_.paybackPeriod.toSeconds() > cost;
}

} // namespace cuminrail
