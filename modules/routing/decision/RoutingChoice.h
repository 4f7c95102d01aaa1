#pragma once

#include "core/events/Event.h"
#include "core/ids/Indexes.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "routing/prefix/PrefixChain.h"
#include "settings/model/Settings.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminrail {

class RoutingTable;

/** The properties of a request that routing depends on. */
struct RoutingRequest
{
    PoolIndex pool = noIndex;
    CustomerIndex customer = noIndex;
    /** The adapter that the request names, or noIndex. */
    AdapterIndex adapter = noIndex;
    /** The failure domain of this instance. */
    DomainIndex domain = noIndex;
    Priority priority = Priority::Standard;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    /** The prompt's prefix hashes; may be null. Must stay valid until started() has returned. */
    const PrefixChain *prefixes = nullptr;
    /** True when it is safe to run twice. Only such requests go to reclaimable upstreams. */
    bool repeatable = true;
    /** Time until the deadline; Millis::never() for none. */
    Millis slack = Millis::never();
    /** True when the caller of choose() can move a KV cache between engines. */
    bool kvTransfer = false;

    /** Upstreams already tried for this request; choose() avoids them where it can. */
    static constexpr std::size_t maxTried = 6;
    std::array<UpstreamIndex, maxTried> tried{noIndex, noIndex, noIndex, noIndex, noIndex, noIndex};
};

/** Why an upstream was selected. */
enum class RoutingReason : std::uint8_t {
    /** It had the least predicted time among the sampled upstreams. */
    LeastPredictedTime,
    /** It probably has a prefix of the prompt cached, and its load was within the bound. */
    PrefixHeld,
    /** Consistent hashing maps the prefix to it, and its load was within the bound. */
    PrefixHome,
    /** Prefill runs at one engine and decode at another. */
    Disaggregated,
    /** A decode engine with free slots also runs the prefill. */
    PrefillOnDecode,
    /** Repeatable work with slack, within the team's share of reclaimable capacity. */
    Reclaimable,
    /** Too many upstreams were ejected, so ejections were ignored. */
    Panic,
};

inline constexpr NameTable<RoutingReason, 7> routingReasonNames{{{
    {RoutingReason::LeastPredictedTime, "least-predicted-time"},
    {RoutingReason::PrefixHeld, "prefix-held"},
    {RoutingReason::PrefixHome, "prefix-home"},
    {RoutingReason::Disaggregated, "disaggregated"},
    {RoutingReason::PrefillOnDecode, "prefill-on-decode"},
    {RoutingReason::Reclaimable, "reclaimable"},
    {RoutingReason::Panic, "panic"},
}}};

/** The selected upstream of a request, with the figures behind the selection. */
struct RoutingChoice
{
    /** Runs decode; also runs prefill unless @c prefill is set. */
    UpstreamIndex upstream = noIndex;
    /** Runs prefill and exports its KV cache to @c upstream; noIndex when @c upstream does both. */
    UpstreamIndex prefill = noIndex;

    RoutingReason reason = RoutingReason::LeastPredictedTime;
    /** Tokens of the prompt that are probably cached at the engine that runs prefill. */
    std::uint32_t cachedTokens = 0;
    /** Predicted time to the first token. */
    Millis predictedFirstToken;
    /** Number of upstreams compared. */
    std::uint32_t compared = 0;
    /** Age of the upstream's load report, -1 when there is none. */
    std::int64_t reportAgeMs = -1;
};

/** Returns the routing-decision event, which is logged for a sample of requests. */
Event explainChoice(const RoutingRequest &request, const RoutingChoice &choice,
                    const RoutingTable &table);

} // namespace cuminrail
