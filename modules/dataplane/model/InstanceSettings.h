#pragma once

#include "core/time/Millis.h"
#include "dataplane/model/CustomerQuota.h"
#include "dataplane/policy/DecisionSettings.h"
#include "dataplane/retry/RetryAllowance.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminrail {

/** Address on which a process listens or to which it connects. */
struct HostPort
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    bool isSet() const { return !host.empty(); }
};

/** Settings that an instance reads at its start, and again when they change. */
struct InstanceSettings
{
    std::string name;
    std::string failureDomain;
    /** Listens for callers. */
    HostPort callers;
    /** Listens for the load balancer's readiness checks. */
    HostPort readiness;
    /** Serves state and metrics to other instances and operators. */
    HostPort admin;
    /** Listens for links of other instances; not set if links are not used. */
    HostPort links;
    /** Returns the address on which links for carried requests are accepted: the next port. */
    HostPort carriage() const
    {
        return links.isSet() ? HostPort{links.host, static_cast<std::uint16_t>(links.port + 1)}
                             : HostPort();
    }
    /** Address of the platform's store. */
    std::string store;
    /** Address of the platform's interface for duties; empty if there is none. */
    std::string duties;
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    /** First start of the whole system: no instance has run before. */
    bool isFirstStart = false;
    /** Processor share in thousandths of a core. */
    std::uint32_t milliCores = 1000;
    std::uint32_t memoryMb = 256;
    std::uint32_t descriptors = 1024;
    RetryBounds retries;
    QuotaTolerance quotas;
    /** How far the rate limits that upstreams state may be exceeded, as documented. */
    QuotaTolerance upstreamLimits{Millis(4000), 0.5, 5, 0};
    /** Set on the command line only; not part of the settings file. */
    DecisionSettings decisions;
    /** Time between the request to stop and the moment at which the process is killed. */
    Millis grace = Millis::seconds(8);
    /** Longest delay until an instance knows a new configuration or that an upstream leaves. */
    Millis changeAllowance = Millis::seconds(2);
    /** Length of a usage window, and the time after its end by which its report is due. */
    Millis usageWindow = Millis::seconds(5);
    Millis usageDue = Millis::seconds(10);
};

} // namespace cuminrail
