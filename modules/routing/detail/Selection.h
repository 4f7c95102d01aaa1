#pragma once

#include "core/random/Random.h"
#include "routing/Router.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cuminrail::detail {

/** What is believed of an upstream's load at this moment. */
struct LoadView
{
    double requests = 0;
    double promptTokens = 0;
};

/** An upstream that is compared for one request. */
struct Candidate
{
    UpstreamIndex upstream = noIndex;
    /** Tokens of the prompt that it probably has cached. */
    double cachedTokens = 0;
    RoutingReason reason = RoutingReason::LeastPredictedTime;
    LoadView load;
};

/** What a candidate would mean for the request, in seconds. */
struct Prediction
{
    double firstToken = 0;
    /** First token, plus what the choice costs this request and others. Least wins. */
    double score = 0;
};

/** Which upstreams a selection may look at; widened when nothing is found. */
struct SelectionRules
{
    bool ignoreEjections = false;
    bool ignoreTried = false;
    /** Look at all members instead of a sample. */
    bool everyMember = false;
};

/** One run of the routing decision. Lives on the stack and allocates nothing. */
class Selection
{
public:
    Selection(const RoutingRequest &request, const RoutingTable &table, const LiveLoads &loads,
              const RouterOptions &options, std::uint64_t preferenceSeed, Millis now);

    /** Adds the engines that probably hold a prefix of the prompt. */
    void addHolders(const PrefixHolders &holders);

    /** Returns the best choice under these rules. */
    std::optional<RoutingChoice> run(const SelectionRules &rules, const RandomHook &random);

private:
    static constexpr std::size_t maxCandidates = 24;

    bool mayUse(UpstreamIndex upstream) const;
    bool mayUseReclaimable() const;
    bool hasAdapter(const RoutedUpstream &upstream) const;
    void sampleAll(const RandomHook &random);
    void sample(const PoolMembers &members, const RandomHook &random);
    void addAffinity();
    void add(const Candidate &candidate);
    void findMeans();
    double standingCost(UpstreamIndex upstream) const;
    LoadView viewOf(UpstreamIndex upstream) const;
    bool overAffinityBound(const Candidate &candidate) const;
    Prediction predict(const Candidate &candidate, bool readsPrompt, bool writesAnswer) const;
    void compareSingles();
    void compareDisaggregated();
    void take(const Candidate &candidate, UpstreamIndex prefill, const Prediction &prediction,
              RoutingReason reason);

    const RoutingRequest &request_;
    const RoutingTable &table_;
    const RoutingPool &pool_;
    const LiveLoads &loads_;
    const RouterOptions &options_;
    std::uint64_t preferenceSeed_;
    Millis now_;
    SelectionRules rules_;

    std::array<Candidate, PrefixHolders::maxCount + 2> affinity_;
    std::size_t affinityCount_ = 0;
    std::array<Candidate, maxCandidates> candidates_;
    std::size_t count_ = 0;
    double meanOthers_ = 0;
    double meanRequests_ = 0;
    std::optional<RoutingChoice> best_;
    double bestScore_ = 0;
};

} // namespace cuminrail::detail
