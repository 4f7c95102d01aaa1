#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cuminrail {

/** Seeds from first to last. */
struct SeedRange
{
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

/** Reads "7" or "1-10". Throws std::invalid_argument for anything else. */
inline SeedRange parseSeeds(const std::string &text)
{
    const std::size_t dash = text.find('-');
    SeedRange range;
    range.first = std::stoull(text.substr(0, dash));
    range.last = dash == std::string::npos ? range.first : std::stoull(text.substr(dash + 1));
    if (range.last < range.first)
        throw std::invalid_argument("--seeds: A-B with A not above B");
    return range;
}

} // namespace cuminrail
