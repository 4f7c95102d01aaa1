#pragma once

#include "membership/messages/MembershipMessages.h"

#include <optional>
#include <string>

namespace cuminrail {

/** Returns the frame of a message. */
std::string encodeMembership(const MembershipMessage &message);

/**
    Reads a frame strictly: any element that is missing, left over, of another type or out of
    bounds makes the whole frame nothing, so that it changes nothing.
*/
std::optional<MembershipMessage> decodeMembership(const std::string &frame);

} // namespace cuminrail
