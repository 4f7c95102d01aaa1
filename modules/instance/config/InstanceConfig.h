#pragma once

#include "core/events/Event.h"
#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminrail {

/** An IP address and a port. */
struct ListenAddress
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    std::string toString() const
    {
        const bool isIpv6 = address.find(':') != std::string::npos;
        return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
    }
};

/** The configuration of one instance, from its flags and environment variables.
    @see instanceFlags */
struct InstanceConfig
{
    ListenAddress listen;
    ListenAddress adminListen;
    ListenAddress peerListen;
    InstanceId instanceId{"instance"};
    FailureDomainId failureDomain{"default"};
    RegionId region{"default"};
    /** The address of the platform. If empty, settings come from settingsDir only. */
    std::string platform;
    /** A directory with settings for running without a platform, or empty. */
    std::string settingsDir;
    std::string peerSecretFile;
    std::vector<std::string> peers;
    std::uint32_t threads = 2;
    EventLevel logLevel = EventLevel::Info;
    std::string tlsCertificate;
    std::string tlsKey;
    Millis drainLag = Millis::seconds(5);
    Millis drainLimit = Millis::minutes(10);
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    std::uint64_t maxAllBodyBytes = 256 * 1024 * 1024;
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint32_t maxConnections = 10000;
    Millis headTimeout = Millis::seconds(10);
    Millis bodyStallTimeout = Millis::seconds(10);
    Millis idleTimeout = Millis::seconds(75);
    Millis writeStallTimeout = Millis::seconds(30);
    Millis connectTimeout = Millis::seconds(1);
    Millis firstByteTimeout = Millis::seconds(60);
    Millis upstreamStallTimeout = Millis::seconds(10);
    /** Requests are refused after this long without confirmation that the keys are current. */
    Millis stalenessLimit = Millis::seconds(5);
    /** The resolution of time-outs. */
    Millis deadlineTick{20};
};

} // namespace cuminrail
