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
struct BookQuestion
{
    /** The asker's own number, repeated in the answer. */
    std::uint64_t number = 0;
    PromptChain chain;
    std::vector<EngineKey> engines;
};

/** One offer for each engine of the question, in its order. */
struct BookAnswer
{
    std::uint64_t number = 0;
    std::vector<ReadingOffer> offers;
};

/** "I am sending this prompt there." */
struct BookEntry
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    PromptChain chain;
    /** What the engine is expected to read of it. */
    double freshTokens = 0;
    ReadingPace pace;
};

/** An entry's prompt was read, or is not going to be. */
struct BookEnd
{
    std::uint64_t number = 0;
    EngineKey engine = 0;
    bool wasRead = false;
};

using BookMessage = std::variant<BookQuestion, BookAnswer, BookEntry, BookEnd>;

/** Bounds on what a message may hold; a longer prompt is told by its first parts. */
struct BookMessageLimits
{
    static constexpr std::size_t engines = 16;
    static constexpr std::size_t links = 32;
};

/** Encodes a message as a frame for another instance. */
std::string encodeBookMessage(const BookMessage &message);
/** Returns nothing for what is no message of a known format, whole and within bounds. */
std::optional<BookMessage> decodeBookMessage(const std::string &frame);

} // namespace cuminrail
