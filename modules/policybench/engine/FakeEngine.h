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

/** Speeds of the fake engines; the same as the defaults of EngineSettings. */
struct EngineModel
{
    static constexpr double slots = 32;
    static constexpr double msPerPromptToken = 0.125;
    static constexpr double baseStepMs = 8;
    static constexpr double stepMsPerAnswer = 0.375;
    /** Prompt tokens read within one step, by role. */
    static constexpr double mixedChunk = 512;
    static constexpr double prefillChunk = 2048;
    static constexpr double decodeChunk = 128;

    /** Time of one step that writes a token for each of these answers. */
    static constexpr double stepMs(double answers)
    {
        return baseStepMs + stepMsPerAnswer * answers;
    }
};

/** A change of an engine's cache, as it publishes it. */
struct CacheEvent
{
    std::uint64_t number = 0;
    std::uint64_t hash = 0;
    bool stored = true;
};

/** Which prefixes an engine holds: limited memory, the least recently used goes first. */
class PrefixCache
{
public:
    explicit PrefixCache(double capacityTokens) : capacity_(capacityTokens) { }

    /** Returns how many tokens of the prompt are held, and makes it the most recently used. */
    double use(const PrefixChain &chain);
    void clear();

    /** Returns the changes since the last call. */
    std::vector<CacheEvent> takeEvents();

private:
    struct Entry
    {
        std::uint64_t hash;
        double tokens;
    };
    void touch(std::uint64_t hash, double tokens);

    void note(std::uint64_t hash, bool stored);

    std::vector<CacheEvent> events_;
    std::uint64_t nextEvent_ = 1;
    double capacity_;
    double used_ = 0;
    std::list<Entry> order_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries_;
};

/** A request, or one half of it, at an engine. */
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
    /** The prompt is read; without an answer to write, the job is over. */
    FirstToken,
    Done,
};

struct JobEvent
{
    std::uint64_t id = 0;
    JobProgress progress = JobProgress::Done;
};

/** One engine with continuous batching, step by step. */
class FakeEngine
{
public:
    FakeEngine(EngineRole role, double cacheTokens);

    void add(const EngineJob &job);
    void cancel(std::uint64_t id);
    /** Everything is lost. Returns the jobs that were there. */
    std::vector<std::uint64_t> crash();

    bool hasWork() const { return !running_.empty() || !waiting_.empty(); }
    /** Plans the next step. Returns how long it takes. */
    double beginStep();
    /** The step is over. */
    std::vector<JobEvent> endStep();

    LoadReport report() const;
    std::vector<CacheEvent> takeCacheEvents() { return cache_.takeEvents(); }
    /** What it has done so far. */
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
    struct Active
    {
        EngineJob job;
        double unread = 0;
        double planned = 0;
        std::uint32_t written = 0;
    };

    void startWaiting();
    double planReading();

    Work work_;
    PrefixCache cache_;
    std::vector<EngineJob> waiting_;
    std::vector<Active> running_;
};

} // namespace cuminrail::policybench
