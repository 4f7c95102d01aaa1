#pragma once

#include "instance/request/ErrorAnswer.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace cuminrail {

/** Counters of one request thread: written only by that thread, read by the admin server. */
struct RequestCounters
{
    using Count = std::atomic<std::uint64_t>;

    static constexpr std::size_t errorCodes =
        static_cast<std::size_t>(ErrorCode::UpstreamTimeout) + 1;
    /** Upper bounds of the buckets of added and first-byte times, in milliseconds. */
    static constexpr std::array<std::int64_t, 12> bucketBounds{1,   2,   5,   10,   25,   50,
                                                               100, 250, 500, 1000, 2500, 10000};

    Count requests{0};
    Count inProgress{0};
    Count answered{0};
    Count callersLeft{0};
    Count attempts{0};
    Count retries{0};
    Count resumes{0};
    Count truncated{0};
    Count promptTokens{0};
    Count outputTokens{0};
    std::array<Count, errorCodes> errors{};
    std::array<Count, bucketBounds.size() + 1> firstByte{};
    Count firstByteSumMs{0};

    /** Adds to a counter. Only this thread writes it, so no locked instruction is needed. */
    static void add(Count &count, std::uint64_t by = 1)
    {
        count.store(count.load(std::memory_order_relaxed) + by, std::memory_order_relaxed);
    }

    void countFirstByte(std::int64_t millis)
    {
        std::size_t bucket = 0;
        while (bucket < bucketBounds.size() && millis > bucketBounds[bucket])
            ++bucket;
        add(firstByte[bucket]);
        add(firstByteSumMs, static_cast<std::uint64_t>(millis));
    }
};

} // namespace cuminrail
