#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** What an engine does of a request: reading the prompt, writing the answer, or both. */
enum class EngineRole : std::uint8_t {
    Mixed,
    Prefill,
    Decode,
    /** The engine takes no work, for instance while it changes role. */
    None,
};

inline constexpr NameTable<EngineRole, 4> engineRoleNames{{{
    {EngineRole::Mixed, "mixed"},
    {EngineRole::Prefill, "prefill"},
    {EngineRole::Decode, "decode"},
    {EngineRole::None, "none"},
}}};

enum class EngineOrderKind : std::uint8_t {
    ChangeRole,
    LoadModel,
    LoadAdapter,
    Drain,
};

inline constexpr NameTable<EngineOrderKind, 4> engineOrderKindNames{{{
    {EngineOrderKind::ChangeRole, "change-role"},
    {EngineOrderKind::LoadModel, "load-model"},
    {EngineOrderKind::LoadAdapter, "load-adapter"},
    {EngineOrderKind::Drain, "drain"},
}}};

/** Rises with every new holder of a duty; an upstream that checks it refuses lower ones. */
using FenceNumber = std::uint64_t;

/** An order to one engine. The target is a role's name, or "model@version", or an adapter. */
struct EngineOrder
{
    UpstreamId engine;
    /** Unique for ever; the engine reports the last one it carried out. */
    std::string orderId;
    FenceNumber fence = 0;
    EngineOrderKind kind = EngineOrderKind::ChangeRole;
    std::string target;
    /**
        The sender's authority ends at this instant of its own clock. The adapter looks at the
        clock again when it writes the bytes and answers NotSent when it is too late, and closes
        the connection at this instant.
    */
    Millis notAfter = Millis::never();
};

enum class OrderStatus : std::uint8_t {
    /** The engine has the order and carries it out; its state says when it is done. */
    Accepted,
    /** The engine refused it, having seen a higher fence or being unable to. It had no effect. */
    Refused,
    /** It never left this machine. It had no effect. */
    NotSent,
    /** No answer came. It may take effect, now or later. */
    Unknown,
};

inline constexpr NameTable<OrderStatus, 4> orderStatusNames{{{
    {OrderStatus::Accepted, "accepted"},
    {OrderStatus::Refused, "refused"},
    {OrderStatus::NotSent, "not-sent"},
    {OrderStatus::Unknown, "unknown"},
}}};

struct OrderReply
{
    OrderStatus status = OrderStatus::Unknown;
    Reason lastReason;
};

/** What an engine says of itself. */
struct EngineState
{
    UpstreamId engine;
    Incarnation incarnation = 0;
    EngineRole role = EngineRole::Mixed;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /** The last order that was carried out whole, empty after a crash lost it. */
    std::string lastOrderId;
    /** The order being carried out, or empty. */
    std::string currentOrderId;
    FenceNumber highestFence = 0;
    /** Requests that run and that wait there, from all instances. */
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** How long before this answer the engine sampled its load; it lags. */
    Millis loadAge;
};

/** Orders to engines and their state. */
struct EngineControl
{
    std::function<void(const EngineOrder &, std::function<void(const OrderReply &)>)> send;
    std::function<void(const UpstreamId &, std::function<void(const std::optional<EngineState> &)>)>
        readState;
};

} // namespace cuminrail
