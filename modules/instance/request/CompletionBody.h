#pragma once

#include "core/errors/Reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/** The completion endpoint that a body was sent to. */
enum class CompletionKind : std::uint8_t {
    Chat,
    Text,
};

/** The parsed fields of a completion request; the body itself is forwarded unchanged. */
struct CompletionBody
{
    std::string model;
    bool isStream = false;
    /** The caller's max_tokens or max_completion_tokens; 0 when not given. */
    std::uint32_t maxTokens = 0;
    /** All text of the prompt or messages in order, for token estimates and prefix hashes. */
    std::string promptText;
};

/** Maximum nesting depth of objects and arrays; deeper bodies are rejected. */
inline constexpr std::size_t maxJsonDepth = 32;

/**
    Parses a completion request's body in one pass, without building a document tree.

    Rejects a body that is not UTF-8 JSON, is nested too deeply, or has a wrong type or a duplicate
    key among the fields that are parsed. With a duplicate key, the engine might use the other
    value, so that the customer's access would be checked for a different model than the one that
    runs.
*/
std::optional<CompletionBody> readCompletionBody(CompletionKind kind, std::string_view text,
                                                 Reason *lastReason);

} // namespace cuminrail
