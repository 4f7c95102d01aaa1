#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** Which module a frame between instances is for: the first element of its CBOR array. */
enum class FrameChannel : std::uint8_t {
    Membership = 1,
    ConfigSync = 2,
    /** Budgets of customers' limits, lent between instances. */
    Budgets = 3,
    /** Engines' loads and facts. */
    EngineReports = 4,
};

inline constexpr NameTable<FrameChannel, 4> frameChannelNames{{{
    {FrameChannel::Membership, "membership"},
    {FrameChannel::ConfigSync, "configsync"},
    {FrameChannel::Budgets, "budgets"},
    {FrameChannel::EngineReports, "engine-reports"},
}}};

/** Returns which module a frame is for, or nothing for a frame that is for none. */
std::optional<FrameChannel> frameChannel(const std::string &frame);

} // namespace cuminrail
