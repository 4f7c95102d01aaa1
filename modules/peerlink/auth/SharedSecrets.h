#pragma once

#include "core/errors/Reason.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The secret shared by all instances of a deployment, and a second one during a rotation.

    Proofs are made with the first; both are accepted. To rotate without downtime: add the new one
    as second line on all instances, then swap the lines on all, then remove the old one.
*/
struct SharedSecrets
{
    static constexpr std::size_t minBytes = 16;
    static constexpr std::size_t maxBytes = 256;

    std::vector<std::string> secrets;

    /** Parses a secrets file's text: one or two lines of 16 to 256 characters. */
    static std::optional<SharedSecrets> fromText(const std::string &text,
                                                 Reason *lastReason = nullptr);
};

} // namespace cuminrail
