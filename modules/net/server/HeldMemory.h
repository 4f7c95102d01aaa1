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
        : load_(other.load_), bytes_(std::exchange(other.bytes_, 0))
    { }
    // NOLINTEND(performance-move-constructor-init)
    HeldMemory(const HeldMemory &) = delete;
    HeldMemory &operator=(const HeldMemory &) = delete;
    HeldMemory &operator=(HeldMemory &&) = delete;

    /** Sets the size of this part. */
    void set(std::uint64_t bytes)
    {
        // Wraps around for a part that becomes smaller, as does the sum.
        if (bytes != bytes_)
            load_->heldBytes.fetch_add(bytes - bytes_, std::memory_order_relaxed);
        bytes_ = bytes;
    }
    std::uint64_t bytes() const { return bytes_; }

private:
    std::shared_ptr<ServerLoad> load_;
    std::uint64_t bytes_ = 0;
};

} // namespace cuminrail
