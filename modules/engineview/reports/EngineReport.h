#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <string_view>

namespace cuminrail {

/** Identifies an engine in reports, in four bytes where its name would take twenty. */
using EngineKey = std::uint32_t;

/** Returns an engine's key. Two engines of one fleet whose keys collide cannot be distinguished. */
EngineKey engineKey(const UpstreamId &engine);

/** Returns a hash over incarnation, role, models and adapters. */
std::uint32_t factsHash(const EngineState &state);

/**
    One sample of an engine's state: the part that changes from second to second.

    Models and adapters change rarely and are long, so a report only contains their hash; a receiver
    that does not know the hash queries the sender.
*/
struct EngineReport
{
    EngineKey engine = 0;
    std::uint32_t facts = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    /** Time of the sample, by this instance's clock. Sent as an age. */
    Millis sampledAt;
};

} // namespace cuminrail
