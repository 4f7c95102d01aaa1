#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"
#include "readingbooks/book/ReadingBook.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Names one life of an engine; instances work it out alike. */
using EngineKey = std::uint64_t;

/** Returns the key of an engine's present life: a restart under the same id is another engine. */
inline EngineKey engineKey(const UpstreamRecord &engine)
{
    const auto startedAt = static_cast<std::uint64_t>(engine.entry.startedAt);
    return StableHash().add(engine.idHash()).add(startedAt).value();
}

/** "What would this prompt meet at these engines?" */
struct PrefillQuery
{
    /** The asker's own number, repeated in the answer. */
    std::uint64_t number = 0;
    PromptChain chain;
    std::vector<EngineKey> engines;
};

/** One offer for each engine of the question, in its order. */
struct PrefillReply
{
    std::uint64_t number = 0;
    std::vector<ReadingOffer> estimates;
};

/** "I am sending this prompt there." */
struct PrefillStart
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    PromptChain chain;
    /** What the engine is expected to read of it. */
    double freshTokens = 0;
    ReadingPace speed;
};

/** An entry's prompt was read, or is not going to be. */
struct BookEnd
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    bool wasPrefilled = false;
};

using PrefillMessage = std::variant<PrefillQuery, PrefillReply, PrefillStart, BookEnd>;

/** Bounds on what a message may hold; a longer prompt is told by its first parts. */
struct PrefillMessageLimits
{
    static constexpr std::size_t engines = 16;
    static constexpr std::size_t links = 32;
};

/** Encodes a message as a frame for another instance. */
std::string encodeBookMessage(const PrefillMessage &message);
/** Returns nothing for what is no message of a known format, whole and within bounds. */
std::optional<PrefillMessage> decodeBookMessage(const std::string &frame);

} // namespace cuminrail
