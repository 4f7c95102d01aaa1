#pragma once

#include "dataplane/dataplane.h"
#include "net/http/HttpHead.h"
#include "net/upstream/ResponseBudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One send to one upstream, with the response received so far. */
struct RelayAttempt
{
    UpstreamPointer upstream;
    /** Set for prompts. */
    std::optional<EngineChoice> choice;
    /** A prefill engine computes the prompt's KV cache for the engine that will decode. */
    bool isPrefill = false;
    /** The engine has processed the prompt. */
    bool isPrefillDone = false;
    /** Counted in this instance's estimate of the upstream's load. */
    bool isCounted = false;
    Millis sentAt;
    /** When the response's head arrived. */
    Millis headAt;
    int status = 0;
    /** The response bears the request's identity. */
    bool isIdentified = false;
    ResponseTraits traits;
    std::vector<HttpHeader> headers;
    /** Of the headers. */
    std::size_t headMemory = 0;
    std::string body;
    /** What the response takes here. */
    ResponseShare memory;
    /** Of a body that is not needed. */
    std::size_t ignoredBytes = 0;
    bool isStreaming = false;
    /** The stream goes on after events that the caller has, and none of these responses' events
        has shown yet where. */
    bool mustShowPosition = false;
    /** The highest number of its events. */
    std::optional<std::uint64_t> lastEvent;
    /** The response is not the upstream's own, malformed or too large: it is not relayed. */
    bool isInvalid = false;
    /** Why the response is not the rest of the one that the caller has begun to receive. */
    std::string mismatch;
};

} // namespace cuminrail
