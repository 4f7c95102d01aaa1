#pragma once

#include <cstdint>

namespace cuminrail {

/** What an instance counted since its start. */
struct RelayCounters
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t callersLeft = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t sends = 0;
    std::uint64_t repeats = 0;
    std::uint64_t resumes = 0;
    std::uint64_t handOvers = 0;
    std::uint64_t handOversFailed = 0;
    /** Prompts that waited here for engines to have room. */
    std::uint64_t held = 0;
    std::uint32_t inProgress = 0;
};

} // namespace cuminrail
