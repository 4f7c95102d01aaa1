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

/** The engines of a day: their steps, transfers, stage changes and losses. */
class EngineFleet
{
public:
    struct Hooks
    {
        std::function<void(const EngineOutput &)> onOutput;
        /** A job's engine refused it after it had taken it, or broke with it. */
        std::function<void(std::uint64_t job, bool mayHaveRun)> onLost;
    };

    EngineFleet(const LoadPlan &plan, EventQueue &queue, StagePlanSettings stages, Hooks hooks);
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /** What instances know: late, and without those that said that they leave. */
    const std::vector<UpstreamPointer> &known() const { return known_; }
    /** False while an engine that is known is gone already. */
    bool isAlive(const std::string &id) const;
    /** A job reaches its engine. */
    std::optional<EngineRefusal> offer(const std::string &id, const EngineJob &job);
    /**
        A job reaches its engine with a cache to fetch from another one; what follows comes by
        onOutput or, when the cache is gone, by onLost.
    */
    std::optional<EngineRefusal> offerFetched(const std::string &id, const EngineJob &job,
                                              const std::string &source);
    /**
        The same for a prompt whose first parts are fetched from an engine that holds them, over
       that engine's link.
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
        /** An order to it is under way, or not seen in the list yet. */
        bool isOrdered = false;
        double linkFreeAt = 0;
    };

    void add(const std::string &domain, EngineStage stage, bool isAtStart);
    EngineStage laterStage();
    Member *find(const std::string &id);
    /** Takes the sender's link for so many cached tokens. Returns when they have arrived. */
    double transferred(Member &from, const Member &target, double tokens);
    void publish(Member &member);
    void step(Member &member);
    void decideStages();
    void order(Member &member, EngineStage stage);
    void changeWhenEmpty(Member &member);
    void lose(const EngineLoss &loss);
    void end(Member &member);
    std::vector<Member *> victims(const EngineLoss &loss);

    const LoadPlan &plan_;
    EventQueue &queue_;
    StagePlan stages_;
    Hooks hooks_;
    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, Member *> byId_;
    std::vector<UpstreamPointer> known_;
    /** Transfers under way whose job was cancelled meanwhile. */
    std::unordered_set<std::uint64_t> fetching_;
    int later_ = 0;
    EngineTotals totals_;
    EngineTotals gone_;
};

} // namespace cuminrail::emulation
