#pragma once

#include <cstdint>

namespace cuminrail {

inline constexpr std::uint64_t minHttpStatus = 100;
inline constexpr std::uint64_t minFinalHttpStatus = 200;
inline constexpr std::uint64_t maxHttpStatus = 599;

/** Returns whether a number is a status code of HTTP (RFC 9110, section 15). */
constexpr bool isHttpStatus(std::uint64_t number)
{
    return number >= minHttpStatus && number <= maxHttpStatus;
}

/** Returns whether a number is the status code of a final response. */
constexpr bool isFinalHttpStatus(std::uint64_t number)
{
    return isHttpStatus(number) && number >= minFinalHttpStatus;
}

} // namespace cuminrail
