#pragma once

#include "dataplane/roles/StagePlan.h"
#include "gateway/request/RelayContext.h"

#include <limits>
#include <unordered_map>

namespace cuminrail {

/**
    Orders engines to change their stage while this instance holds the duty.

    An order without a response may still be executed seconds later. Each order therefore states
    the number of orders that the engine has accepted so far: of all orders with the same number,
    late or sent twice, the engine executes at most one. The number is read from the engine just
    before, under the same lease, and an engine has at most one order pending.
*/
class StageDuty
{
public:
    StageDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority);

    /** Plans and orders when due; to be called every few hundred milliseconds. */
    void tick();
    /** Sets the number of instances that share the engines. */
    void setInstances(std::size_t count) { instances_ = count; }

private:
    struct PendingOrder
    {
        EngineStage to = EngineStage::Decode;
        Millis expiresAt;
        Millis startedAt;
    };

    void decideService(const Service &service, Millis now);
    void order(const UpstreamPointer &engine, const StageChange &change, const Service &service);
    void onEngineReply(const UpstreamPointer &engine, EngineStage to, const EngineReply &reply);
    void orderEnded(const std::string &id, DutyResult result, const Reason &reason);

    RelayContext &context_;
    std::function<std::optional<DutyAuthority>()> authority_;
    std::unordered_map<std::string, StagePlan> plans_;
    std::unordered_map<std::string, PendingOrder> pending_;
    std::uint64_t lastRequestCount_ = 0;
    std::optional<Millis> lastRequestAt_;
    Millis authorityGainedAt_ = Millis::never();
    std::size_t instances_ = std::numeric_limits<std::size_t>::max();
};

} // namespace cuminrail
