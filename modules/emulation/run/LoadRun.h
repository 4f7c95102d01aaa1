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

/** With which decisions a day is played. */
struct LoadChoices
{
    PlacementKind placement = PlacementKind::Cuminrail;
    DecisionSettings decisions;
    /** A real clock in microseconds, to measure decisions with; none are measured without. */
    std::function<double()> stopwatch;
};

/**
    Plays one day: requests arrive at instances, which place them on engines as a gateway does.

    What is left out: callers do not come back after a refusal, connections cost nothing, and plain
    services do not exist. An engine that goes silent without closing its connections is not played.
*/
class LoadRun
{
public:
    LoadRun(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
            const LoadChoices &choices);
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /** Plays the whole day. Call once. */
    void play();

    const std::vector<LoadRecord> &records() const { return records_; }
    const std::vector<EngineSample> &samples() const { return samples_; }
    LoadReport report() const;
    /** How long each choice of an engine took, in microseconds. */
    const std::vector<double> &decisionMicros() const { return decisionMicros_; }

private:
    struct Instance
    {
        std::string domain;
        std::unique_ptr<Placement> placement;
        UpstreamHealth health;
        std::unique_ptr<RetryAllowance> retries;
        /** Prompts that wait here until engines have room, in the order of their arrival. */
        std::vector<std::size_t> held;
        DeferredPrompts heldPrompts;
    };

    /** A request on its way. */
    struct Flight
    {
        std::uint64_t job = 0;
        std::optional<EngineChoice> choice;
        double endsAt = 0;
        Millis sentAt;
        std::set<std::string> tried;
        int sends = 0;
        int refusals = 0;
        int eventsGot = 0;
        double lastEventAt = 0;
        bool isReading = false;
        bool isPromptRead = false;
        bool allowsHandOver = true;
        bool mayHaveRun = false;
        bool isOver = false;
        bool wasAsked = false;
        bool isHeld = false;
        Millis heldAt;
        /** In which engine's book the reading is entered, and as what; empty for none. */
        std::string book;
        PrefillId ticket;
        std::map<std::string, PrefillEstimate> offers;
    };

    void arrive(std::size_t index);
    void dispatch(std::size_t index);
    void askBooks(std::size_t index);
    /** Enters a reading that is sent off in its engine's book, and takes it back if it ends early.
     */
    void enterBook(std::size_t index);
    void takeBack(std::size_t index);
    PromptDecision decide(std::size_t index) const;
    void place(std::size_t index);
    void sendHeld(Instance &instance);
    void releaseHeld(std::size_t index);
    bool mayRepeat(std::size_t index);
    PlacementQuery queryFor(std::size_t index) const;
    void send(std::size_t index, const std::string &engine, bool isPrefill);
    void sendFetched(std::size_t index);
    void onOutput(const EngineOutput &output);
    void promptReadApart(std::size_t index);
    void gotEvent(std::size_t index);
    void finished(std::size_t index);
    void refused(std::size_t index, EngineRefusal why);
    void lost(std::uint64_t job, bool mayHaveRun);
    void settle(std::size_t index);
    void giveUp(std::size_t index);
    void end(std::size_t index, LoadEnding ending);
    void reachCaller(std::size_t index, double delay, void (LoadRun::*what)(std::size_t));

    const LoadKind &kindOf(std::size_t index) const { return plan_.kinds[requests_[index].kind]; }
    Instance &instanceOf(std::size_t index) { return instances_[requests_[index].instance]; }
    std::string readerOf(const Flight &flight) const;
    double travel(std::size_t index, const std::string &engineDomain) const;
    Millis now() const { return Millis(static_cast<std::int64_t>(queue_.now())); }

    const LoadPlan &plan_;
    const std::vector<LoadRequest> &requests_;
    EventQueue queue_;
    EngineFleet fleet_;
    std::vector<Instance> instances_;
    std::vector<Flight> flights_;
    std::vector<LoadRecord> records_;
    std::vector<EngineSample> samples_;
    std::unordered_map<std::uint64_t, std::size_t> byJob_;
    std::uint64_t nextJob_ = 1;
    int repeats_ = 0;
    PromptDeferral deferral_;
    /** One for each engine. Asked without delay: two instances are a millisecond apart. */
    std::map<std::string, PrefillTracker> books_;
    DecisionSettings decisions_;
    std::function<double()> stopwatch_;
    std::vector<double> decisionMicros_;
};

} // namespace cuminrail::emulation
