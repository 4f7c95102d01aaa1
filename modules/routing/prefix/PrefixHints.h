#pragma once

#include "core/ids/Indexes.h"
#include "core/time/Millis.h"
#include "routing/prefix/PrefixChain.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace cuminrail {

/** An upstream that probably has a prefix in its KV cache. */
struct PrefixHolder
{
    UpstreamIndex upstream = noIndex;
    std::uint32_t tokens = 0;
    /** 1 for a new hint, falling towards 0 with its age. */
    double confidence = 0;
};

/** The upstreams that probably hold the longest prefixes of a prompt, longest first. */
struct PrefixHolders
{
    static constexpr std::size_t maxCount = 3;
    std::array<PrefixHolder, maxCount> holders;
    std::size_t count = 0;
};

/**
    Hints as to which upstream has which prompt prefix in its KV cache; their confidence decays.

    Updated by own requests and by engines' cache events, which arrive late and may be lost. A wrong
    hint costs one full prefill. A set-associative table of atomics that overwrites the oldest entry
    of a set: lock-free, bounded memory (16 bytes an entry), any thread may read and write.
*/
class PrefixHints
{
public:
    static constexpr std::size_t defaultEntries = 65536;
    /** A hint is ignored when it has not been refreshed for this long. */
    static constexpr Millis retention = Millis::minutes(10);

    explicit PrefixHints(std::size_t entries = defaultEntries);

    /** Records that the upstream has processed, and probably cached, this prompt. */
    void record(const PrefixChain &chain, UpstreamIndex upstream, Millis now);

    /** Returns the upstreams that probably hold the longest prefixes. */
    PrefixHolders find(const PrefixChain &chain, Millis now) const;

    /** Applies a cache event: the upstream has stored the prefix. */
    void stored(std::uint64_t hash, UpstreamIndex upstream, Millis now);

    /** Applies a cache event: the upstream has evicted the prefix. */
    void evicted(std::uint64_t hash, UpstreamIndex upstream);

    /**
        Removes all hints of an upstream: after a gap in its cache events, a restart or a crash.

        The missing events may have been evictions; keeping the hints would send all of a customer's
        requests to an engine that has to prefill every prompt from scratch. Later events and
        requests add hints again.
    */
    void removeUpstream(UpstreamIndex upstream);

    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        std::atomic<std::uint64_t> hash{0};
        /** Upstream in the upper half, time of the last refresh in seconds in the lower half. */
        std::atomic<std::uint64_t> value{0};
    };
    static constexpr std::size_t ways = 4;

    void store(std::uint64_t hash, UpstreamIndex upstream, Millis now);

    std::size_t mask_;
    std::unique_ptr<Entry[]> entries_;
};

/** Tracks the sequence numbers of one engine's cache events to detect gaps. Control thread. */
class CacheEventCursor
{
public:
    /** Returns false when events before this one are missing: remove the upstream's hints. */
    bool accept(std::uint64_t number);

    std::uint64_t last() const { return last_; }

private:
    std::uint64_t last_ = 0;
    bool started_ = false;
};

} // namespace cuminrail
