#pragma once

#include "dataplane/model/UpstreamEntry.h"

#include <limits>
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
    /**
        How long a wrong division lasts before it is corrected, while nobody asks for anything. New
        engines are listed within a quarter of a second of each other. Every moment more takes the
        change, with engines away, further into the first requests.
    */
    Millis borne = Millis(500);
    /** How long an engine keeps its stage: several times what a change costs. */
    Millis dwell = Millis(12000);
    /** The part of all engines that may be away for a change at the same time. */
    double concurrentShare = 0.34;
    /**
        Under load only a stage with less than this part of its wanted engines is helped. A change
        takes an engine, and the parts that it holds, away just when both are short.
    */
    double grossShortage = 0.5;
};

/**
    Which engines should change between reading prompts and generating.

    The mix of work swings within seconds, and a change takes an engine away for as long. So the
    plan does not follow the mix: it holds a division that suits the long run. Where each stage has
    an engine for every instance, prompts of two instances seldom meet and a change earns nothing;
    then all engines are left as they are. While nobody asks for
    anything, each failure domain is brought to it once a deviation has lasted; under load only a
    gross shortage of the whole fleet is mended. Never the last engine of a stage.
*/
class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings = {}) : settings_(settings) { }

    /** Returns the changes to order now, for the engines of one service. */
    std::vector<StageChange> decide(const std::vector<StagedEngine> &engines, bool isUnderLoad,
                                    Millis now);
    /** How many instances send prompts to these engines; many until this is called. */
    void setInstances(std::size_t count) { instances_ = count; }

    /** Returns how many of a failure domain's engines should generate. */
    std::size_t wantedDecode(std::size_t engines) const;

private:
    /** The engines of one failure domain, or all. */
    struct Division
    {
        std::vector<const StagedEngine *> prefill;
        std::vector<const StagedEngine *> decode;
        std::size_t changing = 0;

        std::size_t size() const { return prefill.size() + decode.size() + changing; }
    };

    bool hasPlenty(const Division &all) const;
    static void add(Division &division, const StagedEngine &engine);
    std::vector<StageChange> decideCalm(const std::map<std::string, Division> &domains,
                                        const Division &all, Millis now);
    std::vector<StageChange> decideUnderLoad(const Division &all, Millis now);
    std::size_t mostChanging(std::size_t engines) const;
    bool hasLasted(const std::string &domain, int deviation, Millis now);
    const StagedEngine *pick(const std::vector<const StagedEngine *> &engines, Millis now) const;

    StagePlanSettings settings_;
    std::size_t instances_ = std::numeric_limits<std::size_t>::max();
    struct Deviation
    {
        int sign = 0;
        Millis since;
    };
    std::map<std::string, Deviation> deviations_;
    std::map<std::string, Millis> changedAt_;
};

} // namespace cuminrail
