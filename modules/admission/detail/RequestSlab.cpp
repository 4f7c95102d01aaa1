#include "admission/detail/RequestSlab.h"

namespace cuminrail::detail {

RequestSlab::Slot RequestSlab::add()
{
    if (free_.empty()) {
        slots_.emplace_back();
        free_.push_back(static_cast<Slot>(slots_.size() - 1));
    }
    const Slot slot = free_.back();
    free_.pop_back();
    const std::uint32_t generation = slots_[slot].generation + 1;
    slots_[slot] = RequestEntry();
    slots_[slot].generation = generation;
    slots_[slot].phase = RequestPhase::Queued;
    return slot;
}

void RequestSlab::remove(Slot slot)
{
    slots_[slot].phase = RequestPhase::Free;
    free_.push_back(slot);
}

AdmissionTicket RequestSlab::ticketOf(Slot slot) const
{
    return (static_cast<AdmissionTicket>(slots_[slot].generation) << 32U) | slot;
}

RequestSlab::Slot RequestSlab::find(AdmissionTicket ticket) const
{
    const auto slot = static_cast<Slot>(ticket & 0xFFFFFFFFU);
    if (slot >= slots_.size() || slots_[slot].phase == RequestPhase::Free)
        return none;
    return slots_[slot].generation == (ticket >> 32U) ? slot : none;
}

} // namespace cuminrail::detail
