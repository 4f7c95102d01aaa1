#pragma once

#include "platform/testing/ClientCrowd.h"
#include "platform/testing/GatewaySite.h"
#include "platform/testing/ProcessUsage.h"

#include <doctest/doctest.h>

#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::testing {

inline constexpr std::uint64_t megabyte = std::uint64_t{1024} * 1024;

/** Which of a gateway's doors a crowd comes to. */
enum class Door : std::uint8_t { Callers, Readiness, Admin, Links, Carriage };

inline std::uint16_t portOf(const platform::GatewaySite &site, Door door)
{
    switch (door) {
    case Door::Callers:
        return site.callersPort();
    case Door::Readiness:
        return site.readinessPort();
    case Door::Admin:
        return site.adminPort();
    case Door::Links:
        return site.linksPort();
    case Door::Carriage:
        return static_cast<std::uint16_t>(site.linksPort() + 1);
    }
    return 0;
}

/** Clients that all do the same. */
struct Crowd
{
    std::size_t clients = 0;
    platform::ClientScript script;
    Door door = Door::Callers;
};

/** Crowds that come to a gateway process one after the other and stay, and what it may take. */
struct CrowdCase
{
    platform::SiteLimits limits;
    std::vector<Crowd> crowds;
    /** What servers do with each request while the crowds are there. */
    std::function<platform::ScriptedRun(const HttpHead &)> script = nullptr;
    /** Bytes that the kernel may take from all clients. */
    std::uint64_t maxSentBytes = std::numeric_limits<std::uint64_t>::max();
};

/** Ordinary requests of a gateway process are answered beside a crowd and after it. */
inline void checkCrowds(const CrowdCase &each)
{
    platform::GatewaySite site(each.limits);
    if (each.script)
        site.setScript(each.script);
    REQUIRE(site.start(CUMINRAIL_GATEWAY));
    REQUIRE(site.answersOrdinaryRequest());
    std::uint64_t sentBytes = 0;
    {
        const platform::UsageMonitor monitor(site.pid(), site.ports());
        std::vector<std::unique_ptr<platform::ClientCrowd>> crowds;
        for (const Crowd &crowd : each.crowds) {
            crowds.push_back(std::make_unique<platform::ClientCrowd>(portOf(site, crowd.door),
                                                                     crowd.clients, crowd.script));
            crowds.back()->run();
            sentBytes += crowds.back()->sentBytes();
        }
        REQUIRE(site.isRunning());
        CHECK(site.answersOrdinaryRequest());
        // All memory of the machine is the process's; a quarter of its descriptors is for links,
        // the store and upstreams.
        CHECK(monitor.peakMemoryBytes() <= each.limits.memoryMb * megabyte);
        CHECK(monitor.peakDescriptors() <= each.limits.descriptors * 3 / 4);
        MESSAGE("peak " << monitor.peakMemoryBytes() / megabyte << " MB, "
                        << monitor.peakDescriptors() << " descriptors, " << sentBytes / megabyte
                        << " MB sent");
    }
    CHECK(sentBytes <= each.maxSentBytes);
    REQUIRE(site.isRunning());
    CHECK(site.answersOrdinaryRequest());
}

} // namespace cuminrail::testing
