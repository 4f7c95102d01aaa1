#pragma once

#include "core/random/Random.h"
#include "routing/Router.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cuminrail::detail {

/** Estimated load of an upstream over all instances. */
struct LoadEstimate
{
    double requests = 0;
    double promptTokens = 0;
};

/** An upstream under consideration for one request. */
struct Candidate
{
    UpstreamIndex upstream = noIndex;
    /** Expected number of prompt tokens in its cache. */
    double cachedTokens = 0;
    RoutingReason reason = RoutingReason::LeastPredictedTime;
    LoadEstimate load;
};

/** Predicted times if the request ran at a candidate, in seconds. */
struct Prediction
{
    double firstToken = 0;
    /** Time to first token plus the other costs to this request and to others. Least wins. */
    double score = 0;
};

/** Which upstreams a selection may consider; relaxed step by step when none is eligible. */
struct SelectionRules
{
    bool ignoreEjections = false;
    bool ignoreTried = false;
    /** Consider all members instead of a random sample. */
    bool allMembers = false;
};

/** Selects the upstream for one request. Lives on the stack and allocates no memory. */
class Selection
{
public:
    Selection(const RoutingRequest &request, const RoutingTable &table, const LiveLoads &loads,
              const RouterOptions &options, std::uint64_t preferenceSeed, Millis now);

    /** Adds the engines that probably have a prefix of the prompt cached. */
    void addHolders(const PrefixHolders &holders);

    /** Returns the best choice under these rules. */
    std::optional<RoutingChoice> run(const SelectionRules &rules, const RandomHook &random);

private:
    static constexpr std::size_t maxCandidates = 24;

    bool isEligible(UpstreamIndex upstream) const;
    bool isReclaimableAllowed() const;
    bool hasAdapter(const RoutedUpstream &upstream) const;
    void samplePools(const RandomHook &random);
    void sampleMembers(const PoolMembers &members, const RandomHook &random);
    void addAffinityCandidates();
    void addCandidate(const Candidate &candidate);
    void computeMeans();
    double loadIndependentCost(UpstreamIndex upstream) const;
    LoadEstimate estimateLoad(UpstreamIndex upstream) const;
    bool exceedsAffinityBound(const Candidate &candidate) const;
    Prediction predict(const Candidate &candidate, bool runsPrefill, bool runsDecode) const;
    void evaluateSingleEngines();
    void evaluateDisaggregated();
    void updateBest(const Candidate &candidate, UpstreamIndex prefill, const Prediction &prediction,
                    RoutingReason reason);

    const RoutingRequest &request_;
    const RoutingTable &table_;
    const RoutingPool &pool_;
    const LiveLoads &loads_;
    const RouterOptions &options_;
    std::uint64_t preferenceSeed_;
    Millis now_;
    SelectionRules rules_;

    std::array<Candidate, PrefixHolders::maxCount + 2> affinityCandidates_;
    std::size_t affinityCount_ = 0;
    std::array<Candidate, maxCandidates> candidates_;
    std::size_t candidateCount_ = 0;
    double meanOthersRequests_ = 0;
    double meanRequests_ = 0;
    std::optional<RoutingChoice> best_;
    double bestScore_ = 0;
};

} // namespace cuminrail::detail
