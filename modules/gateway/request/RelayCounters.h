#pragma once

#include <cstdint>

namespace cuminrail {

/** Request counters of an instance since its start. */
struct RelayCounters
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t callersLeft = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    /** Streamed responses that callers began to receive, and how many were broken off here. */
    std::uint64_t streamsBegun = 0;
    std::uint64_t streamsBrokenOff = 0;
    /** Requests that were taken back from upstreams as their content became held. */
    std::uint64_t calledBack = 0;
    std::uint64_t handOvers = 0;
    std::uint64_t handOversFailed = 0;
    /** Prompts deferred at this instance until an engine had room. */
    std::uint64_t deferred = 0;
    /** Requests handed to other instances, and how many of them were not served there. */
    std::uint64_t handedOver = 0;
    std::uint64_t handedOverFailed = 0;
    /** Requests of other instances that this one ran. */
    std::uint64_t carried = 0;
    /** Streams of other requests that were to go on here. */
    std::uint64_t streamsTakenUp = 0;
    /** Runs that were counted for usage. */
    std::uint64_t runsCounted = 0;
    std::uint32_t inProgress = 0;
};

} // namespace cuminrail
