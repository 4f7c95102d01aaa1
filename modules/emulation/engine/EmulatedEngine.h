#pragma once

#include "dataplane/model/UpstreamEntry.h"
#include "emulation/engine/EngineFigures.h"
#include "emulation/engine/PartMemory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cuminrail::emulation {

/** A request, or the reading of its prompt, at an engine. */
struct EngineJob
{
    std::uint64_t id = 0;
    /** 0 is admitted first. */
    int urgency = 5;
    PromptChain chain;
    /** Only read the prompt, and keep its cache for another engine. */
    bool isPrefillOnly = false;
    /** The cache was fetched from another engine: nothing is left to read. */
    bool isFetched = false;
    /** Tokens from the prompt's start on that were fetched from another engine's memory. */
    double fetchedTokens = 0;
    /** Events to write; of a resumed answer, those that are left. */
    int events = 1;
};

/** Why an engine does not take a job; it states that nothing of it will run. */
enum class EngineRefusal : std::uint8_t { Gone, WrongStage, Changing, Full };

enum class EngineSign : std::uint8_t {
    /** A prefill-only job is over. */
    PromptRead,
    Event,
    /** The last event was written. */
    Done,
};

struct EngineOutput
{
    std::uint64_t job = 0;
    EngineSign sign = EngineSign::Event;
    /** After the end of the step. */
    double delayMs = 0;
};

/**
    One engine: continuous batching, prompts read in chunks between the tokens of running requests,
    memory shared by cached parts and running requests, a stage that can be changed.

    Simplified against real engines: a request whose memory is missing waits, where real ones put
    running requests back.
*/
class EmulatedEngine
{
public:
    EmulatedEngine(const EngineFigures &figures, EngineStage stage);

    std::optional<EngineRefusal> offer(const EngineJob &job);
    void cancel(std::uint64_t id);
    /** Fetching: takes a cache that waits here. False if it is gone. */
    bool takeHandle(std::uint64_t id, double now);
    /** Everything is lost. Returns the jobs that were here. */
    std::vector<std::uint64_t> crash();
    void restart() { isAlive_ = true; }
    /**
        Takes effect once running work is over, and some time later. Returns the jobs that had not
        begun and are refused now; nothing when the order does not hold here.
    */
    std::optional<std::vector<std::uint64_t>> orderStage(EngineStage stage);

    bool hasWork() const { return !running_.empty() || !waiting_.empty(); }
    /** Plans the next step. Returns how long it takes; 0 when there is nothing to do. */
    double beginStep(double now);
    std::vector<EngineOutput> endStep(double now);
    /** A change of stage is due: nothing runs any more. Returns after how long it is over. */
    std::optional<double> beginChange();
    void endChange();

    bool isAlive() const { return isAlive_; }
    bool isChanging() const { return wanted_.has_value(); }
    EngineStage stage() const { return stage_; }
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    const PartMemory &memory() const { return memory_; }

    /** What it has done so far, in prompt tokens. */
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
        double unread = 0;
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
    double planReading(const Active *&reader);
    double contextTokens() const;
    void dropHandles(double now);
    void readStep(Active &active, double now, std::vector<EngineOutput> &outputs);
    void writeStep(Active &active, std::vector<EngineOutput> &outputs) const;

    const EngineFigures *figures_;
    EngineStage stage_;
    std::optional<EngineStage> wanted_;
    bool isAlive_ = true;
    PartMemory memory_;
    std::vector<EngineJob> waiting_;
    std::vector<Active> running_;
    std::map<std::uint64_t, Handle> handles_;
    Work work_;
};

} // namespace cuminrail::emulation
