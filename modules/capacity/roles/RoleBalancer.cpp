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

double RoleBalancer::shortage(const std::vector<RoleEngine> &engines, const ModelMix &mix) const
{
    const RoleCounts counts = countRoles(engines);
    const double prefillRoom = counts.prefill * timing_.utilisation;
    const double decodeRoom = counts.decode * timing_.utilisation;
    const double prefillLeft = std::max(0.0, mix.prefillEngines - prefillRoom);
    const double decodeLeft = std::max(0.0, mix.decodeEngines - decodeRoom);
    const double idleDecode = std::max(0.0, decodeRoom - mix.decodeEngines);
    const double lent = std::min({prefillLeft, idleDecode, counts.decode * timing_.lentToPrefill});
    const double mixedRoom = counts.mixed * timing_.utilisation;
    return std::max(0.0, prefillLeft - lent + decodeLeft - mixedRoom);
}

ModelMix RoleBalancer::smooth(ModelState &state, Millis now, const ModelMix &mix) const
{
    if (!state.hasSmoothed) {
        state.smoothed = mix;
        state.hasSmoothed = true;
    }
    const double elapsed = (now - state.smoothedAt).toSeconds();
    const double keep = std::exp(-elapsed / timing_.smoothing.toSeconds());
    const auto blend = [keep](double before, double current) {
        return before * keep + current * (1 - keep);
    };
    state.smoothed.prefillEngines = blend(state.smoothed.prefillEngines, mix.prefillEngines);
    state.smoothed.decodeEngines = blend(state.smoothed.decodeEngines, mix.decodeEngines);
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
    const auto asked = input.mix.find(model);
    const ModelMix mix = smooth(state, now, asked == input.mix.end() ? ModelMix{} : asked->second);
    // A change that is under way has not shown its effect; deciding again would overshoot.
    const bool isChanging = std::any_of(engines.begin(), engines.end(),
                                        [](const RoleEngine &engine) { return engine.changing; });
    if (isChanging)
        return std::nullopt;
    const double missing = shortage(engines, mix);
    const RoleCounts counts = countRoles(engines);
    const double prefillLeft = mix.prefillEngines - counts.prefill * timing_.utilisation;
    const double decodeLeft = mix.decodeEngines - counts.decode * timing_.utilisation;
    const EngineRole shortOf = prefillLeft > decodeLeft ? EngineRole::Prefill : EngineRole::Decode;
    if (!isSustained(state, now, missing, shortOf))
        return std::nullopt;

    const RoleEngine *best = nullptr;
    double bestGain = timing_.leastGain;
    for (const RoleEngine &engine : engines) {
        if (!mayChange(engine, now, engines, input, shortOf))
            continue;
        const double gain = missing - shortage(withRole(engines, engine.id, shortOf), mix);
        const bool isIdler = best != nullptr && gain == bestGain && engine.running < best->running;
        if (gain <= bestGain && !isIdler)
            continue;
        best = &engine;
        bestGain = gain;
    }
    if (best == nullptr || !paysBack(bestGain))
        return std::nullopt;
    state.changedAt = now;
    state.changedTo = shortOf;
    state.shortSince.reset();
    changedAt_[best->id] = now;
    RoleChange change;
    change.engine = best->id;
    change.to = shortOf;
    change.evidence = model.text() + " lacks " + std::to_string(missing) + " engines for "
        + std::string(engineRoleNames.name(shortOf)) + "; the change gives "
        + std::to_string(bestGain);
    return change;
}

bool RoleBalancer::isSustained(ModelState &state, Millis now, double missing,
                               EngineRole shortOf) const
{
    if (missing < timing_.leastGain) {
        state.shortSince.reset();
        return false;
    }
    if (!state.shortSince || state.shortOf != shortOf) {
        state.shortSince = now;
        state.shortOf = shortOf;
    }
    // A mix that swings to and fro would take one engine after the other away for seconds and
    // win nothing: role changes without goodput. Turning back needs to wait longer.
    const bool isReversal = state.changedAt && state.changedTo != shortOf;
    const Millis settled = state.changedAt.value_or(Millis(0)) + timing_.reversal;
    if (isReversal && now < settled)
        return false;
    return now - *state.shortSince >= timing_.sustained;
}

bool RoleBalancer::mayChange(const RoleEngine &engine, Millis now,
                             const std::vector<RoleEngine> &ofModel, const RoleInput &input,
                             EngineRole to) const
{
    if (engine.role == to || engine.role == EngineRole::None || engine.changing)
        return false;
    const auto changed = changedAt_.find(engine.id);
    if (changed != changedAt_.end() && now < changed->second + timing_.dwell)
        return false;
    const auto inDomain =
        std::count_if(input.engines.begin(), input.engines.end(), [&](const RoleEngine &other) {
            return other.changing && other.domain == engine.domain;
        });
    const auto bound = input.concurrentChanges.find(engine.domain);
    const std::uint32_t limit = bound == input.concurrentChanges.end() ? 1 : bound->second;
    if (static_cast<std::uint32_t>(inDomain) >= limit)
        return false;
    // Without an engine for one kind of work the model is down, whatever the mix says.
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
    // The engine is away for the change, and again if the mix comes back.
    const double cost = timing_.changeTime.toSeconds() * 2;
    return gain * timing_.payback.toSeconds() > cost;
}

} // namespace cuminrail
