#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** A piece of a prompt that other requests may have in common. */
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/** What a caller says of its prompt. */
struct PromptShape
{
    std::string model;
    std::uint32_t inputTokens = 0;
    std::uint32_t outputTokensMost = 0;
    /** In order; the last belongs to this request or its session alone. */
    std::vector<PromptPart> parts;
};

/** A caller's request, without what only concerns the wire. */
struct InboundRequest
{
    std::string id;
    /** How long the caller waits, from when the request arrived; nothing if it does not say. */
    std::optional<Millis> patience;
    /** The caller's key; never logged, never passed on. */
    std::string key;
    std::optional<PromptShape> prompt;
    /** The last event that the caller has of an earlier, broken answer. */
    std::optional<std::uint64_t> resumeAfter;
};

/** What an instance adds to or changes in a request that it passes on. */
struct OutboundFields
{
    Millis timeLeft;
    std::string upstreamId;
    /** Empty on routes that need no key. */
    std::string customer;
    std::optional<std::uint64_t> resumeAfter;
    /** 0 is the most urgent, 9 the least; nothing for an upstream that knows no urgency. */
    std::optional<int> urgency;
    /** Only read the prompt, and keep its cache for whoever brings the handle. */
    bool prefillOnly = false;
    /** Where the prompt's cache can be fetched: address and handle. */
    std::string cacheSource;
    /** The address of an engine from which the prompt's first parts can be fetched, or empty. */
    std::string prefixSource;
};

/** What an upstream's answer says besides its status and body. */
struct AnswerTraits
{
    /** The upstream states that it did not run the request. */
    bool isRefusedUnrun = false;
    /** Another upstream than the one named has this address; it did not run the request either. */
    bool isOtherUpstream = false;
    /** The upstream vouches for this answer, and its body came as the upstream made it. */
    bool isVouchedFor = false;
    /** Requests a second that the upstream takes from all instances together, while it says so. */
    std::optional<double> mostPerSecond;
};

/** A prompt's cache that waits at a prefill engine to be fetched once. */
struct CacheHandle
{
    std::string id;
    std::uint32_t tokens = 0;
};

} // namespace cuminrail
