#pragma once

#include "admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminrail::detail {

enum class RequestPhase : std::uint8_t {
    Free,
    Queued,
    /** Admitted, and its prompt not yet read. */
    Reading,
    Writing,
};

/** One request between submit() and its end. */
struct HeldRequest
{
    AdmissionRequest request;
    /** Order of arrival, to tell equal places in a queue apart. */
    std::uint64_t arrival = 0;
    std::uint32_t generation = 0;
    std::uint32_t flow = 0;
    std::uint32_t expectedOutputTokens = 0;
    RequestPhase phase = RequestPhase::Free;
    /** Set while the customer's limit holds it back: the code it is refused with in the end. */
    bool limited = false;
    RefusalCode limitCode = RefusalCode::RateLimited;
    Millis admittedAt;
    Millis firstTokenAt;
    /** It is hopeless when not admitted by then. */
    Millis giveUpAt;
    double cost = 0;
};

/**
    Requests by ticket, without hashing or an allocation each.

    A ticket carries the slot's generation, so that one used after its end finds nothing instead
    of another caller's request.
*/
class RequestSlab
{
public:
    using Slot = std::uint32_t;
    static constexpr Slot none = noIndex;

    /** Returns a free slot in phase Queued. */
    Slot add();
    void remove(Slot slot);

    HeldRequest &at(Slot slot) { return slots_[slot]; }
    AdmissionTicket ticketOf(Slot slot) const;

    /** Returns the slot of a ticket, or none when it is over. */
    Slot find(AdmissionTicket ticket) const;

    std::size_t memoryBytes() const
    {
        return slots_.capacity() * sizeof(HeldRequest) + free_.capacity() * sizeof(Slot);
    }

private:
    std::vector<HeldRequest> slots_;
    std::vector<Slot> free_;
};

} // namespace cuminrail::detail
