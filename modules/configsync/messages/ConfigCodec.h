#pragma once

#include "configsync/messages/ConfigMessages.h"

#include <optional>
#include <string>

namespace cuminrail {

/** Returns the frame of a message, for FrameChannel::ConfigSync. */
std::string encodeConfig(const ConfigMessage &message);

/** Reads a frame strictly; a malformed one gives nothing. @see decodeMembership */
std::optional<ConfigMessage> decodeConfig(const std::string &frame);

} // namespace cuminrail
