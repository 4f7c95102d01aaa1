#pragma once

#include "admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminrail::detail {

enum class RequestPhase : std::uint8_t {
    Free,
    Queued,
    /** Admitted, and its first token has not arrived. */
    Prefill,
    Decode,
};

/** One request from submit() until it ends. */
struct RequestEntry
{
    AdmissionRequest request;
    /** Order of arrival; breaks ties in a queue. */
    std::uint64_t arrival = 0;
    std::uint32_t generation = 0;
    std::uint32_t flow = 0;
    std::uint32_t expectedOutputTokens = 0;
    RequestPhase phase = RequestPhase::Free;
    /** Set when a customer limit has deferred it; the code is used if it expires. */
    bool deferredByLimit = false;
    RefusalCode limitCode = RefusalCode::RateLimited;
    Millis admittedAt;
    Millis firstTokenAt;
    /** Refused when it has not been admitted by then. */
    Millis expiresAt;
    double cost = 0;
};

/**
    Slab of requests, addressed by ticket without hashing or an allocation per request.

    A ticket contains the slot's generation, so a ticket used after the end of its request finds
    nothing instead of another caller's request.
*/
class RequestSlab
{
public:
    using Slot = std::uint32_t;
    static constexpr Slot none = noIndex;

    /** Returns a free slot in phase Queued. */
    Slot add();
    void remove(Slot slot);

    RequestEntry &at(Slot slot) { return slots_[slot]; }
    AdmissionTicket ticketOf(Slot slot) const;

    /** Returns the slot of a ticket, or none when its request has ended. */
    Slot find(AdmissionTicket ticket) const;

    std::size_t memoryBytes() const
    {
        return slots_.capacity() * sizeof(RequestEntry) + free_.capacity() * sizeof(Slot);
    }

private:
    std::vector<RequestEntry> slots_;
    std::vector<Slot> free_;
};

} // namespace cuminrail::detail
