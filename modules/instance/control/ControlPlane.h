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
    The control thread of an instance, and what is hung on it.

    State machines for leases, membership, configuration and so on register here before start():
    what to do at the start, at intervals, and at a planned stop; whether they are ready; what
    they show operators. Everything registered runs on the control thread alone.
*/
class ControlPlane
{
public:
    /** Called with what to call when done. */
    using StopHook = std::function<void(std::function<void()> done)>;

    ControlPlane(ServingContext &context, AdmissionDesk &admission);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    void addStartHook(std::function<void()> hook) { startHooks_.push_back(std::move(hook)); }
    /** Runs at a planned stop, after the last request; hooks run one after the other. */
    void addStopHook(StopHook hook) { stopHooks_.push_back(std::move(hook)); }
    void addTick(Millis every, std::function<void(Millis now)> hook);
    /** Names something that must hold before the instance counts as ready. */
    void addReadiness(std::string name, std::function<bool()> holds);
    /** Adds an object to GET /state; never with keys, prompts or answers in it. */
    void addState(std::string name, std::function<nlohmann::json()> describe);

    void start();
    /** Runs the stop hooks, at most for the given time, then calls done on this thread. */
    void runStopHooks(Millis atMost, std::function<void()> done);

    /**
        Forgets all that is registered, once the thread has ended.

        Timers that are due would otherwise call into services that are gone.
    */
    void end();

    // On the control thread alone:
    /** Asks again and again until a condition holds, then calls done. For stop hooks. */
    void pollUntil(std::function<bool()> isReached, std::function<void()> done);
    /** Puts a checked settings tree in force on all request threads. */
    void publish(Settings settings);
    /** Puts new knowledge of engines and leaving upstreams in force. */
    void publishFacts(FleetState facts);
    /** Makes withdrawn keys stop working ahead of the settings that say so. */
    void publishWithdrawn(std::set<KeyHash> keys);
    /** Sets among how many instances the upstreams' capacity is divided. */
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
        Millis every;
        std::function<void(Millis)> hook;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct Readiness
    {
        std::string name;
        std::function<bool()> holds;
    };
    struct State
    {
        std::string name;
        std::function<nlohmann::json()> describe;
    };

    void arm(const std::shared_ptr<Tick> &tick);
    void runStopHook(std::size_t index);
    void stopHooksDone();
    void republish();
    void configureAdmission(Millis now);
    void refreshCapacity();

    ServingContext &context_;
    AdmissionDesk &admission_;
    IoThread thread_;
    SnapshotBuilder builder_;
    bool hasSettings_ = false;
    bool isOver_ = false;
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
