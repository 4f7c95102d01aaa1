#include "gateway/control/InstanceGroup.h"

#include "core/hash/StableHash.h"
#include "lease/assignment/DutyAssignment.h"

#include <algorithm>
#include <map>

namespace cuminrail {

namespace {

constexpr const char *feedDuty = "feeds";
constexpr const char *collectDuty = "usage-ledgers";
/** If the store refuses a third of the instances, one owner in 27 must write its own ledger. */
constexpr std::size_t maxCollectors = 3;

using DomainSizes = std::map<std::string, std::size_t>;

/** Returns how many instances with links each failure domain has. */
DomainSizes sizesOf(const std::vector<RegisteredInstance> &instances)
{
    DomainSizes sizes;
    for (const RegisteredInstance &each : instances)
        sizes[each.failureDomain] += each.links.empty() ? 0 : 1;
    return sizes;
}

/** Whether two instances belong together; domains too small for a group of their own have one. */
bool isSameGroup(const RegisteredInstance &one, const RegisteredInstance &other,
                 const DomainSizes &sizes)
{
    if (one.links.empty())
        return false;
    const auto isSmall = [&sizes](const RegisteredInstance &instance) {
        return sizes.at(instance.failureDomain) < InstanceGroup::minSharedSize;
    };
    return one.failureDomain == other.failureDomain || (isSmall(one) && isSmall(other));
}

/** Returns the part of a failure domain that an instance belongs to, of so many parts. */
std::uint64_t partOf(const InstanceId &instance, std::size_t parts)
{
    return StableHash().add(instance.text()).value() % parts;
}

/** Returns the smallest size of a group of @c self in which some act for the others. */
std::size_t minSizeFor(const RegisteredInstance &self, const DomainSizes &sizes)
{
    return sizes.at(self.failureDomain) < InstanceGroup::minSharedSize
        ? InstanceGroup::minMergedSize
        : InstanceGroup::minSharedSize;
}

std::vector<OwnerCandidate> membersOf(const std::vector<RegisteredInstance> &instances,
                                      const RegisteredInstance &self, const DomainSizes &sizes)
{
    const auto size = static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(),
                      [&](const auto &each) { return isSameGroup(each, self, sizes); }));
    const std::size_t parts = size / InstanceGroup::maxSize + 1;
    const std::uint64_t ownPart = partOf(self.instance, parts);
    std::vector<OwnerCandidate> members{{self.instance, {}, self.milliCores}};
    for (const RegisteredInstance &each : instances) {
        if (each.instance != self.instance && isSameGroup(each, self, sizes)
            && partOf(each.instance, parts) == ownPart)
            members.push_back({each.instance, each.links, each.milliCores});
    }
    return members;
}

/** Returns the addresses of the members in the order in which they acquire a duty. */
std::vector<PeerAddress> dutyOrder(const char *duty, const std::vector<OwnerCandidate> &members)
{
    std::vector<InstanceId> names;
    std::map<InstanceId, const OwnerCandidate *> byName;
    for (const OwnerCandidate &member : members) {
        names.push_back(member.instance);
        byName[member.instance] = &member;
    }
    std::vector<InstanceId> order = DutyAssignment::order(duty, std::move(names));
    // Acting for others takes more processor time and bandwidth than a small instance has.
    std::stable_sort(order.begin(), order.end(), [&](const auto &one, const auto &other) {
        return byName.at(one)->milliCores > byName.at(other)->milliCores;
    });
    std::vector<PeerAddress> addresses;
    addresses.reserve(order.size());
    for (const InstanceId &instance : order)
        addresses.push_back(byName.at(instance)->address);
    return addresses;
}

} // namespace

InstanceGroup InstanceGroup::of(const std::vector<RegisteredInstance> &instances,
                                const RegisteredInstance &self)
{
    InstanceGroup group;
    const DomainSizes sizes = sizesOf(instances);
    group.members = membersOf(instances, self, sizes);
    group.isShared = group.members.size() >= minSizeFor(self, sizes) && !self.links.empty();
    if (!group.isShared)
        return group;
    group.watchOrder = dutyOrder(feedDuty, group.members);
    group.collectors = dutyOrder(collectDuty, group.members);
    group.collectors.resize(std::min(group.collectors.size(), maxCollectors));
    return group;
}

} // namespace cuminrail
