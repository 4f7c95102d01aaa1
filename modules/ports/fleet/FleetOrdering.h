#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** How an upstream is paid for. */
enum class CostClass : std::uint8_t {
    Regular,
    /** Cheaper, and may be reclaimed with its whole zone at any moment. */
    Reclaimable,
};

inline constexpr NameTable<CostClass, 2> costClassNames{{{
    {CostClass::Regular, "regular"},
    {CostClass::Reclaimable, "reclaimable"},
}}};

/** How many upstreams of a kind one failure domain should have: a target, never "one more". */
struct FleetTarget
{
    FailureDomainId domain;
    CostClass costClass = CostClass::Regular;
    std::uint32_t count = 0;
    FenceNumber fence = 0;
    /** The platform answers a repeated token as it answered the first time. */
    std::string clientToken;
    /** As EngineOrder::notAfter; not part of the target. */
    Millis notAfter = Millis::never();
};

/** What the platform has as its target and how many of them run. */
struct FleetStatus
{
    FleetTarget target;
    std::uint32_t running = 0;
};

/** One entry of the platform's lagging list of instances and upstreams. */
struct ListedInstance
{
    std::string name;
    std::string address;
    FailureDomainId domain;
    bool leaving = false;
    /** True for an instance of this system, false for an upstream. */
    bool isOwn = false;
};

/** The platform's interface that orders upstreams, and its list. */
struct FleetOrdering
{
    std::function<void(const FleetTarget &, std::function<void(const OrderReply &)>)> setTarget;
    std::function<void(const FailureDomainId &, CostClass,
                       std::function<void(const std::optional<FleetStatus> &)>)>
        readTarget;
    std::function<void(std::function<void(const std::optional<std::vector<ListedInstance>> &)>)>
        listInstances;
};

} // namespace cuminrail
