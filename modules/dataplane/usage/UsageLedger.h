#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cuminrail {

/** Number of requests that began to execute, by customer. */
using CustomerCounts = std::map<std::string, std::uint64_t>;

/**
    Requests that one instance counted in each window of the wall clock. Counts only increase while
    a window is retained, so writing the whole ledger again replaces the stored state and never
    counts a request twice.
*/
class UsageLedger
{
public:
    /**
        Number of retained windows: enough for the reporting instance to read them even if the store
        is unreachable for a while.
    */
    static constexpr std::size_t keptWindows = 12;

    void count(std::int64_t window, const std::string &customer);
    const std::map<std::int64_t, CustomerCounts> &windows() const { return windows_; }
    /** Increases with each count; shows whether there is anything new to write. */
    std::uint64_t changes() const { return changes_; }

    /** Adds the counts of one window of another ledger. */
    static void add(CustomerCounts &sum, const CustomerCounts &part);

private:
    std::map<std::int64_t, CustomerCounts> windows_;
    std::uint64_t changes_ = 0;
};

} // namespace cuminrail
