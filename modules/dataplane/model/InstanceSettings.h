#pragma once

#include "core/time/Millis.h"
#include "dataplane/model/CustomerQuota.h"
#include "dataplane/policy/DecisionSettings.h"
#include "dataplane/retry/RetryAllowance.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminrail {

/** Where a process listens or connects. */
struct HostPort
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    bool isSet() const { return !host.empty(); }
};

/** What an instance learns at its start, and again when its settings change. */
struct InstanceSettings
{
    std::string name;
    std::string failureDomain;
    /** Where callers come in. */
    HostPort callers;
    /** Where the balancer asks whether the instance is ready. */
    HostPort readiness;
    /** Where other instances and operators ask for the state and the metrics. */
    HostPort admin;
    /** Where other instances' links come in; not set where there are none. */
    HostPort links;
    /** The platform's store. */
    std::string store;
    /** The platform's interface for duties; empty where there are none. */
    std::string duties;
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    /** The whole system starts for the first time: nothing of it ran before. */
    bool isFirstStart = false;
    std::uint32_t memoryMb = 256;
    std::uint32_t descriptors = 1024;
    RetryBounds retries;
    QuotaTolerance quotas;
    /** How far the limits that upstreams name may be exceeded, as the pages allow. */
    QuotaTolerance upstreamLimits{Millis(4000), 0.5, 5, 0};
    /** Given on the command line; the settings file has nothing of it. */
    DecisionSettings decisions;
    /** After a stop was asked for, the process is killed this much later. */
    Millis grace = Millis::seconds(8);
    /** How late an instance may learn of a new configuration, or that an upstream is leaving. */
    Millis changeAllowance = Millis::seconds(2);
    /** Length of a usage window, and how long after its end its report is due. */
    Millis usageWindow = Millis::seconds(5);
    Millis usageDue = Millis::seconds(10);
};

} // namespace cuminrail
