#include "gateway/ListenerLimits.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** A caller waits a second for its request to be read, and is served elsewhere within less. */
constexpr Millis maxUnreadAge = Millis(100);
/** What the kernel may keep of a caller's input while it is not read. */
constexpr int callerReceiveBytes = 32 * 1024;
/** Of the descriptors, so many are the files' where there are enough. */
constexpr std::uint32_t fileDescriptors = 200;

/**
    Returns how many connections callers may have: each may need one to an upstream, and a quarter
    of all is for links, the store and idle connections to upstreams.
*/
std::uint32_t callerConnections(std::uint32_t descriptors)
{
    const std::uint32_t sockets =
        descriptors > 2 * fileDescriptors ? descriptors - fileDescriptors : descriptors / 2;
    return std::max(sockets * 3 / 8, 1U);
}

} // namespace

HttpServerLimits callerLimits(const CallerLimits &caller, const InstanceSettings &settings)
{
    HttpServerLimits limits;
    limits.message.headBytes = caller.headBytes;
    limits.message.bodyBytes = caller.bodyBytes;
    limits.headTimeout = caller.headTimeout;
    limits.headTooLargeStatus = 431;
    limits.idleTimeout = caller.idleTimeout;
    limits.heldBytes = std::uint64_t{settings.memoryMb} * 1024 * 1024 / 4;
    limits.connections = callerConnections(settings.descriptors);
    limits.receiveBufferBytes = callerReceiveBytes;
    limits.maxUnreadAge = maxUnreadAge;
    return limits;
}

HttpServerLimits readinessLimits(const InstanceSettings &settings)
{
    constexpr std::uint64_t heldBytes = std::uint64_t{2} * 1024 * 1024;
    return HttpServerLimits::forPages(std::clamp(settings.descriptors / 16, 8U, 64U), heldBytes);
}

HttpServerLimits adminLimits(const InstanceSettings &settings)
{
    return HttpServerLimits::forPages(std::clamp(settings.descriptors / 16, 8U, 256U),
                                      std::uint64_t{settings.memoryMb} * 1024 * 1024 / 32);
}

std::size_t maxOpeningLinks(const InstanceSettings &settings)
{
    return std::clamp(settings.descriptors / 16, 32U, 256U);
}

} // namespace cuminrail
