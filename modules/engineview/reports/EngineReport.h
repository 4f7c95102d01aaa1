#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <string_view>

namespace cuminrail {

/** Names an engine in reports, in four bytes where its name would take twenty. */
using EngineKey = std::uint32_t;

/** Returns an engine's key. Two engines of one fleet with the same key are told apart by none. */
EngineKey engineKey(const UpstreamId &engine);

/** Returns a number that changes whenever role, models, adapters or incarnation do. */
std::uint32_t factsHash(const EngineState &state);

/**
    One sample of one engine: what changes from second to second.

    Models and adapters change rarely and are long; a report names them by their hash, and who does
    not know the hash asks the sender.
*/
struct EngineReport
{
    EngineKey engine = 0;
    std::uint32_t facts = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    /** When the engine sampled it, by this instance's clock. Travels as an age. */
    Millis sampledAt;
};

} // namespace cuminrail
