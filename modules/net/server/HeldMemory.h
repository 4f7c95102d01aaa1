#pragma once

#include "net/server/ServerLoad.h"

#include <cstdint>
#include <memory>
#include <utility>

namespace cuminrail {

/** A part of the memory that callers hold together, given back by the destructor. */
class HeldMemory
{
public:
    explicit HeldMemory(std::shared_ptr<ServerLoad> load) : load_(std::move(load)) { }
    ~HeldMemory() { set(0); }
    // The load is copied, not moved: a connection needs it for its next request.
    // NOLINTBEGIN(performance-move-constructor-init)
    HeldMemory(HeldMemory &&other) noexcept
        : load_(other.load_), bytes_(std::exchange(other.bytes_, 0)),
          isOversized_(std::exchange(other.isOversized_, false))
    { }
    // NOLINTEND(performance-move-constructor-init)
    HeldMemory(const HeldMemory &) = delete;
    HeldMemory &operator=(const HeldMemory &) = delete;
    HeldMemory &operator=(HeldMemory &&) = delete;

    /** Sets the size of this part. */
    void set(std::uint64_t bytes)
    {
        // Wraps around for a part that becomes smaller, as does the sum.
        if (bytes != bytes_ && !isOversized_)
            load_->heldBytes.fetch_add(bytes - bytes_, std::memory_order_relaxed);
        bytes_ = bytes;
        if (bytes == 0 && std::exchange(isOversized_, false))
            load_->hasOversized.store(false, std::memory_order_relaxed);
    }
    std::uint64_t bytes() const { return bytes_; }

    /** Counts this part apart from the sum until it is given back; returns false if another is. */
    bool countApart()
    {
        if (isOversized_)
            return true;
        if (load_->hasOversized.exchange(true, std::memory_order_relaxed))
            return false;
        load_->heldBytes.fetch_sub(bytes_, std::memory_order_relaxed);
        isOversized_ = true;
        return true;
    }
    bool isCountedApart() const { return isOversized_; }

private:
    std::shared_ptr<ServerLoad> load_;
    std::uint64_t bytes_ = 0;
    bool isOversized_ = false;
};

} // namespace cuminrail
