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

/** One upstream that probably has a prefix in its cache. */
struct PrefixHolder
{
    UpstreamIndex upstream = noIndex;
    std::uint32_t tokens = 0;
    /** 1 for a fresh hint, falling towards 0 with its age. */
    double confidence = 0;
};

/** The upstreams that probably hold the longest prefixes of a prompt, best first. */
struct PrefixHolders
{
    static constexpr std::size_t maxCount = 3;
    std::array<PrefixHolder, maxCount> holders;
    std::size_t count = 0;
};

/**
    Which upstream probably has which prefix in its cache: hints, that decay.

    Written by own dispatches and by engines' cache events, which are late and have gaps. A wrong
    hint costs one prompt read anew. A fixed table of atomics that overwrites its oldest entries:
    no lock, bounded memory (16 bytes an entry), any thread may read and write.
*/
class PrefixHints
{
public:
    static constexpr std::size_t defaultEntries = 65536;
    /** A hint is forgotten after this long without use. */
    static constexpr Millis lifetime = Millis::minutes(10);

    explicit PrefixHints(std::size_t entries = defaultEntries);

    /** Remembers that the upstream has read this prompt. */
    void remember(const PrefixChain &chain, UpstreamIndex upstream, Millis now);

    /** Returns who probably holds the longest prefixes. */
    PrefixHolders find(const PrefixChain &chain, Millis now) const;

    /** A cache event: stored. */
    void stored(std::uint64_t hash, UpstreamIndex upstream, Millis now);

    /** A cache event: evicted. */
    void evicted(std::uint64_t hash, UpstreamIndex upstream);

    /**
        Forgets everything about an upstream: after a gap in its events, a restart or a crash.

        A gap may hide evictions; keeping the hints would send a whole customer's work to an
        engine that has to read every prompt anew. Later events and dispatches fill in again.
    */
    void forgetUpstream(UpstreamIndex upstream);

    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        std::atomic<std::uint64_t> hash{0};
        /** Upstream in the upper half, seconds of the last use in the lower. */
        std::atomic<std::uint64_t> value{0};
    };
    static constexpr std::size_t ways = 4;

    void put(std::uint64_t hash, UpstreamIndex upstream, Millis now);

    std::size_t mask_;
    std::unique_ptr<Entry[]> entries_;
};

/** Follows one engine's numbered cache events and notices gaps. Control thread. */
class CacheEventCursor
{
public:
    /** Returns false when events are missing before this one: forget the upstream's hints. */
    bool accept(std::uint64_t number);

    std::uint64_t last() const { return last_; }

private:
    std::uint64_t last_ = 0;
    bool started_ = false;
};

} // namespace cuminrail
