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

/** What routing has to know of a request. */
struct RoutingRequest
{
    PoolIndex pool = noIndex;
    CustomerIndex customer = noIndex;
    /** The adapter the request names, or noIndex. */
    AdapterIndex adapter = noIndex;
    /** The failure domain of this instance. */
    DomainIndex domain = noIndex;
    Priority priority = Priority::Standard;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    /** The prompt's prefixes; may be null. Must live until started() has returned. */
    const PrefixChain *prefixes = nullptr;
    /** True when running it twice does no harm. Only such work goes to reclaimable upstreams. */
    bool repeatable = true;
    /** Time until the deadline; Millis::never() for none. */
    Millis slack = Millis::never();
    /** True when the caller of choose() can move a KV cache between engines. */
    bool kvTransfer = false;

    /** Upstreams already tried for this request; choose() avoids them. */
    static constexpr std::size_t maxTried = 6;
    std::array<UpstreamIndex, maxTried> tried{noIndex, noIndex, noIndex, noIndex, noIndex, noIndex};
};

/** Why a request went where it went. */
enum class RoutingReason : std::uint8_t {
    /** The least predicted time among the sampled upstreams. */
    LeastPredictedTime,
    /** It holds a prefix of the prompt, and was not too loaded. */
    PrefixHeld,
    /** Consistent hashing gives the prefix to it, and it was not too loaded. */
    PrefixHome,
    /** The prompt is read at one engine and the answer written at another. */
    Disaggregated,
    /** A decode engine with headroom also reads the prompt. */
    PrefillOnDecode,
    /** Repeatable work with slack, on the team's share of cheaper capacity. */
    Reclaimable,
    /** Too many upstreams were ejected, so ejections were not looked at. */
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

/** Where a request goes. */
struct RoutingChoice
{
    /** Writes the answer; also reads the prompt unless @c prefill is set. */
    UpstreamIndex upstream = noIndex;
    /** Reads the prompt and exports its KV cache to @c upstream; noIndex for none. */
    UpstreamIndex prefill = noIndex;

    RoutingReason reason = RoutingReason::LeastPredictedTime;
    /** Tokens of the prompt that are probably cached there. */
    std::uint32_t cachedTokens = 0;
    /** Predicted time to the first token. */
    Millis predictedFirstToken;
    /** How many upstreams were compared. */
    std::uint32_t compared = 0;
    /** Age of the load report that counted, -1 for none. */
    std::int64_t reportAgeMs = -1;
};

/** Returns the sampled event that explains a choice to an operator. */
Event explainChoice(const RoutingRequest &request, const RoutingChoice &choice,
                    const RoutingTable &table);

} // namespace cuminrail
