#pragma once

#include "dataplane/model/UpstreamEntry.h"
#include "emulation/engine/EngineFigures.h"
#include "emulation/engine/PartMemory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail::emulation {

/** A request at an engine, or only the prefill of its prompt. */
struct EngineJob
{
    std::uint64_t id = 0;
    /** Lower values are admitted first, from 0. */
    int urgency = 5;
    PromptChain chain;
    /** Prefill only; the cache is retained for another engine. */
    bool isPrefillOnly = false;
    /** The cache was fetched from another engine, so no prefill remains. */
    bool isFetched = false;
    /** Length in tokens of the prefix fetched from another engine's memory. */
    double fetchedTokens = 0;
    /** Events to generate; the remaining ones for a resumed response. */
    int events = 1;
};

/** Why an engine rejects a job; guarantees that no part of the job runs. */
enum class EngineRefusal : std::uint8_t { Gone, WrongStage, Changing, Full };

enum class EngineSign : std::uint8_t {
    /** A prefill-only job finished. */
    PromptRead,
    Event,
    /** The last event was generated. */
    Done,
};

struct EngineOutput
{
    std::uint64_t job = 0;
    EngineSign sign = EngineSign::Event;
    /** Delay after the end of the step. */
    double delayMs = 0;
};

/**
    Model of one engine: continuous batching, chunked prefill interleaved with decoding, memory
    shared by cached parts and running requests, a stage that can be changed.

    Simplification: a request waits until its memory can be reserved, whereas real engines preempt
    running requests.
*/
class EmulatedEngine
{
public:
    EmulatedEngine(const EngineFigures &figures, EngineStage stage);

    std::optional<EngineRefusal> offer(const EngineJob &job);
    void cancel(std::uint64_t id);
    /** Removes a cache that another engine fetches. Returns false if it expired or is unknown. */
    bool takeHandle(std::uint64_t id, double now);
    /** Drops all jobs and memory. Returns the jobs that were queued or running. */
    std::vector<std::uint64_t> crash();
    void restart() { isAlive_ = true; }
    /**
        Orders a stage change, which starts once running work has finished. Returns the queued
        jobs, which are rejected now; nullopt if the order does not apply.
    */
    std::optional<std::vector<std::uint64_t>> orderStage(EngineStage stage);

    bool hasWork() const { return !running_.empty() || !waiting_.empty(); }
    /** Plans the next step. Returns its duration; 0 if there is no work. */
    double beginStep(double now);
    std::vector<EngineOutput> endStep(double now);
    /** Returns the duration of an ordered stage change once no work is left, nullopt before. */
    std::optional<double> beginChange();
    void endChange();

    bool isAlive() const { return isAlive_; }
    bool isChanging() const { return orderedStage_.has_value(); }
    EngineStage stage() const { return stage_; }
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    const PartMemory &memory() const { return memory_; }

    /** Work done so far; prompt tokens computed and reused from the cache. */
    struct Work
    {
        double read = 0;
        double kept = 0;
        double busyMs = 0;
        double stepMsLongest = 0;
    };
    const Work &work() const { return work_; }

    bool isStepping = false;

private:
    struct Active
    {
        EngineJob job;
        double remainingPrefill = 0;
        double planned = 0;
        double reserved = 0;
        int tokens = 0;
        int events = 0;
    };
    struct Handle
    {
        double expires = 0;
        double tokens = 0;
    };

    void admit();
    double planPrefill(const Active *&lastPrefill);
    double contextTokens() const;
    void expireHandles(double now);
    void advancePrefill(Active &active, double now, std::vector<EngineOutput> &outputs);
    void advanceDecode(Active &active, std::vector<EngineOutput> &outputs) const;

    const EngineFigures *figures_;
    EngineStage stage_;
    std::optional<EngineStage> orderedStage_;
    bool isAlive_ = true;
    PartMemory memory_;
    std::vector<EngineJob> waiting_;
    std::vector<Active> running_;
    std::map<std::uint64_t, Handle> handles_;
    Work work_;
};

} // namespace cuminrail::emulation
