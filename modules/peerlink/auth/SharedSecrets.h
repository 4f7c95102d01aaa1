#pragma once

#include "core/errors/Reason.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The secret that all instances of a deployment share, and during a rotation a second one.

    The first is used to prove, both are accepted. To rotate without a stop: add the new one as
    second line everywhere, then exchange the lines everywhere, then remove the old one.
*/
struct SharedSecrets
{
    static constexpr std::size_t minBytes = 16;
    static constexpr std::size_t maxBytes = 256;

    std::vector<std::string> secrets;

    /** Reads a secrets file's text: one or two lines of 16 to 256 characters. */
    static std::optional<SharedSecrets> fromText(const std::string &text,
                                                 Reason *lastReason = nullptr);
};

} // namespace cuminrail
