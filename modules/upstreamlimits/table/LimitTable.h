#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** The request rate that an upstream stated to accept. */
struct StatedLimit
{
    UpstreamIncarnation incarnation = 0;
    /** Requests a second from all instances together; nothing if it is not limited. */
    std::optional<double> perSecond;
    /** When the statement was received, by this machine's clock. */
    Millis receivedAt;
};

/** How a statement differs from the previous one. */
enum class LimitChange : std::uint8_t {
    None,
    /** The rate differs little, or there is no limit before and after. */
    Slight,
    /** A limit begins, ends or differs by more than markedChangeShare. */
    Marked,
};

/**
    One instance's table of the latest limits that upstreams stated.

    Statements come from responses and from other instances, in any order; the one received from the
    upstream last wins. A limit that no response stated within the retention expires; the next
    response states it again.
*/
class LimitTable
{
public:
    static constexpr Millis retention = Millis::seconds(30);
    /** A rate that differs by more than this share is announced to other instances at once. */
    static constexpr double markedChangeShare = 0.1;
    static constexpr std::size_t maxEntries = 4096;

    /** Stores a statement, unless a newer one of the same upstream is known. */
    LimitChange update(const StatedLimit &stated);
    /** Returns the upstream's latest statement, or null. */
    const StatedLimit *find(UpstreamIncarnation incarnation) const;
    /** Returns the requests a second that an upstream accepts, or nothing if it is not limited. */
    std::optional<double> limit(UpstreamIncarnation incarnation) const;
    bool hasLimits() const { return limited_ > 0; }
    std::size_t limitedCount() const { return limited_; }
    std::vector<StatedLimit> all() const;
    /** Removes expired statements. Returns true if one of them was a limit. */
    bool expire(Millis now);

private:
    std::unordered_map<UpstreamIncarnation, StatedLimit> limits_;
    std::size_t limited_ = 0;
};

} // namespace cuminrail
