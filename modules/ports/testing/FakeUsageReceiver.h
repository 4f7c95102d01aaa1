#pragma once

#include "ports/testing/FakeNetwork.h"
#include "ports/usage/UsageReceiver.h"

#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** One report as the platform received it. */
struct ReceivedReport
{
    Millis when;
    std::string from;
    UsageReport report;
    bool accepted = false;
};

/** The platform's interface that takes usage reports; endpoint "usage". Records everything. */
class FakeUsageReceiver
{
public:
    static constexpr const char *endpoint = "usage";

    explicit FakeUsageReceiver(FakeNetwork &network) : network_(network) { }
    FakeUsageReceiver(const FakeUsageReceiver &) = delete;
    FakeUsageReceiver &operator=(const FakeUsageReceiver &) = delete;

    UsageReceiver port(const FakeProcessPtr &process);
    const std::vector<ReceivedReport> &received() const { return received_; }

private:
    bool accept(const std::string &from, const UsageReport &report);

    FakeNetwork &network_;
    /** By the window's team: the highest fence seen. */
    std::map<std::string, FenceNumber> fences_;
    std::vector<ReceivedReport> received_;
};

} // namespace cuminrail
