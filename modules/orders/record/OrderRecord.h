#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "ports/engines/EngineControl.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** How far a recorded order has come. */
enum class OrderPhase : std::uint8_t {
    /** May have been sent, may be sent yet. */
    Intended,
    /** The engine has carried it out, or its state shows what it asked for. */
    Done,
    /** It had no effect and can have none any more. */
    NoEffect,
};

inline constexpr NameTable<OrderPhase, 3> orderPhaseNames{{{
    {OrderPhase::Intended, "intended"},
    {OrderPhase::Done, "done"},
    {OrderPhase::NoEffect, "no-effect"},
}}};

/** The value of an object "orders/<engine>": the last order that may have gone to the engine. */
struct OrderRecord
{
    EngineOrder order;
    OrderPhase phase = OrderPhase::Intended;
    /** The instance that wrote the record, for operators. */
    std::string writer;

    bool isSettled() const { return phase != OrderPhase::Intended; }

    /** Returns the JSON text that the store keeps. */
    std::string toText() const;
    /** Reads what the store keeps; nothing, with a reason, when it is no order. */
    static std::optional<OrderRecord> fromText(const UpstreamId &engine, const std::string &text,
                                               Reason *lastReason);

    static std::string path(const UpstreamId &engine) { return "orders/" + engine.text(); }
};

/** Returns true when an engine's state already shows what an order asks for. */
bool stateSatisfies(const EngineState &state, const EngineOrder &order);

} // namespace cuminrail
