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

/** Constants of the routing policy. docs/ROUTING.md says how they were chosen. */
struct RouterOptions
{
    /** Upstreams sampled at random for each request, beside the holders of its prefix. */
    std::uint32_t samples = 8;
    /** A holder of the prefix is passed over above this multiple of the sampled load. */
    double affinityLoadBound = 1.5;
    /** How fast a load report loses its weight. */
    Millis reportHalfLife = Millis(500);
    /** Added to the predicted time of an upstream in another failure domain. */
    Millis otherDomainCost = Millis(2);
    /**
        Each instance likes some upstreams better, by up to this much predicted time. Instances
        then differ in their order of preference, and each knows best the load of those it likes.
    */
    Millis preferenceSpread = Millis(100);
    /** Added for a while to the predicted time of an upstream whose last request failed. */
    Millis failureCost = Millis::seconds(2);
    Millis failureMemory = Millis::seconds(5);
    /** Share of a decode engine's slots below which it may also read prompts. */
    double decodeHeadroom = 0.6;
    /** Size of the KV cache of one token, and speed between engines. */
    double kvBytesPerToken = 131072;
    double kvBytesPerSecond = 1e10;
    /** Work with a deadline goes to reclaimable upstreams with at least this much slack. */
    Millis reclaimableSlack = Millis::seconds(20);
    /** How much longer the wait may be at a reclaimable upstream before a regular one is taken. */
    Millis reclaimableBonus = Millis::seconds(1);
};

/** What a request in progress holds of the live counters. Kept by the caller until finished(). */
struct RoutingTicket
{
    UpstreamIndex upstream = noIndex;
    UpstreamIndex prefill = noIndex;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /** Prompt tokens that were to be read there before this request's own. */
    std::int64_t queuedAhead = 0;
    /** What the engine is said to read alone; bounds what is learnt. */
    double nominalPrefillRate = 0;
    Millis startedAt;
    bool sawFirstToken = false;
};

/**
    Chooses the upstream for each request, and learns from how requests go.

    Has no state of its own beside the shared LiveLoads and PrefixHints, which are made of
    atomics: all request threads may use one Router at once, each with its own RandomHook. A
    decision allocates nothing.

    A request's life: choose(), started() right before the first byte is sent, firstToken(),
    finished(). Each started() has exactly one finished().
*/
class Router
{
public:
    /** @param preferenceSeed  differs between instances; 0 for no preferences */
    Router(LiveLoads &loads, PrefixHints &hints, RouterOptions options = RouterOptions(),
           std::uint64_t preferenceSeed = 0);

    /**
        Returns where the request should go, or nothing with the reason ("no_upstream").

        @param table  the snapshot in force; must live as long as the call
    */
    std::optional<RoutingChoice> choose(const RoutingRequest &request, const RoutingTable &table,
                                        Millis now, const RandomHook &random,
                                        Reason *lastReason = nullptr) const;

    /** The request is about to be sent. */
    RoutingTicket started(const RoutingRequest &request, const RoutingChoice &choice,
                          const RoutingTable &table, Millis now);

    /** The first token of the answer arrived. */
    void firstToken(RoutingTicket &ticket, Millis now);

    /** The attempt is over. The ticket must not be used again. */
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
