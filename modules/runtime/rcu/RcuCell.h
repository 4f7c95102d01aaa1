#pragma once

#include "runtime/rcu/RcuReader.h"

#include <atomic>
#include <memory>

namespace cuminrail {

/**
    Holds the current snapshot of something that many threads read and one thread replaces.

    Readers open an RcuReadScope and call get(); they never wait. The publisher waits until no
    reader can hold the former snapshot, then frees it; so publish from the control thread alone.
*/
template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::unique_ptr<const T> initial) : current_(initial.release()) { }
    ~RcuCell() { const std::unique_ptr<const T> last(current_.load()); }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /** Returns the current snapshot, valid within the caller's RcuReadScope. */
    const T &get(const RcuReadScope &) const { return *current_.load(std::memory_order_acquire); }

    /** Puts a new snapshot in place and frees the former one when its last reader has left. */
    void publish(std::unique_ptr<const T> next)
    {
        const std::unique_ptr<const T> former(
            current_.exchange(next.release(), std::memory_order_acq_rel));
        detail::waitForRcuReaders();
    }

private:
    std::atomic<const T *> current_;
};

} // namespace cuminrail
