#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One engine as role decisions see it. */
struct RoleEngine
{
    UpstreamId id;
    FailureDomainId domain;
    ModelId model;
    EngineRole role = EngineRole::Mixed;
    /** A role change is recorded or under way. */
    bool changing = false;
    /** Work in progress; the idlest engine is changed first. */
    double running = 0;
};

/** What a model is asked for, in engines kept fully busy: work per second over an engine's rate. */
struct ModelMix
{
    double prefillEngines = 0;
    double decodeEngines = 0;
};

struct RoleInput
{
    std::vector<RoleEngine> engines;
    std::map<ModelId, ModelMix> mix;
    /** By failure domain: how many engines may change role at once; 1 where nothing is said. */
    std::map<FailureDomainId, std::uint32_t> concurrentChanges;
};

struct RoleChange
{
    UpstreamId engine;
    EngineRole to = EngineRole::Mixed;
    /** For the event and the operator. */
    std::string evidence;
};

struct RoleTiming
{
    /** The part of an engine that is planned to be busy. */
    double utilisation = 0.85;
    /** The part of decode engines' time that routing may lend to prefill. */
    double lentToPrefill = 0.25;
    /** Time over which demand is smoothed. */
    Millis smoothing = Millis::seconds(10);
    /** How long a shortage must last before an engine is changed. */
    Millis sustained = Millis::seconds(15);
    /** How long before the same model may change an engine the other way. */
    Millis reversal = Millis::seconds(90);
    /** How long one engine keeps its role. */
    Millis dwell = Millis::seconds(60);
    /** How long a change takes the engine away. */
    Millis changeTime = Millis::seconds(5);
    /** The span in which a change has to earn what it cost. */
    Millis payback = Millis::seconds(60);
    /** A shortage below this many engines is left to routing. */
    double leastGain = 0.3;
};

/**
    Decides which engines change role.

    First counts what routing can do by itself: mixed engines take both kinds of work, and decode
    engines lend a part of their time to prefill. Only what is still missing, lasts, and is worth
    more than the seconds for which the engine is away, leads to a change. One change a model at a
    time; never the last engine that can do a kind of work for a model.
*/
class RoleBalancer
{
public:
    explicit RoleBalancer(const RoleTiming &timing) : timing_(timing) { }

    /** Takes in what is asked for now and returns the changes to make now. */
    std::vector<RoleChange> decide(Millis now, const RoleInput &input);

    /** Returns the engines' worth of work that no routing can place, for a set of engines. */
    double shortage(const std::vector<RoleEngine> &engines, const ModelMix &mix) const;

private:
    struct ModelState
    {
        ModelMix smoothed;
        Millis smoothedAt;
        bool hasSmoothed = false;
        std::optional<Millis> shortSince;
        EngineRole shortOf = EngineRole::Mixed;
        std::optional<Millis> changedAt;
        EngineRole changedTo = EngineRole::Mixed;
    };

    ModelMix smooth(ModelState &state, Millis now, const ModelMix &mix) const;
    std::optional<RoleChange> decideModel(Millis now, const ModelId &model,
                                          const std::vector<RoleEngine> &engines,
                                          const RoleInput &input);
    bool isSustained(ModelState &state, Millis now, double missing, EngineRole shortOf) const;
    bool mayChange(const RoleEngine &engine, Millis now, const std::vector<RoleEngine> &ofModel,
                   const RoleInput &input, EngineRole to) const;
    bool paysBack(double gain) const;

    RoleTiming timing_;
    std::map<ModelId, ModelState> models_;
    std::map<UpstreamId, Millis> changedAt_;
};

} // namespace cuminrail
