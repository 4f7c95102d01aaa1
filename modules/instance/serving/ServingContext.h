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

/** State shared by all request threads of an instance. The type of each member documents its
    thread safety. */
struct ServingContext
{
    explicit ServingContext(InstanceConfig instanceConfig) : config(std::move(instanceConfig)) { }
    ServingContext(const ServingContext &) = delete;
    ServingContext &operator=(const ServingContext &) = delete;

    const InstanceConfig config;
    RcuCell<ServingSnapshot> snapshot{std::make_unique<ServingSnapshot>()};
    LiveLoads loads;
    PrefixHints hints;
    /** The seed differs by instance: instances that sample with the same seed would send to the
        same upstreams at the same moment. */
    Router router{loads, hints, RouterOptions(), nameHash(config.instanceId.text())};
    RetryBudget retryBudget;
    /** Must be set before the threads start and not changed afterwards. */
    ClaimHooks claims;
    UsageHook onUsage;
    /** For tests: aborts attempts at chosen points. Called on any request thread. */
    SendFaultHook sendFault;
    EventSink events = ignoreEvents();
    /** True while the information on withdrawn keys is older than the staleness limit. */
    std::atomic<bool> isStale{false};
    std::atomic<bool> isStopping{false};
};

} // namespace cuminrail
