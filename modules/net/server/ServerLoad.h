#pragma once

#include <atomic>
#include <cstdint>

namespace cuminrail {

/** Load of several servers together, for their common limits. */
struct ServerLoad
{
    std::atomic<std::uint32_t> connections{0};
    /** Memory for heads, bodies and unsent responses. @see HeldMemory */
    std::atomic<std::uint64_t> heldBytes{0};
    /** Whether the memory of a request that is longer than the limit alone is counted apart. */
    std::atomic<bool> hasOversized{false};
    /** Connections that were closed before anything was read from them. */
    std::atomic<std::uint64_t> closedUnread{0};
    /** Connections that waited for their callers and were closed to make room for others. */
    std::atomic<std::uint64_t> evicted{0};
    /** Calls of the program that were out of a response's order. */
    std::atomic<std::uint64_t> outOfOrder{0};
};

} // namespace cuminrail
