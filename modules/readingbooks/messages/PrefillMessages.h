#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"
#include "readingbooks/tracker/PrefillTracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Identifies one incarnation of an engine; all instances compute the same key. */
using EngineKey = std::uint64_t;

/** Returns the key of an engine's current incarnation: a restart under the same id is another one.
 */
inline EngineKey engineKey(const UpstreamRecord &engine)
{
    const auto startedAt = static_cast<std::uint64_t>(engine.entry.startedAt);
    return StableHash().add(engine.idHash()).add(startedAt).value();
}

/** Requests the estimates for a prompt at some engines. */
struct PrefillQuery
{
    /** Number assigned by the sender of the query, repeated in the reply. */
    std::uint64_t number = 0;
    PromptChain chain;
    std::vector<EngineKey> engines;
};

/** One estimate for each engine of the query, in its order. */
struct PrefillReply
{
    std::uint64_t number = 0;
    std::vector<PrefillEstimate> estimates;
};

/** Announces that a prompt is being sent to an engine. */
struct PrefillStart
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    PromptChain chain;
    /** Estimated number of tokens that the engine will prefill. */
    double freshTokens = 0;
    PrefillRate rate;
};

/** Announces that a prompt was prefilled, or will not be. */
struct PrefillEnd
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    bool wasPrefilled = false;
};

using PrefillMessage = std::variant<PrefillQuery, PrefillReply, PrefillStart, PrefillEnd>;

/** Upper bounds of message fields; of a longer prompt only the first parts are sent. */
struct PrefillMessageLimits
{
    static constexpr std::size_t engines = 16;
    static constexpr std::size_t links = 32;
};

/** Encodes a message as a frame for another instance. */
std::string encodePrefillMessage(const PrefillMessage &message);
/** Returns nothing unless the frame is a complete message of a known format within bounds. */
std::optional<PrefillMessage> decodePrefillMessage(const std::string &frame);

} // namespace cuminrail
