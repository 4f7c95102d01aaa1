#include "gateway/control/InstanceGroup.h"

#include "lease/assignment/DutyAssignment.h"

#include <algorithm>
#include <map>

namespace cuminrail {

namespace {

constexpr const char *feedDuty = "feeds";
constexpr const char *collectDuty = "usage-ledgers";
/** If the store refuses a third of the instances, one owner in 27 must write its own ledger. */
constexpr std::size_t maxCollectors = 3;

} // namespace

InstanceGroup InstanceGroup::of(const std::vector<RegisteredInstance> &instances,
                                const RegisteredInstance &self)
{
    std::vector<InstanceId> domain;
    std::map<InstanceId, PeerAddress> links;
    for (const RegisteredInstance &instance : instances) {
        if (instance.failureDomain != self.failureDomain || instance.links.empty())
            continue;
        domain.push_back(instance.instance);
        links[instance.instance] = instance.instance == self.instance ? "" : instance.links;
    }
    InstanceGroup group;
    group.isShared = domain.size() >= minSharedSize;
    if (!group.isShared)
        return group;
    for (const InstanceId &instance : DutyAssignment::order(feedDuty, domain))
        group.watchOrder.push_back(links.at(instance));
    for (const InstanceId &instance : DutyAssignment::order(collectDuty, domain))
        group.collectors.push_back(links.at(instance));
    group.collectors.resize(std::min(group.collectors.size(), maxCollectors));
    return group;
}

} // namespace cuminrail
