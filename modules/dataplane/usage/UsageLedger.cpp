#include "dataplane/usage/UsageLedger.h"

namespace cuminrail {

void UsageLedger::count(std::int64_t window, const std::string &customer)
{
    ++windows_[window][customer];
    ++changes_;
    while (windows_.size() > keptWindows)
        windows_.erase(windows_.begin());
}

void UsageLedger::add(CustomerCounts &sum, const CustomerCounts &part)
{
    for (const auto &[customer, count] : part)
        sum[customer] += count;
}

} // namespace cuminrail
