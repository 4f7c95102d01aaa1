#pragma once

#include "core/errors/Reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/** Which of the two completion calls a body belongs to. */
enum class CompletionKind : std::uint8_t {
    Chat,
    Text,
};

/** What an instance reads of a completion request; the body itself is passed on as it came. */
struct CompletionBody
{
    std::string model;
    bool isStream = false;
    /** The caller's max_tokens or max_completion_tokens; 0 when not given. */
    std::uint32_t maxTokens = 0;
    /** All text of the prompt or the messages, in order: for estimates and prefix hashes. */
    std::string promptText;
};

/** Objects and arrays within each other beyond which a body is refused. */
inline constexpr std::size_t maxJsonDepth = 32;

/**
    Reads a completion request's body in one pass that builds no tree.

    Refuses what is not UTF-8 JSON, nests too deep, has wrong types in the fields that it reads,
    or names one of them twice: the engine might take the other one, and the customer would be
    checked for a model that does not run.
*/
std::optional<CompletionBody> readCompletionBody(CompletionKind kind, std::string_view text,
                                                 Reason *lastReason);

} // namespace cuminrail
