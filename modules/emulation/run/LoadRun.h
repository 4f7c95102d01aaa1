#pragma once

#include "dataplane/fleet/UpstreamHealth.h"
#include "dataplane/policy/DecisionSettings.h"
#include "dataplane/retry/RetryAllowance.h"
#include "dataplane/waiting/DeferredPrompts.h"
#include "emulation/run/EngineFleet.h"
#include "emulation/run/Placement.h"
#include "readingbooks/tracker/PrefillTracker.h"

#include <map>
#include <set>

namespace cuminrail::emulation {

/** Options of a simulated run. */
struct LoadChoices
{
    PlacementKind placement = PlacementKind::Cuminrail;
    DecisionSettings decisions;
    /** Real clock in microseconds for timing placement decisions; empty to disable timing. */
    std::function<double()> stopwatch;
};

/**
    Simulates one load scenario: requests arrive at instances, which place them on engines as the
    gateway does.

    Not modelled: callers that retry after a refusal, the cost of connections, plain services, and
    engines that stop responding without closing their connections.
*/
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
            const LoadChoices &choices);
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /** Runs the whole simulation. Call once. */
    void play();

    const std::vector<LoadRecord> &records() const { return records_; }
    const std::vector<EngineSample> &samples() const { return samples_; }
    LoadReport report() const;
    /** Duration of each engine selection in microseconds. */
    const std::vector<double> &decisionMicros() const { return decisionMicros_; }

private:
    struct Instance
    {
        std::string domain;
        std::unique_ptr<Placement> placement;
        UpstreamHealth health;
        std::unique_ptr<RetryAllowance> retries;
        /** Requests deferred until engines have capacity, in order of arrival. */
        std::vector<std::size_t> deferred;
        DeferredPrompts deferredPrompts;
    };

    /** Progress of one request. */
    struct RequestState
    {
        std::uint64_t job = 0;
        std::optional<EngineChoice> choice;
        double endsAt = 0;
        Millis sentAt;
        std::set<std::string> tried;
        int sends = 0;
        int refusals = 0;
        int receivedEvents = 0;
        double lastEventAt = 0;
        bool isPrefilling = false;
        bool isPromptRead = false;
        bool allowsHandOver = true;
        bool mayHaveRun = false;
        bool isOver = false;
        bool wasQueried = false;
        bool isDeferred = false;
        Millis deferredAt;
        /** Engine whose tracker holds the prefill, and its id there; empty for none. */
        std::string trackedEngine;
        PrefillId prefillId;
        std::map<std::string, PrefillEstimate> estimates;
    };

    void arrive(std::size_t index);
    void dispatch(std::size_t index);
    void queryTrackers(std::size_t index);
    /** Adds a dispatched prefill to its engine's tracker; cancelTrackedPrefill() undoes it. */
    void trackPrefill(std::size_t index);
    void cancelTrackedPrefill(std::size_t index);
    PromptDecision decide(std::size_t index) const;
    void dispatchToEngine(std::size_t index);
    void dispatchDeferred(Instance &instance);
    void clearDeferred(std::size_t index);
    bool tryAcquireRetry(std::size_t index);
    PlacementQuery queryFor(std::size_t index) const;
    void send(std::size_t index, const std::string &engine, bool isPrefill);
    void sendFetched(std::size_t index);
    void onOutput(const EngineOutput &output);
    void onPrefillDone(std::size_t index);
    void onEvent(std::size_t index);
    void onDone(std::size_t index);
    void onRefused(std::size_t index, EngineRefusal why);
    void onLost(std::uint64_t job, bool mayHaveRun);
    void endAttempt(std::size_t index);
    void giveUp(std::size_t index);
    void end(std::size_t index, LoadEnding ending);
    void notifyInstance(std::size_t index, double delay, void (LoadRun::*what)(std::size_t));

    const LoadKind &kindOf(std::size_t index) const { return plan_.kinds[requests_[index].kind]; }
    Instance &instanceOf(std::size_t index) { return instances_[requests_[index].instance]; }
    std::string firstEngineOf(const RequestState &state) const;
    double travel(std::size_t index, const std::string &engineDomain) const;
    Millis now() const { return Millis(static_cast<std::int64_t>(queue_.now())); }

    const LoadPlan &plan_;
    const std::vector<LoadRequest> &requests_;
    EventQueue queue_;
    EngineFleet fleet_;
    std::vector<Instance> instances_;
    std::vector<RequestState> requestStates_;
    std::vector<LoadRecord> records_;
    std::vector<EngineSample> samples_;
    std::unordered_map<std::uint64_t, std::size_t> byJob_;
    std::uint64_t nextJob_ = 1;
    int retries_ = 0;
    PromptDeferral deferral_;
    /** One per engine. Queried without delay, since instances are only a millisecond apart. */
    std::map<std::string, PrefillTracker> prefillTrackers_;
    DecisionSettings decisions_;
    std::function<double()> stopwatch_;
    std::vector<double> decisionMicros_;
};

} // namespace cuminrail::emulation
