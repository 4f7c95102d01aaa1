#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** What an upstream stated about the requests that it takes. */
struct StatedLimit
{
    UpstreamLife incarnation = 0;
    /** Requests a second from all instances together; nothing if it takes all. */
    std::optional<double> perSecond;
    /** When it was heard, by this machine's clock. */
    Millis receivedAt;
};

/** How a statement compares with what was known. */
enum class LimitChange : std::uint8_t {
    None,
    /** The same kind of limit with a rate that differs little, or none before and after. */
    Slight,
    /** A limit begins, ends or differs much. */
    Marked,
};

/**
    The newest limits that upstreams stated, as one instance knows them.

    Statements come from answers and from other instances, in any order; the one heard last holds. A
    limit that nobody heard for a while is forgotten: the next answer tells it again.
*/
class LimitTable
{
public:
    static constexpr Millis retention = Millis::seconds(30);
    /** A rate that differs by more than this part is told to others at once. */
    static constexpr double markedChangeShare = 0.1;
    static constexpr std::size_t maxEntries = 4096;

    /** Takes in a statement, unless a newer one of the same upstream is known. */
    LimitChange update(const StatedLimit &stated);
    /** Returns what is known of an upstream, or null. */
    const StatedLimit *find(UpstreamLife incarnation) const;
    /** Returns the requests a second that an upstream takes, or nothing if it takes all. */
    std::optional<double> limit(UpstreamLife incarnation) const;
    bool hasLimits() const { return limited_ > 0; }
    std::size_t limited() const { return limited_; }
    std::vector<StatedLimit> all() const;
    /** Forgets what was heard too long ago. Returns true if a limit was among it. */
    bool expire(Millis now);

private:
    std::unordered_map<UpstreamLife, StatedLimit> limits_;
    std::size_t limited_ = 0;
};

} // namespace cuminrail
