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

/** The properties of an engine that role decisions depend on. */
struct RoleEngine
{
    UpstreamId id;
    FailureDomainId domain;
    ModelId model;
    EngineRole role = EngineRole::Mixed;
    /** A role change is recorded or in progress. */
    bool changing = false;
    /** Work in progress; of engines with equal gain the one with the least is changed. */
    double running = 0;
};

/** Demand for a model, in fully utilised engines: work per second divided by an engine's rate. */
struct ModelDemand
{
    double prefillEngines = 0;
    double decodeEngines = 0;
};

struct RoleInput
{
    std::vector<RoleEngine> engines;
    std::map<ModelId, ModelDemand> demand;
    /**
        Maximum number of engines per failure domain that may change role at the same time; 1 for
        domains not listed.
    */
    std::map<FailureDomainId, std::uint32_t> concurrentChanges;
};

struct RoleChange
{
    UpstreamId engine;
    EngineRole to = EngineRole::Mixed;
    /** Explanation for the event and the operator. */
    std::string evidence;
};

struct RoleBalancerOptions
{
    /** Planned utilisation of an engine. */
    double utilisation = 0.85;
    /** Maximum share of the decode engines' time that routing may use for prefill. */
    double maxPrefillShareOfDecode = 0.25;
    /** Time constant for smoothing the demand. */
    Millis smoothing = Millis::seconds(10);
    /** How long a shortage has to last before an engine is changed. */
    Millis sustainedDuration = Millis::seconds(15);
    /** How long after a change the same model may change an engine in the opposite direction. */
    Millis reversalDelay = Millis::seconds(90);
    /** Minimum time that an engine keeps its role. */
    Millis minRoleDuration = Millis::seconds(60);
    /** How long an engine is unavailable during a change. */
    Millis changeDuration = Millis::seconds(5);
    /** Period within which the gain of a change has to exceed its cost. */
    Millis paybackPeriod = Millis::seconds(60);
    /** Minimum shortage, in engines, that leads to a change; smaller ones are left to routing. */
    double minGain = 0.3;
};

/**
    Decides which engines change their role.

    First takes into account what routing can balance by itself: mixed engines do both kinds of
    work, and decode engines do prefill work for a share of their time. A role changes only if the
    remaining shortage lasts and reducing it outweighs the seconds for which the engine is
    unavailable. At most one change at a time for each model; never the last engine of a model that
    can do a kind of work.
*/
class RoleBalancer
{
public:
    explicit RoleBalancer(const RoleBalancerOptions &options) : options_(options) { }

    /** Processes the current demand and returns the changes to make now. */
    std::vector<RoleChange> decide(Millis now, const RoleInput &input);

    /** Returns the work, in engines, that routing cannot place on a set of engines. */
    double shortage(const std::vector<RoleEngine> &engines, const ModelDemand &demand) const;

private:
    struct ModelState
    {
        ModelDemand smoothed;
        Millis smoothedAt;
        bool hasSmoothed = false;
        std::optional<Millis> shortageSince;
        EngineRole missingRole = EngineRole::Mixed;
        std::optional<Millis> changedAt;
        EngineRole changedTo = EngineRole::Mixed;
    };

    ModelDemand smooth(ModelState &state, Millis now, const ModelDemand &demand) const;
    std::optional<RoleChange> decideModel(Millis now, const ModelId &model,
                                          const std::vector<RoleEngine> &engines,
                                          const RoleInput &input);
    bool isSustained(ModelState &state, Millis now, double missing, EngineRole missingRole) const;
    bool mayChange(const RoleEngine &engine, Millis now, const std::vector<RoleEngine> &ofModel,
                   const RoleInput &input, EngineRole to) const;
    bool paysBack(double gain) const;

    RoleBalancerOptions options_;
    std::map<ModelId, ModelState> models_;
    std::map<UpstreamId, Millis> changedAt_;
};

} // namespace cuminrail
