#pragma once

#include "configsync/messages/ConfigMessages.h"

#include <optional>
#include <string>

namespace cuminrail {

/** Encodes a message as a frame of FrameChannel::ConfigSync. */
std::string encodeConfig(const ConfigMessage &message);

/** Decodes a frame strictly; returns nothing if it is malformed. @see decodeMembership */
std::optional<ConfigMessage> decodeConfig(const std::string &frame);

} // namespace cuminrail
