#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"
#include "dataplane/model/RequestMessages.h"
#include "dataplane/placement/EngineTracker.h"
#include "dataplane/placement/PrefillEstimate.h"

#include <functional>
#include <set>

namespace cuminrail {

/** Weights of the selection of an engine; all costs are expressed as milliseconds of delay. */
struct PlacementWeights
{
    /**
        Cost of a kilobyte sent to another failure domain, since the platform charges for traffic
        between domains.
    */
    double domainMillisPerKilobyte = 6.0;
    /** Cost of disaggregated prefill: two more messages and the decode engine's set-up. */
    double handOverMillis = 40.0;
    /**
        Prefill on a decode engine lengthens the gaps of all its streams, as each step with prefill
        takes longer and an event consists of several steps. So disaggregated prefill is used unless
        its cost exceeds that of prefill on the decode engine by this factor plus ownReadMillis. If
        the lower estimate alone decided, streams would miss their gap targets in swings.
    */
    double ownReadFactor = 10.0;
    double ownReadMillis = 300.0;
    /** With fewer tokens, disaggregated prefill costs more messages than it can save. */
    double leastHandOverTokens = 30;
    /** Transfer of a token's KV cache between engines, 18 KB at 180 Gbit/s, including its cost. */
    double transferMillisPerToken = 0.004;
    /**
        Cost of fetching a cached prefix from another engine: set-up, and the time per token, which
        is twice that within a domain to allow for links between domains. Fetching avoids a second
        prefill of what a lost or busy engine had cached.
    */
    double fetchMillis = 15.0;
    double fetchMillisPerToken = 0.002;
    /** Prefill of fewer tokens is faster than fetching them. */
    double leastFetchTokens = 2000;
    /** Assumed probability that a part's home has it cached without this instance's requests. */
    double homeConfidence = 0.8;
    /** The same for the engine that is second in the part's ranking. */
    double secondHomeConfidence = 0.3;
    /** Factor for prefill time, since prefill also delays all other prompts on that engine. */
    double readWeight = 2.0;
    /** Cost per running request, since each one lengthens the steps of the engine's batch. */
    double millisPerRunning = 4.0;
    /**
        Number of engines of a stage that are evaluated for one prompt, in the order of affinity:
        more of them cost time for each choice and hardly ever change it.
    */
    double mostCandidates = 16;
    /** Cost of recently failed requests, per share of failures. */
    double millisPerBadShare = 1500.0;
};

/** The engines selected for a prompt. */
struct EngineChoice
{
    /** Executes decode, and also prefill unless @c prefill is set. */
    UpstreamPointer engine;
    /** Executes prefill and passes the KV cache to @c engine; null without disaggregation. */
    UpstreamPointer prefill;
    /** Has the prompt's prefix cached; the engine that executes prefill fetches it from there. */
    UpstreamPointer prefixFrom;
    /** Estimated number of prompt tokens to prefill. */
    double freshTokens = 0;
    /** Cost of this choice in weighted milliseconds, see PlacementWeights. */
    double expectedMillis = 0;
    /** Estimated wait before prefill, and estimated time to the first event. */
    double waitMillis = 0;
    double firstEventMillis = 0;
    /** Pending responses: of the engine that executes prefill, and of a separate decode engine. */
    PendingResponseId prefillResponseId = 0;
    PendingResponseId decodeResponseId = 0;
};

/** Input of EnginePlacement::choose(). */
struct PlacementQuery
{
    const PromptShape *prompt = nullptr;
    std::size_t bodyBytes = 0;
    std::string ownDomain;
    /** Upstreams to which this request was sent before. */
    const std::set<std::string> *tried = nullptr;
    Millis now;
    /** False once disaggregated prefill has failed for this request. */
    bool allowsHandOver = true;
    /** Share of bad outcomes, and whether an engine is ejected; called for each candidate. */
    std::function<double(const std::string &id)> badShare;
    std::function<bool(const std::string &id)> isEjected;
    /** Estimate of the engine's prefill tracker for this prompt, if it was queried; may be empty.
     */
    std::function<std::optional<PrefillEstimate>(const std::string &id)> offer;
};

/**
    Selects the engine for a prompt, and decides between prefill on the decode engine and
    disaggregated prefill on a prefill engine.

    Shared parts of prompts take far longer to prefill than the rest, and an engine's cache has room
    for only some of them. Each part has a few homes: the engines that rank first by rendezvous
    hashing over the listed engines. All instances compute the same homes without any message. A
    request goes to another engine as soon as the wait at home costs more than a second prefill of
    the part.

    The load of an engine is estimated from this instance's pending requests plus their recent
    delay, which reflects the work of the other instances. Engines are not queried for reports.
*/
class EnginePlacement
{
public:
    explicit EnginePlacement(PlacementWeights weights = {}) : weights_(weights) { }

    /** Returns the selected engines, or nothing if no engine may get the request. */
    std::optional<EngineChoice> choose(const std::vector<UpstreamPointer> &engines,
                                       const PlacementQuery &query);

    /** Returns up to @p maxCount prefill engines in order of estimated cost, cheapest first. */
    std::vector<UpstreamPointer> rankPrefillEngines(const std::vector<UpstreamPointer> &engines,
                                                    const PlacementQuery &query,
                                                    std::size_t maxCount);
    /** Sets the current wait of a prompt at an engine, as its prefill tracker reported it. */
    void setReportedWait(const std::string &id, double waitMillis, Millis now)
    {
        trackerOf(id).setReportedWait(waitMillis, now);
    }
    /** Returns the estimated prefill rate of prefill engines. */
    const PrefillRateEstimator &prefillRate() const { return prefillRate_; }

    /** Returns the decode engine for a prompt whose prefill has been completed. */
    UpstreamPointer chooseDecodeEngine(const std::vector<UpstreamPointer> &engines,
                                       const PlacementQuery &query);
    /** Replaces the decode engine of a choice whose request has been sent. */
    void moved(EngineChoice &choice, const UpstreamPointer &engine, Millis now);

    /** Call when the request has been sent as chosen. */
    void dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now);
    /** Call when prefill is complete: at the prefill engine's response, or at the first event. */
    void promptRead(EngineChoice &choice, Millis sentAt, Millis now);
    /** Call when a prompt has been sent to the decode engine after disaggregated prefill. */
    void handedOver(EngineChoice &choice, const PromptShape &prompt, Millis now);
    /** Call when the first event arrived. */
    void runBegan(EngineChoice &choice, Millis now);
    /** Call when the attempt has ended. @p wasPrefilled: prefill was reported as complete. */
    void finished(EngineChoice &choice, bool wasPrefilled, Millis now);
    /** Call when an engine rejected a request because it is full or unavailable. */
    void refused(const std::string &id, Millis now) { trackerOf(id).requestRejected(now); }
    /** Call when an engine has been removed, or has a new incarnation. */
    void forget(const std::string &id) { engines_.erase(id); }

    const EngineTracker *memory(const std::string &id) const;

private:
    struct Candidate
    {
        UpstreamPointer engine;
        /** Tokens to prefill for the comparison of costs: shared parts count as cached at home. */
        double freshTokens = 0;
        /** Tokens to prefill for the estimate of the response time. */
        double prefillTokens = 0;
        double cost = 0;
        double waitMillis = 0;
        /** Engine from which it can fetch a cached prefix instead of computing it; or null. */
        UpstreamPointer prefixFrom;
        double fetchMillis = 0;
    };
    struct RankedEngine;

    /** Returns the engines of a stage in no order, each with its position in the ranking. */
    std::vector<RankedEngine> rankByAffinity(const std::vector<UpstreamPointer> &engines,
                                             EngineStage stage, const PlacementQuery &query,
                                             const PromptChain &chain) const;
    /** Returns the first engines of the ranking that are not ejected, mostCandidates at most. */
    std::vector<UpstreamPointer> firstByAffinity(const std::vector<UpstreamPointer> &engines,
                                                 EngineStage stage, const PlacementQuery &query,
                                                 const PromptChain &chain) const;
    PrefillRateEstimator &rateOf(const UpstreamEntry &entry);
    EngineTracker &trackerOf(const std::string &id) { return engines_[id]; }
    std::vector<Candidate> evaluate(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                                    const PlacementQuery &query, const PromptChain &chain);
    UpstreamPointer leastLoadedDecodeEngine(const std::vector<Candidate> &candidates,
                                            const PlacementQuery &query);
    double estimateFreshTokens(const EngineTracker &memory, const PromptChain &chain,
                               std::size_t homeRank) const;
    void setEstimates(EngineChoice &choice, double waitMillis);
    void considerPrefixFetch(std::vector<Candidate> &candidates, const PlacementQuery &query,
                             const PromptChain &chain);
    double crossDomainMillis(const UpstreamEntry &entry, const PlacementQuery &query) const;

    PlacementWeights weights_;
    std::unordered_map<std::string, EngineTracker> engines_;
    /** Rates of prefill engines, and of all others. */
    PrefillRateEstimator prefillRate_;
    PrefillRateEstimator decodeRate_;
    /** Never reused: an engine that is removed and added again must not match old responses. */
    PendingResponseId nextResponseId_ = 1;
};

} // namespace cuminrail
