#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** Progress of a recorded order. */
enum class OrderPhase : std::uint8_t {
    /** May have been sent, or may still be sent. */
    Intended,
    /** The engine has executed it, or its state already matches the order. */
    Done,
    /** It had no effect and can no longer have one. */
    NoEffect,
};

inline constexpr NameTable<OrderPhase, 3> orderPhaseNames{{{
    {OrderPhase::Intended, "intended"},
    {OrderPhase::Done, "done"},
    {OrderPhase::NoEffect, "no-effect"},
}}};

/**
    The value of the object "orders/<engine>": the last order that may have been sent to the engine.
*/
struct OrderRecord
{
    EngineOrder order;
    OrderPhase phase = OrderPhase::Intended;
    /** The instance that wrote the record, for operators. */
    std::string writer;

    bool isSettled() const { return phase != OrderPhase::Intended; }

    /** Returns the JSON text to store. */
    std::string toText() const;
    /** Parses a stored text. Returns nothing, with a reason, if it is not a valid order. */
    static std::optional<OrderRecord> fromText(const UpstreamId &engine, const std::string &text,
                                               Reason *lastReason);

    static std::string path(const UpstreamId &engine) { return "orders/" + engine.text(); }
};

/** Returns whether the state of an engine already matches an order. */
bool stateSatisfies(const EngineState &state, const EngineOrder &order);

} // namespace cuminrail
