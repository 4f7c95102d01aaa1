#pragma once

#include "dataplane/model/UpstreamEntry.h"

#include <map>
#include <vector>

namespace cuminrail {

/** An engine as the plan sees it. */
struct StagedEngine
{
    std::string id;
    std::string failureDomain;
    EngineStage stage = EngineStage::Decode;
    /** An order to it is under way or its result unknown. */
    bool isChanging = false;
};

struct StageChange
{
    std::string id;
    EngineStage to = EngineStage::Decode;
};

struct StagePlanSettings
{
    /**
        The part of a failure domain's engines that generate; the others read prompts.

        A prompt read on a generating engine goes in at half speed and stretches the pauses of all
        streams there; generating alone leaves an engine's reading power unused. With the prompts
        of the present workloads (some 70 tokens in for one out) a third is enough to generate.
    */
    double decodeShare = 0.34;
    /** How long too few generating engines are put up with: they may be coming back. */
    Millis missingDecode = Millis(1500);
    /** The same for too few reading engines, where generating ones can still read. */
    Millis missingPrefill = Millis(2000);
    /** How long an engine keeps its stage: several times what a change costs. */
    Millis dwell = Millis(12000);
    /** The part of all engines that may be away for a change at the same time. */
    double concurrentShare = 0.34;
};

/**
    Which engines should change between reading prompts and generating.

    The mix of work swings within seconds, and a change takes an engine away for as long. So the
    plan does not follow the mix: it holds a division that suits the long run and corrects it only
    when engines come or go, after the deviation has lasted. Never the last engine of a stage.
*/
class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings = {}) : settings_(settings) { }

    /** Returns the changes to order now, for the engines of one service. */
    std::vector<StageChange> decide(const std::vector<StagedEngine> &engines, Millis now);

    /** Returns how many of a failure domain's engines should generate. */
    std::size_t wantedDecode(std::size_t engines) const;

private:
    struct Domain
    {
        std::vector<const StagedEngine *> prefill;
        std::vector<const StagedEngine *> decode;
        std::size_t changing = 0;
    };

    bool hasLasted(const std::string &domain, int deviation, Millis now);
    const StagedEngine *pick(const std::vector<const StagedEngine *> &engines, Millis now) const;

    StagePlanSettings settings_;
    struct Deviation
    {
        int sign = 0;
        Millis since;
    };
    std::map<std::string, Deviation> deviations_;
    std::map<std::string, Millis> changedAt_;
};

} // namespace cuminrail
