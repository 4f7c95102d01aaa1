#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminrail {

enum class TicketStatus : std::uint8_t {
    /** The load may begin now. */
    Granted,
    /** The store's rate is used up; retryAfter says for how long. */
    Later,
    /** No answer. A ticket that was granted unseen is simply not used. */
    Unavailable,
};

inline constexpr NameTable<TicketStatus, 3> ticketStatusNames{{{
    {TicketStatus::Granted, "granted"},
    {TicketStatus::Later, "later"},
    {TicketStatus::Unavailable, "unavailable"},
}}};

struct TicketReply
{
    TicketStatus status = TicketStatus::Unavailable;
    std::string ticket;
    Millis retryAfter;
    Reason lastReason;
};

/** The rate-limited store from which engines load models: who loads asks for a ticket first. */
struct WeightStore
{
    std::function<void(const std::string &model, std::uint64_t bytes,
                       std::function<void(const TicketReply &)>)>
        requestTicket;
};

} // namespace cuminrail
