#pragma once

#include "core/simulated/EventQueue.h"
#include "dataplane/fleet/UpstreamDirectory.h"
#include "dataplane/roles/StagePlan.h"
#include "emulation/engine/EmulatedEngine.h"
#include "emulation/load/LoadPlan.h"
#include "emulation/report/LoadReport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace cuminrail::emulation {

/** All engines of a simulation: their steps, cache transfers, stage changes and losses. */
class EngineFleet
{
public:
    struct Hooks
    {
        std::function<void(const EngineOutput &)> onOutput;
        /** An engine rejected a job after accepting it, or failed while holding it. */
        std::function<void(std::uint64_t job, bool mayHaveRun)> onLost;
    };

    EngineFleet(const LoadPlan &plan, EventQueue &queue, StagePlanSettings stages, Hooks hooks);
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /** Engines as known to instances: delayed, and without those that announced leaving. */
    const std::vector<UpstreamPointer> &known() const { return known_; }
    /** Returns false for an engine that is gone, even if it is still listed in known(). */
    bool isAlive(const std::string &id) const;
    /** Delivers a job to its engine. */
    std::optional<EngineRefusal> offer(const std::string &id, const EngineJob &job);
    /**
        Delivers a job whose cache is fetched from another engine. Returns Full if the cache is
        gone; otherwise the outcome is reported by onOutput or, if the target is gone or rejects the
        job after the transfer, by onLost.
    */
    std::optional<EngineRefusal> offerFetched(const std::string &id, const EngineJob &job,
                                              const std::string &source);
    /**
        Delivers a job whose prompt prefix is fetched from an engine that caches it, over that
        engine's link.
    */
    std::optional<EngineRefusal> offerWithPrefix(const std::string &id, const EngineJob &job,
                                                 const std::string &source);
    void cancel(const std::string &id, std::uint64_t job);

    EngineSample sample() const;
    EngineTotals totals() const;

private:
    struct Member
    {
        std::string id;
        std::string domain;
        EmulatedEngine engine;
        UpstreamPointer record;
        bool isLeaving = false;
        bool isGone = false;
        /** A stage change is in progress, or not yet visible to instances. */
        bool isOrdered = false;
        double linkFreeAt = 0;
    };

    void add(const std::string &domain, EngineStage stage, bool isAtStart);
    EngineStage nextAddedStage();
    Member *find(const std::string &id);
    /** Occupies the sender's link for a transfer. Returns the time of arrival. */
    double scheduleTransfer(Member &from, const Member &target, double tokens);
    void publish(Member &member);
    void step(Member &member);
    void decideStages();
    void orderStage(Member &member, EngineStage stage);
    void changeStageWhenIdle(Member &member);
    void loseEngines(const EngineLoss &loss);
    void terminateEngine(Member &member);
    std::vector<Member *> enginesToLose(const EngineLoss &loss);

    const LoadPlan &plan_;
    EventQueue &queue_;
    StagePlan stages_;
    Hooks hooks_;
    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, Member *> byId_;
    std::vector<UpstreamPointer> known_;
    /** Jobs with a transfer in progress; a job that is cancelled is removed. */
    std::unordered_set<std::uint64_t> fetching_;
    int addedLater_ = 0;
    EngineTotals totals_;
    EngineTotals lostEngineTotals_;
};

} // namespace cuminrail::emulation
