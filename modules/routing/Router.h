#pragma once

#include "core/errors/Reason.h"
#include "core/random/Random.h"
#include "routing/decision/RoutingChoice.h"
#include "routing/live/LiveLoads.h"
#include "routing/prefix/PrefixHints.h"
#include "routing/table/RoutingTable.h"

#include <cstdint>
#include <optional>

namespace cuminrail {

/** Tunables of the routing policy; docs/ROUTING.md explains them. */
struct RouterOptions
{
    /** Upstreams sampled at random for each request, in addition to the holders of its prefix. */
    std::uint32_t sampleSize = 8;
    /** A holder of the prefix is skipped when its load exceeds this multiple of the sample mean. */
    double affinityLoadBound = 1.5;
    /** Age at which a load report has half the weight of a fresh one. */
    Millis reportHalfLife = Millis(500);
    /** Added to the predicted time to first token of an upstream in another failure domain. */
    Millis crossDomainPenalty = Millis(2);
    /**
        Range of a fixed, per-instance offset on each upstream's predicted time. Instances thus
        rank equally loaded upstreams differently, and each has the most exact load figures for
        the upstreams that it prefers, because it sent most of their requests itself.
    */
    Millis preferenceSpread = Millis(100);
    /** Added to the predicted time of an upstream whose last request failed... */
    Millis failurePenalty = Millis::seconds(2);
    /** ... for this long after the failure. */
    Millis failureRetention = Millis::seconds(5);
    /** A decode engine may also run prefill while less than this share of its slots is in use. */
    double decodeHeadroom = 0.6;
    /** KV cache size of one token, and transfer rate between engines. */
    double kvBytesPerToken = 131072;
    double kvBytesPerSecond = 1e10;
    /** Requests with a deadline may use reclaimable upstreams with at least this much slack. */
    Millis reclaimableSlack = Millis::seconds(20);
    /** How much longer the wait may be at a reclaimable upstream than at a regular one. */
    Millis reclaimableBonus = Millis::seconds(1);
};

/** What one request in progress added to the live counters. Kept by the caller until finished(). */
struct RoutingTicket
{
    UpstreamIndex upstream = noIndex;
    UpstreamIndex prefill = noIndex;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /** Prompt tokens queued for prefill at the engine ahead of this request. */
    std::int64_t promptTokensAhead = 0;
    /** The engine's configured prefill rate; bounds the measured one. */
    double nominalPrefillRate = 0;
    Millis startedAt;
    bool sawFirstToken = false;
};

/**
    Selects the upstream for each request and updates the live counters from its progress.

    All mutable state is in the shared LiveLoads and PrefixHints, which are made of atomics: all
    request threads may use one Router concurrently, each with its own RandomHook. A selection
    allocates no memory.

    Call order for a request: choose(), started() right before the first byte is sent,
    firstToken(), finished(). Each started() must be followed by exactly one finished().
*/
class Router
{
public:
    /** @param preferenceSeed  must differ between instances; 0 disables preferences */
    Router(LiveLoads &loads, PrefixHints &hints, RouterOptions options = RouterOptions(),
           std::uint64_t preferenceSeed = 0);

    /**
        Returns the upstream for the request, or nothing with the reason ("no_upstream").

        @param table  the current snapshot; must outlive the call
    */
    std::optional<RoutingChoice> choose(const RoutingRequest &request, const RoutingTable &table,
                                        Millis now, const RandomHook &random,
                                        Reason *lastReason = nullptr) const;

    /** Counts a request that is about to be sent. */
    RoutingTicket started(const RoutingRequest &request, const RoutingChoice &choice,
                          const RoutingTable &table, Millis now);

    /** Call when the first token of the response arrives: prefill is done. */
    void firstToken(RoutingTicket &ticket, Millis now);

    /** Call when the attempt has ended. The ticket must not be used afterwards. */
    void finished(RoutingTicket &ticket, UpstreamOutcome outcome, Millis now);

    const RouterOptions &options() const { return options_; }
    LiveLoads &loads() { return loads_; }

private:
    LiveLoads &loads_;
    PrefixHints &hints_;
    RouterOptions options_;
    std::uint64_t preferenceSeed_;
};

} // namespace cuminrail
