#pragma once

#include "dataplane/model/UpstreamEntry.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail {

/** The state of an engine as far as StagePlan needs it. */
struct StagedEngine
{
    std::string id;
    std::string failureDomain;
    EngineStage stage = EngineStage::Decode;
    /** A change was ordered and has not completed, or its result is unknown. */
    bool isChanging = false;
    std::string softwareVersion = {};
};

struct StageChange
{
    std::string id;
    EngineStage to = EngineStage::Decode;
};

struct StagePlanSettings
{
    /**
        Share of a failure domain's engines that execute decode; the others execute prefill.

        On a decode engine prefill runs at half the rate and lengthens the gaps of all its streams;
        an engine that only executes decode leaves its capacity for prefill unused. With the present
        workloads (some 70 input tokens per output token) a third of the engines suffices for
        decode.
    */
    double decodeShare = 0.34;
    /**
        How long the shares must deviate before they are corrected while there are no requests. New
        engines are listed within a quarter of a second of each other. With a longer delay more of
        the change, during which engines are unavailable, coincides with the first requests.
    */
    Millis minDeviationDuration = Millis(500);
    /** Minimum time in a stage: several times the duration of a change. */
    Millis dwell = Millis(12000);
    /** Share of all engines that may be unavailable for a change at the same time. */
    double concurrentShare = 0.34;
    /**
        Under load engines are changed only to a stage that has less than this share of its target
        number. A change makes an engine and its cached parts unavailable just when both are scarce.
    */
    double grossShortage = 0.5;
    /**
        Time for which a fleet that had an engine of each stage for every instance is left alone
        when it has not: while it is being replaced, the new engines boot before they are listed.
    */
    Millis replacementTime = Millis::seconds(12);
};

/**
    Decides which engines change between prefill and decode.

    The ratio of prefill to decode work varies within seconds, and a change makes an engine
    unavailable for as long. So the plan does not follow that ratio but keeps fixed shares that suit
    the long-term average. If each stage has an engine for every instance, prompts of two instances
    seldom compete for an engine and a change has no benefit; then all engines keep their stages.
    While there are no requests, each failure domain is brought to the target shares once a
    deviation has persisted; under load only a severe shortage in the whole fleet is corrected. The
    last engine of a stage is never changed.

    Streams go on only at the software version that began them. While several versions serve, one
    of whose engines none executes decode gets such an engine.
*/
class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings = {}) : settings_(settings) { }

    /** Returns the changes to order now, for the engines of one service. */
    std::vector<StageChange> decide(const std::vector<StagedEngine> &engines, bool isUnderLoad,
                                    Millis now);
    /** Sets the number of instances that send prompts to these engines; unlimited by default. */
    void setInstances(std::size_t count) { instances_ = count; }

    /** Returns the target number of decode engines among @p engines engines of a failure domain. */
    std::size_t targetDecodeCount(std::size_t engines) const;

private:
    /** The engines of one failure domain, or of all of them, by stage. */
    struct StageGroups
    {
        std::vector<const StagedEngine *> prefill;
        std::vector<const StagedEngine *> decode;
        std::size_t changing = 0;

        std::size_t size() const { return prefill.size() + decode.size() + changing; }
    };

    bool hasEngineForEveryInstance(const StageGroups &all) const;
    static void add(StageGroups &groups, const StagedEngine &engine);
    std::vector<StageChange> decideIdle(const std::map<std::string, StageGroups> &domains,
                                        const StageGroups &all, Millis now);
    std::vector<StageChange> decideUnderLoad(const StageGroups &all, Millis now);
    /** Returns a change for a version without decode engines, while others have some. */
    std::vector<StageChange> decideVersions(const std::map<std::string, StageGroups> &versions,
                                            Millis now);
    std::size_t maxChanging(std::size_t engines) const;
    bool hasPersisted(const std::string &domain, int deviation, Millis now);
    const StagedEngine *findChangeable(const std::vector<const StagedEngine *> &engines,
                                       Millis now) const;

    StagePlanSettings settings_;
    std::size_t instances_ = std::numeric_limits<std::size_t>::max();
    struct Deviation
    {
        int sign = 0;
        Millis startedAt;
    };
    std::map<std::string, Deviation> deviations_;
    std::map<std::string, Millis> changedAt_;
    /** When each stage last had an engine for every instance. */
    std::optional<Millis> sufficientAt_;
};

} // namespace cuminrail
