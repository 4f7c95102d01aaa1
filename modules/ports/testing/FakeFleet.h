#pragma once

#include "ports/fleet/FleetOrdering.h"
#include "ports/testing/FakeNetwork.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/** One declared target as the platform received it. */
struct ReceivedTarget
{
    Millis when;
    std::string from;
    FleetTarget target;
    bool accepted = false;
};

/** The platform's interface that orders upstreams, and its lagging list; endpoint "fleet". */
class FakeFleet
{
public:
    static constexpr const char *endpoint = "fleet";

    explicit FakeFleet(FakeNetwork &network) : network_(network) { }
    FakeFleet(const FakeFleet &) = delete;
    FakeFleet &operator=(const FakeFleet &) = delete;

    FleetOrdering port(const FakeProcessPtr &process);

    /** Returns what the platform has for a zone; may be changed by tests. */
    FleetStatus &status(const FailureDomainId &domain, CostClass costClass);
    /** What listInstances() shows; it lags as far as the test lets it. */
    std::vector<ListedInstance> listed;
    const std::vector<ReceivedTarget> &received() const { return received_; }

private:
    bool accept(const std::string &from, const FleetTarget &target);

    FakeNetwork &network_;
    std::map<std::pair<FailureDomainId, CostClass>, FleetStatus> zones_;
    std::vector<ReceivedTarget> received_;
};

} // namespace cuminrail
