#pragma once

#include "core/events/Event.h"
#include "core/hash/StableHash.h"
#include "dataplane/dataplane.h"
#include "dataplane/model/InstanceSettings.h"
#include "dataplane/placement/LeastLoaded.h"
#include "dataplane/waiting/CallerTimeout.h"
#include "dataplane/waiting/DeferredPrompts.h"
#include "departures/departures.h"
#include "gateway/GatewayProtocol.h"
#include "gateway/admin/GatewayMetrics.h"
#include "gateway/carriage/RequestCarriage.h"
#include "gateway/path/PathProber.h"
#include "gateway/request/RelayCounters.h"
#include "gateway/request/RequestStep.h"
#include "net/upstream/UpstreamPool.h"
#include "quarantine/quarantine.h"
#include "quotas/quotas.h"
#include "readingbooks/readingbooks.h"
#include "runtime/time/DeadlineList.h"
#include "streams/streams.h"
#include "upstreamlimits/upstreamlimits.h"

#include <memory>
#include <unordered_set>

namespace cuminrail {

class RequestRelay;

/** State shared by all requests of an instance. Used only on the event loop's thread. */
struct RelayContext
{
    RelayContext(const GatewayProtocol &gatewayWire, DeadlineList &deadlineList,
                 UpstreamPool &upstreams, const InstanceSettings &instanceSettings)
        : wire(gatewayWire), deadlines(deadlineList), pool(upstreams), settings(instanceSettings),
          engines(instanceSettings.decisions.placement),
          deferral(instanceSettings.decisions.deferral),
          retries(instanceSettings.retries, StableHash().add(instanceSettings.name).value()),
          path(upstreams, deadlineList, directory,
               seededRandom(StableHash().add(instanceSettings.name).value()))
    { }

    Millis now() const { return deadlines.now(); }

    const GatewayProtocol &wire;
    DeadlineList &deadlines;
    UpstreamPool &pool;
    const InstanceSettings &settings;
    /** Routes of the configuration in force; null until the first configuration has been read. */
    std::shared_ptr<const RouteIndex> index;
    /** When the store last confirmed that the configuration and upstreams here are current. */
    Millis configurationConfirmedAt;
    Millis upstreamsConfirmedAt;
    UpstreamDirectory directory;
    UpstreamHealth health;
    UpstreamBackoff backoffs;
    EnginePlacement engines;
    PromptDeferral deferral;
    DeferredPrompts deferredPrompts;
    /** Exchange of prefill estimates with other instances; null where instances have no links. */
    std::unique_ptr<PrefillExchange> prefillExchange;
    /** Never null while requests are accepted. */
    std::unique_ptr<QuotaExchange> quotas;
    /** Never null while requests are accepted. */
    std::unique_ptr<QuarantineExchange> quarantine;
    /** Never null while requests are accepted. */
    std::unique_ptr<LimitExchange> limits;
    /** Never null while requests are accepted. */
    std::unique_ptr<DepartureExchange> departures;
    /** Never null while requests are accepted. */
    std::unique_ptr<StreamOrigins> origins;
    /** Requests carried for and by other instances; null where instances have no links. */
    std::unique_ptr<RequestCarriage> carriage;
    /** Set late in a planned stop: when requests end. New ones that may last longer are refused. */
    std::optional<Millis> stopsAt;
    /** Requests in progress. */
    std::unordered_set<RequestRelay *> relays;
    LeastLoaded services;
    /** Differs between instances, see LeastLoaded. */
    std::uint64_t spreadKey = StableHash().add(settings.name).value();
    RetryAllowance retries;
    /** Of the pool. */
    ResponseBudget &responses = pool.responses();
    /** Whether new connections reach the upstreams. */
    PathProber path;
    RelayCounters counters;
    GatewayMetrics metrics;
    /** Called when a request of a customer has begun to run at an upstream; counts usage. */
    std::function<void(const std::string &customer)> onExecutionStarted;
    EventSink events;
    /** For tests: whether the completion of a step is called twice; null for never. */
    std::function<bool(RequestStep)> repeatsCompletion;
};

} // namespace cuminrail
