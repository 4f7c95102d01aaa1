#pragma once

#include <cstdint>
#include <functional>
#include <random>

namespace cuminrail {

/** Where a module asks for random numbers; tests give a seeded source. */
using RandomHook = std::function<std::uint64_t()>;

/** Returns a source whose sequence depends on the seed alone. */
inline RandomHook seededRandom(std::uint64_t seed)
{
    return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

} // namespace cuminrail
