#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cuminrail {

/** Requests that began to run, by customer. */
using CustomerCounts = std::map<std::string, std::uint64_t>;

/**
    What one instance counted in each window of the wall clock. Counts only grow while a window is
    kept, so writing the whole ledger again replaces the older state and never adds to it.
*/
class UsageLedger
{
public:
    /** Windows kept: long enough to be read by whoever reports them, with the store away a while.
     */
    static constexpr std::size_t keptWindows = 12;

    void count(std::int64_t window, const std::string &customer);
    const std::map<std::int64_t, CustomerCounts> &windows() const { return windows_; }
    /** Rises with each count; tells whether there is something new to write. */
    std::uint64_t changes() const { return changes_; }

    /** Adds another ledger's figures of one window. */
    static void add(CustomerCounts &sum, const CustomerCounts &part);

private:
    std::map<std::int64_t, CustomerCounts> windows_;
    std::uint64_t changes_ = 0;
};

} // namespace cuminrail
