#pragma once

#include "core/events/Event.h"
#include "dataplane/dataplane.h"
#include "dataplane/model/InstanceSettings.h"
#include "dataplane/placement/LeastLoaded.h"
#include "dataplane/waiting/CallerPatience.h"
#include "dataplane/waiting/HeldPrompts.h"
#include "gateway/GatewayWire.h"
#include "gateway/admin/GatewayMetrics.h"
#include "gateway/request/RelayCounters.h"
#include "net/upstream/UpstreamPool.h"
#include "quarantine/quarantine.h"
#include "quotas/quotas.h"
#include "readingbooks/readingbooks.h"
#include "runtime/time/DeadlineList.h"
#include "upstreamlimits/upstreamlimits.h"

#include <memory>

namespace cuminrail {

/** What all requests of an instance share. Belongs to the event loop's thread. */
struct RelayContext
{
    RelayContext(const GatewayWire &gatewayWire, DeadlineList &deadlineList,
                 UpstreamPool &upstreams, const InstanceSettings &instanceSettings)
        : wire(gatewayWire), deadlines(deadlineList), pool(upstreams), settings(instanceSettings),
          engines(instanceSettings.decisions.placement),
          deferral(instanceSettings.decisions.deferral), retries(instanceSettings.retries)
    { }

    Millis now() const { return deadlines.now(); }

    const GatewayWire &wire;
    DeadlineList &deadlines;
    UpstreamPool &pool;
    const InstanceSettings &settings;
    /** Null until the first configuration has been read. */
    std::shared_ptr<const RouteIndex> index;
    /** When the store last confirmed that what is known here is current. */
    Millis configurationConfirmed;
    Millis upstreamsConfirmed;
    UpstreamDirectory directory;
    UpstreamHealth health;
    EnginePlacement engines;
    PromptDeferral deferral;
    HeldPrompts held;
    /** Null where instances have no links. */
    std::unique_ptr<BookExchange> books;
    /** Never null while requests come. */
    std::unique_ptr<QuotaExchange> quotas;
    /** Never null while requests come. */
    std::unique_ptr<QuarantineExchange> quarantine;
    /** Never null while requests come. */
    std::unique_ptr<LimitExchange> limits;
    LeastLoaded services;
    RetryAllowance retries;
    RelayCounters counters;
    GatewayMetrics metrics;
    /** A request of a customer began to run at an upstream. */
    std::function<void(const std::string &customer)> onBegan;
    EventSink events;
};

} // namespace cuminrail
