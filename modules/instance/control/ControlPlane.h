#pragma once

#include "instance/serving/AdmissionDesk.h"
#include "instance/serving/ServingContext.h"
#include "instance/serving/SnapshotBuilder.h"
#include "runtime/threads/IoThread.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The control thread of an instance and the hooks registered on it.

    State machines for leases, membership, configuration and so on register their hooks here
    before start(): for the start, for regular intervals and for a planned stop, as readiness
    checks, and as sections of the state page. All hooks run on the control thread only.
*/
class ControlPlane
{
public:
    /** Receives a callback that it must call when it has finished. */
    using StopHook = std::function<void(std::function<void()> done)>;

    ControlPlane(ServingContext &context, AdmissionDesk &admission);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    void addStartHook(std::function<void()> hook) { startHooks_.push_back(std::move(hook)); }
    /** Adds a hook for a planned stop. Hooks run in sequence, after the last request. */
    void addStopHook(StopHook hook) { stopHooks_.push_back(std::move(hook)); }
    void addTick(Millis interval, std::function<void(Millis now)> hook);
    /** Adds a named condition that must hold for the instance to report itself ready. */
    void addReadiness(std::string name, std::function<bool()> isSatisfied);
    /** Adds an object to GET /state. It must not contain keys, prompts or responses. */
    void addState(std::string name, std::function<nlohmann::json()> describe);

    void start();
    /** Runs the stop hooks, then calls done on this thread, at the latest after the time-out. */
    void runStopHooks(Millis timeout, std::function<void()> done);

    /**
        Disables timers and stop hooks after the thread has ended.

        Otherwise timers that are due would call into services that are already destroyed.
    */
    void end();

    // Only on the control thread:
    /** Polls a condition until it holds, then calls done. For stop hooks. */
    void pollUntil(std::function<bool()> condition, std::function<void()> done);
    /** Publishes a validated settings tree to all request threads. */
    void publish(Settings settings);
    /** Publishes changed state of engines and of upstreams that are leaving. */
    void publishFacts(FleetState facts);
    /** Rejects withdrawn keys before the settings that withdraw them have arrived. */
    void publishWithdrawn(std::set<KeyHash> keys);
    /** Sets the number of instances that share the capacity of the upstreams. */
    void setInstanceCount(std::size_t count);
    bool hasSettings() const { return hasSettings_; }
    std::vector<std::string> missingForReadiness() const;
    nlohmann::json describe() const;
    SnapshotBuilder &builder() { return builder_; }

    IoThread &thread() { return thread_; }
    ServingContext &context() { return context_; }
    const ServingContext &context() const { return context_; }

private:
    struct Tick
    {
        Millis interval;
        std::function<void(Millis)> hook;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct Readiness
    {
        std::string name;
        std::function<bool()> isSatisfied;
    };
    struct State
    {
        std::string name;
        std::function<nlohmann::json()> describe;
    };

    void scheduleTick(const std::shared_ptr<Tick> &tick);
    void runStopHook(std::size_t index);
    void finishStopHooks();
    void publishSnapshot();
    void configureAdmission(Millis now);
    void refreshCapacity();

    ServingContext &context_;
    AdmissionDesk &admission_;
    IoThread thread_;
    SnapshotBuilder builder_;
    bool hasSettings_ = false;
    bool hasEnded_ = false;
    std::size_t instanceCount_ = 1;
    std::vector<std::function<void()>> startHooks_;
    std::vector<StopHook> stopHooks_;
    std::vector<std::shared_ptr<Tick>> ticks_;
    std::vector<Readiness> readiness_;
    std::vector<State> states_;
    std::function<void()> onStopHooksDone_;
    std::unique_ptr<Deadline> stopDeadline_;
};

} // namespace cuminrail
