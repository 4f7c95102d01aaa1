#pragma once

#include "ports/engines/EngineControl.h"
#include "routing/live/LiveLoads.h"
#include "routing/prefix/PrefixChain.h"
#include "settings/model/Settings.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminrail::policybench {

/** Performance of the fake engines; equal to the defaults of EngineSettings. */
struct EngineModel
{
    static constexpr double slots = 32;
    static constexpr double msPerPromptToken = 0.125;
    static constexpr double baseStepMs = 8;
    static constexpr double stepMsPerAnswer = 0.375;
    /** Largest prefill chunk of one step in tokens, by role. */
    static constexpr double mixedChunk = 512;
    static constexpr double prefillChunk = 2048;
    static constexpr double decodeChunk = 128;

    /** Returns the time of one step that generates a token for each of @a answers requests. */
    static constexpr double stepMs(double answers)
    {
        return baseStepMs + stepMsPerAnswer * answers;
    }
};

/** A change of an engine's prefix cache, as published by the engine. */
struct CacheEvent
{
    std::uint64_t number = 0;
    std::uint64_t hash = 0;
    bool stored = true;
};

/** Prefix cache of an engine, bounded in tokens, with LRU eviction. */
class PrefixCache
{
public:
    explicit PrefixCache(double capacityTokens) : capacityTokens_(capacityTokens) { }

    /** Returns how many prompt tokens are cached, and marks the prompt as most recently used. */
    double use(const PrefixChain &chain);
    void clear();

    /** Returns the cache events since the last call. */
    std::vector<CacheEvent> takeEvents();

private:
    struct Entry
    {
        std::uint64_t hash;
        double tokens;
    };
    void touch(std::uint64_t hash, double tokens);

    void recordEvent(std::uint64_t hash, bool stored);

    std::vector<CacheEvent> events_;
    std::uint64_t nextEvent_ = 1;
    double capacityTokens_;
    double usedTokens_ = 0;
    std::list<Entry> lruOrder_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries_;
};

/** A request at an engine, or its prefill or decode phase alone. */
struct EngineJob
{
    std::uint64_t id = 0;
    Priority priority = Priority::Interactive;
    double promptTokens = 0;
    const PrefixChain *prefixes = nullptr;
    std::uint32_t outputTokens = 0;
    bool readsPrompt = true;
    bool writesAnswer = true;
};

enum class JobProgress : std::uint8_t {
    /** Prefill is complete; a job without a decode phase ends here. */
    FirstToken,
    Done,
};

struct JobEvent
{
    std::uint64_t id = 0;
    JobProgress progress = JobProgress::Done;
};

/** Simulates one engine with continuous batching, step by step. */
class FakeEngine
{
public:
    FakeEngine(EngineRole initialRole, double cacheTokens);

    void add(const EngineJob &job);
    void cancel(std::uint64_t id);
    /** Stops the engine and drops its jobs and cache. Returns the ids of the dropped jobs. */
    std::vector<std::uint64_t> crash();

    bool hasWork() const { return !running_.empty() || !waiting_.empty(); }
    /** Plans the next step. Returns how long it takes. */
    double beginStep();
    /** Completes the step. Returns the progress that it made. */
    std::vector<JobEvent> endStep();

    LoadReport report() const;
    std::vector<CacheEvent> takeCacheEvents() { return cache_.takeEvents(); }
    /** Cumulative work counters. */
    struct Work
    {
        double busyMs = 0;
        double promptTokens = 0;
        double cachedTokens = 0;
        double steps = 0;
        double answersInSteps = 0;
    };
    const Work &work() const { return work_; }

    EngineRole role = EngineRole::Mixed;
    bool alive = true;
    bool stepping = false;

private:
    struct ActiveJob
    {
        EngineJob job;
        double remainingPromptTokens = 0;
        double plannedTokens = 0;
        std::uint32_t writtenTokens = 0;
    };

    void startWaitingJobs();
    double planPrefill();

    Work work_;
    PrefixCache cache_;
    std::vector<EngineJob> waiting_;
    std::vector<ActiveJob> running_;
};

} // namespace cuminrail::policybench
