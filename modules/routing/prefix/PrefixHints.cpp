#include "routing/prefix/PrefixHints.h"

namespace cuminrail {

namespace {

constexpr double confidenceHalfLifeSeconds = 180;
/** Shorter prefixes examined after the longest match, to find further holders. */
constexpr std::size_t pointsBelowLongest = 6;
/** Points recorded at the short end (shared by many prompts) and at the long end (one prompt). */
constexpr std::size_t pointsPerEnd = 16;

std::uint64_t pack(UpstreamIndex upstream, Millis now)
{
    const auto seconds = static_cast<std::uint32_t>(now.count() / 1000);
    return (static_cast<std::uint64_t>(upstream) << 32U) | seconds;
}

UpstreamIndex upstreamOf(std::uint64_t value)
{
    return static_cast<UpstreamIndex>(value >> 32U);
}

std::int64_t ageSeconds(std::uint64_t value, Millis now)
{
    return now.count() / 1000 - static_cast<std::int64_t>(value & 0xFFFFFFFFU);
}

bool contains(const PrefixHolders &found, UpstreamIndex upstream)
{
    for (std::size_t i = 0; i < found.count; ++i) {
        if (found.holders[i].upstream == upstream)
            return true;
    }
    return false;
}

std::size_t powerOfTwoAtLeast(std::size_t count)
{
    std::size_t power = 64;
    while (power < count)
        power *= 2;
    return power;
}

} // namespace

PrefixHints::PrefixHints(std::size_t entries)
    : mask_(powerOfTwoAtLeast(entries) - 1), entries_(new Entry[mask_ + 1])
{ }

void PrefixHints::record(const PrefixChain &chain, UpstreamIndex upstream, Millis now)
{
    for (std::size_t i = 0; i < chain.size(); ++i) {
        if (i < pointsPerEnd || i + pointsPerEnd >= chain.size())
            store(chain[i].hash, upstream, now);
    }
}

void PrefixHints::store(std::uint64_t hash, UpstreamIndex upstream, Millis now)
{
    const std::size_t first = (hash & mask_) & ~(ways - 1);
    Entry *oldest = &entries_[first];
    std::int64_t oldestAge = -1;
    for (std::size_t way = 0; way < ways; ++way) {
        Entry &entry = entries_[first + way];
        const std::uint64_t value = entry.value.load(std::memory_order_relaxed);
        const std::uint64_t storedHash = entry.hash.load(std::memory_order_relaxed);
        if (storedHash == hash && upstreamOf(value) == upstream) {
            entry.value.store(pack(upstream, now), std::memory_order_relaxed);
            return;
        }
        const std::int64_t age = storedHash == 0 ? retention.count() : ageSeconds(value, now);
        if (age > oldestAge) {
            oldestAge = age;
            oldest = &entry;
        }
    }
    oldest->value.store(pack(upstream, now), std::memory_order_relaxed);
    oldest->hash.store(hash, std::memory_order_relaxed);
}

PrefixHolders PrefixHints::find(const PrefixChain &chain, Millis now) const
{
    PrefixHolders found;
    std::size_t examined = 0;
    for (std::size_t i = chain.size(); i-- > 0 && found.count < PrefixHolders::maxCount;) {
        if (found.count > 0 && ++examined > pointsBelowLongest)
            break;
        const PrefixPoint &point = chain[i];
        const std::size_t first = (point.hash & mask_) & ~(ways - 1);
        for (std::size_t way = 0; way < ways && found.count < PrefixHolders::maxCount; ++way) {
            const Entry &entry = entries_[first + way];
            if (entry.hash.load(std::memory_order_relaxed) != point.hash)
                continue;
            const std::uint64_t value = entry.value.load(std::memory_order_relaxed);
            const std::int64_t age = ageSeconds(value, now);
            if (age * 1000 > retention.count() || contains(found, upstreamOf(value)))
                continue;
            const double confidence =
                1.0 / (1.0 + static_cast<double>(age) / confidenceHalfLifeSeconds);
            found.holders[found.count++] = {upstreamOf(value), point.tokens, confidence};
        }
    }
    return found;
}

void PrefixHints::stored(std::uint64_t hash, UpstreamIndex upstream, Millis now)
{
    store(hash, upstream, now);
}

void PrefixHints::evicted(std::uint64_t hash, UpstreamIndex upstream)
{
    const std::size_t first = (hash & mask_) & ~(ways - 1);
    for (std::size_t way = 0; way < ways; ++way) {
        Entry &entry = entries_[first + way];
        const bool same = entry.hash.load(std::memory_order_relaxed) == hash
            && upstreamOf(entry.value.load(std::memory_order_relaxed)) == upstream;
        if (same)
            entry.hash.store(0, std::memory_order_relaxed);
    }
}

void PrefixHints::removeUpstream(UpstreamIndex upstream)
{
    for (std::size_t i = 0; i <= mask_; ++i) {
        if (upstreamOf(entries_[i].value.load(std::memory_order_relaxed)) == upstream)
            entries_[i].hash.store(0, std::memory_order_relaxed);
    }
}

std::size_t PrefixHints::memoryBytes() const
{
    return (mask_ + 1) * sizeof(Entry);
}

bool CacheEventCursor::accept(std::uint64_t number)
{
    const bool inOrder = !started_ || number == last_ + 1;
    started_ = true;
    last_ = number;
    return inOrder;
}

} // namespace cuminrail
