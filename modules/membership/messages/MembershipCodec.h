#pragma once

#include "membership/messages/MembershipMessages.h"

#include <optional>
#include <string>

namespace cuminrail {

/** Encodes a message as a frame. */
std::string encodeMembership(const MembershipMessage &message);

/**
    Decodes a frame strictly: if any element is missing, superfluous, of another type or out of
    range, the whole frame is rejected.
*/
std::optional<MembershipMessage> decodeMembership(const std::string &frame);

} // namespace cuminrail
