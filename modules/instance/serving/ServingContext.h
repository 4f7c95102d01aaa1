#pragma once

#include "admission/AdmissionTypes.h"
#include "core/events/Event.h"
#include "dispatch/retry/RetryBudget.h"
#include "instance/config/InstanceConfig.h"
#include "instance/serving/ClaimHooks.h"
#include "instance/serving/ServingSnapshot.h"
#include "instance/serving/UsageRecord.h"
#include "net/upstream/UpstreamPool.h"
#include "routing/Router.h"
#include "routing/prefix/PrefixChain.h"
#include "runtime/rcu/RcuCell.h"

#include <atomic>
#include <memory>

namespace cuminrail {

/** What all request threads of an instance share; each part says how it may be used at once. */
struct ServingContext
{
    explicit ServingContext(InstanceConfig instanceConfig) : config(std::move(instanceConfig)) { }
    ServingContext(const ServingContext &) = delete;
    ServingContext &operator=(const ServingContext &) = delete;

    const InstanceConfig config;
    RcuCell<ServingSnapshot> snapshot{std::make_unique<ServingSnapshot>()};
    LiveLoads loads;
    PrefixHints hints;
    /** Instances that sample alike would send to the same upstreams at the same moment. */
    Router router{loads, hints, RouterOptions(), nameHash(config.instanceId.text())};
    RetryBudget retryBudget;
    /** Set before the threads start, never after. */
    ClaimHooks claims;
    UsageHook onUsage;
    /** For tests: cuts attempts at chosen points; called on any request thread. */
    SendFaultHook sendFault;
    EventSink events = ignoreEvents();
    /** Set while the instance has not known for too long which keys are withdrawn. */
    std::atomic<bool> isStale{false};
    std::atomic<bool> isStopping{false};
};

} // namespace cuminrail
