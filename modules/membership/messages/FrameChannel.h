#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** The module that handles a frame between instances: the first element of its CBOR array. */
enum class FrameChannel : std::uint8_t {
    Membership = 1,
    ConfigSync = 2,
    /** Budgets of customers' limits, lent between instances. */
    Budgets = 3,
    /** Loads and facts of engines. */
    EngineReports = 4,
};

inline constexpr NameTable<FrameChannel, 4> frameChannelNames{{{
    {FrameChannel::Membership, "membership"},
    {FrameChannel::ConfigSync, "configsync"},
    {FrameChannel::Budgets, "budgets"},
    {FrameChannel::EngineReports, "engine-reports"},
}}};

/** Returns the module that handles a frame, or nothing if the channel is unknown. */
std::optional<FrameChannel> frameChannel(const std::string &frame);

} // namespace cuminrail
