#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** A segment of a prompt that other requests may share. */
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/** Size and parts of a prompt as the caller states them. */
struct PromptShape
{
    std::string model;
    std::uint32_t inputTokens = 0;
    std::uint32_t outputTokensMost = 0;
    /** In order of the prompt; the last part is private to this request or its session. */
    std::vector<PromptPart> parts;
};

/** A caller's request, independent of the wire protocol. */
struct InboundRequest
{
    std::string id;
    /** The caller's time-out, counted from the request's arrival; not set if not stated. */
    std::optional<Millis> timeout;
    /** The caller's key; never logged and never forwarded. */
    std::string key;
    std::optional<PromptShape> prompt;
    /** Number of the last event that the caller received of an earlier, interrupted response. */
    std::optional<std::uint64_t> resumeAfter;
    /** Identity of the caller's request that received the first event of that response. */
    std::optional<std::string> resumes;
};

/** Fields that an instance adds to or changes in a request that it forwards. */
struct OutboundFields
{
    Millis timeLeft;
    std::string upstreamId;
    /** Empty on routes that need no key. */
    std::string customer;
    std::optional<std::uint64_t> resumeAfter;
    /** 0 is the most urgent, 9 the least; not set for an upstream that does not support it. */
    std::optional<int> urgency;
    /** Prefill only: the engine keeps the KV cache for whoever presents the handle. */
    bool prefillOnly = false;
    /** Address and handle under which the prompt's KV cache can be fetched. */
    std::string cacheSource;
    /** Address of an engine from which the cache of the prompt's prefix can be fetched, or empty.
     */
    std::string prefixSource;
};

/** What an upstream's response states besides its status and body. */
struct ResponseTraits
{
    /** The upstream states that it did not execute the request. */
    bool isRefusedUnrun = false;
    /** The address belongs to another upstream than the one named; the request was not executed. */
    bool isOtherUpstream = false;
    /** The upstream authenticated this response, and its body arrived unaltered. */
    bool isVouchedFor = false;
    /** Requests per second that the upstream accepts from all instances together, if stated. */
    std::optional<double> mostPerSecond;
    /** The upstream states that it is leaving and may get no new work. */
    bool isLeaving = false;
    /** The upstream refused the request and asks this instance to send nothing for so long. */
    std::optional<Millis> backoff;
    /** The text that states the time to wait, for logs; also if it cannot be read. */
    std::string backoffText;
};

/** The KV cache of a prompt that a prefill engine keeps to be fetched once. */
struct CacheHandle
{
    std::string id;
    std::uint32_t tokens = 0;
};

} // namespace cuminrail
