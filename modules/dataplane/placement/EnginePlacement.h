#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"
#include "dataplane/model/RequestMessages.h"
#include "dataplane/placement/EngineMemory.h"
#include "dataplane/placement/ReadingOffer.h"

#include <functional>
#include <set>

namespace cuminrail {

/** What weighs how much when an engine is chosen; times stand for everything else. */
struct PlacementWeights
{
    /**
        Sending a kilobyte to another failure domain counts as this much delay, as bytes between
        domains are charged by the platform.
    */
    double domainMillisPerKilobyte = 6.0;
    /** Handing a read prompt over: two more messages and the engine's set-up. */
    double handOverMillis = 40.0;
    /**
        A prompt read where others generate stretches every pause there, as each step that reads
        takes longer and an event holds several steps. So handing over may take this much longer
        than reading there; with the shorter estimate deciding, streams miss their pauses in swings.
    */
    double ownReadFactor = 10.0;
    double ownReadMillis = 300.0;
    /** Below this handing over costs more messages than it could save. */
    double leastHandOverTokens = 30;
    /** Transfer of a cached token between engines, 18 KB at 180 Gbit/s, and what it costs. */
    double transferMillisPerToken = 0.004;
    /**
        Having an engine fetch a part that another one has read: the set-up, and the time a token
        takes, twice for other domains' links. Spares reading again what a lost or busy engine held.
    */
    double fetchMillis = 15.0;
    double fetchMillisPerToken = 0.002;
    /** Less than this is read sooner than fetched. */
    double leastFetchTokens = 2000;
    /** An engine that is likely to hold a part which this instance never sent there. */
    double homeConfidence = 0.8;
    /** The same for the engine that comes second. */
    double secondHomeConfidence = 0.3;
    /**
        Reading also keeps everybody else waiting there; so its time counts this many times.
    */
    double readWeight = 2.0;
    /** One request more on an engine stretches each step of its batch. */
    double millisPerRunning = 4.0;
    /**
        Engines of a stage that are looked at for one prompt, in the order of their affinity: more
        of them cost time for each choice and hardly ever change it.
    */
    double mostCandidates = 16;
    /** An engine whose requests failed of late, per share of failures. */
    double millisPerBadShare = 1500.0;
};

/** Where a prompt goes. */
struct EngineChoice
{
    /** Runs the request, and reads its prompt unless @c prefill is set. */
    UpstreamPointer engine;
    /** Reads the prompt first and hands it over. */
    UpstreamPointer prefill;
    /** Has read the prompt's first parts, which the reading engine is to fetch from there. */
    UpstreamPointer prefixFrom;
    /** Prompt tokens that the reading engine must work through, as far as is known here. */
    double freshTokens = 0;
    /** What this choice costs, in the placement's weighed milliseconds. */
    double expectedMillis = 0;
    /** Expected wait at the reading engine, and expected time to the first event. */
    double waitMillis = 0;
    double firstEventMillis = 0;
    /** What is due from the reading engine, and from another one that generates. */
    AnswerTicket readTicket = 0;
    AnswerTicket runTicket = 0;
};

/** What is asked of a placement. */
struct PlacementQuery
{
    const PromptShape *prompt = nullptr;
    std::size_t bodyBytes = 0;
    std::string ownDomain;
    /** Upstreams that had this request already. */
    const std::set<std::string> *tried = nullptr;
    Millis now;
    /** False once handing a prompt over has failed for this request. */
    bool allowsHandOver = true;
    /** Share of bad outcomes, and whether an engine is set aside; asked for each candidate. */
    std::function<double(const std::string &id)> badShare;
    std::function<bool(const std::string &id)> isSetAside;
    /** What the engine's book says of this prompt, where it was asked; may be empty. */
    std::function<std::optional<ReadingOffer>(const std::string &id)> offer;
};

/**
    Chooses the engine for a prompt, and whether a prefill engine reads it first.

    Shared parts of prompts cost far more to read than the rest, and an engine's memory holds only
    some of them. Each part has a few homes that all instances work out alike by rendezvous hashing
    over the present engines; no message is needed. Load
    pulls a request away from home as soon as the wait there costs more than reading the part again.

    Load is what this instance has under way, plus the delay that its own requests met of late,
    which shows what the other instances send. No engine is asked for reports.
*/
class EnginePlacement
{
public:
    explicit EnginePlacement(PlacementWeights weights = {}) : weights_(weights) { }

    /** Returns nothing when no engine may get the request. */
    std::optional<EngineChoice> choose(const std::vector<UpstreamPointer> &engines,
                                       const PlacementQuery &query);

    /** Returns the prefill engines that suit a prompt best by what is known here, best first. */
    std::vector<UpstreamPointer> likelyReaders(const std::vector<UpstreamPointer> &engines,
                                               const PlacementQuery &query, std::size_t most);
    /** An engine's book told how long a prompt waits there now. */
    void told(const std::string &id, double waitMillis, Millis now)
    {
        state(id).told(waitMillis, now);
    }
    /** How fast prefill engines read. */
    const ReadingRate &prefillRate() const { return prefillRate_; }

    /** Returns the engine that should generate for a prompt that has been read already. */
    UpstreamPointer chooseRunner(const std::vector<UpstreamPointer> &engines,
                                 const PlacementQuery &query);
    /** Another engine generates than was chosen; updates the choice. */
    void moved(EngineChoice &choice, const UpstreamPointer &engine, Millis now);

    /** The request went out as chosen. */
    void dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now);
    /** The prompt has been read: by a prefill engine's answer, or by the first event. */
    void promptRead(EngineChoice &choice, Millis sentAt, Millis now);
    /** A prompt that was read elsewhere went to the engine that generates. */
    void handedOver(EngineChoice &choice, const PromptShape &prompt, Millis now);
    /** The first event came. */
    void runBegan(EngineChoice &choice, Millis now);
    /** The attempt is over. @c wasRead as promptRead() was called for it. */
    void finished(EngineChoice &choice, bool wasRead, Millis now);
    /** An engine refused a request, being full or away. */
    void refused(const std::string &id, Millis now) { state(id).refused(now); }
    /** An engine is gone, or began another life. */
    void forget(const std::string &id) { engines_.erase(id); }

    const EngineMemory *memory(const std::string &id) const;

private:
    struct Candidate
    {
        UpstreamPointer engine;
        /** Tokens to read as the choice weighs them: parts at home count as held. */
        double fresh = 0;
        /** And as they are expected to be read. */
        double toRead = 0;
        double millis = 0;
        double waitMillis = 0;
        /** What it may fetch from another engine instead of reading it. */
        UpstreamPointer prefixFrom;
        double fetchMillis = 0;
    };
    struct Ranked;

    std::vector<Ranked> ranked(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                               const PlacementQuery &query, const PromptChain &chain) const;
    ReadingRate &rateOf(const UpstreamEntry &entry);
    EngineMemory &state(const std::string &id) { return engines_[id]; }
    std::vector<Candidate> rate(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                                const PlacementQuery &query, const PromptChain &chain);
    UpstreamPointer leastBusy(const std::vector<Candidate> &readers, const PlacementQuery &query);
    double expectedFresh(const EngineMemory &memory, const PromptChain &chain,
                         std::size_t homeRank) const;
    void estimate(EngineChoice &choice, double waitMillis);
    void offerFetching(std::vector<Candidate> &candidates, const PlacementQuery &query,
                       const PromptChain &chain);
    double detour(const UpstreamEntry &entry, const PlacementQuery &query) const;

    PlacementWeights weights_;
    std::unordered_map<std::string, EngineMemory> engines_;
    /** Of engines that only read, and of those that also generate. */
    ReadingRate prefillRate_;
    ReadingRate decodeRate_;
    /** Never given twice: an engine that is forgotten and comes back must not mistake old ones. */
    AnswerTicket nextTicket_ = 1;
};

} // namespace cuminrail
