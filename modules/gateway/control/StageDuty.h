#pragma once

#include "dataplane/roles/StagePlan.h"
#include "gateway/request/RelayContext.h"

#include <limits>
#include <unordered_map>

namespace cuminrail {

/**
    Has engines change their stage while this instance holds the duty.

    An order without an answer may still be carried out seconds later. Each order therefore names
    the number of orders that the engine has accepted so far: of all orders that name the same
    number, late or repeated, the engine carries out one at most. The number is read from the engine
    right before, under the same authority, and an engine gets one order at a time.
*/
class StageDuty
{
public:
    StageDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority);

    /** Does what is due; to be called every few hundred milliseconds. */
    void tick();
    /** How many instances share the engines. */
    void setInstances(std::size_t count) { instances_ = count; }

private:
    struct Pending
    {
        EngineStage to = EngineStage::Decode;
        Millis until;
        Millis startedAt;
    };

    void decideService(const Service &service, Millis now);
    void order(const UpstreamPointer &engine, const StageChange &change, const Service &service);
    void reportRead(const UpstreamPointer &engine, EngineStage to,
                    const std::optional<EngineReportBrief> &report);
    void done(const std::string &id, DutyResult result, const Reason &reason);

    RelayContext &context_;
    std::function<std::optional<DutyAuthority>()> authority_;
    std::unordered_map<std::string, StagePlan> plans_;
    std::unordered_map<std::string, Pending> pending_;
    std::uint64_t requestsSeen_ = 0;
    std::optional<Millis> requestAt_;
    Millis heldSince_ = Millis::never();
    std::size_t instances_ = std::numeric_limits<std::size_t>::max();
};

} // namespace cuminrail
