#include "lease/assignment/DutyAssignment.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace cuminrail {

namespace {

/** FNV-1a with a final mix: gives the same result on every machine, unlike std::hash. */
std::uint64_t weight(const std::string &duty, const InstanceId &instance)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : duty + '\n' + instance.text()) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

std::optional<std::size_t> DutyAssignment::rank(const std::string &duty, const InstanceId &instance,
                                                const std::vector<InstanceId> &live,
                                                std::size_t limit)
{
    const std::uint64_t own = weight(duty, instance);
    std::size_t before = 0;
    for (const InstanceId &other : live) {
        if (other != instance && weight(duty, other) > own)
            ++before;
        if (before >= limit)
            return std::nullopt;
    }
    return before;
}

std::vector<InstanceId> DutyAssignment::order(const std::string &duty, std::vector<InstanceId> live)
{
    std::map<InstanceId, std::uint64_t> weights;
    for (const InstanceId &instance : live)
        weights[instance] = weight(duty, instance);
    std::sort(live.begin(), live.end(), [&](const InstanceId &one, const InstanceId &other) {
        const auto ours = weights.at(one);
        const auto others = weights.at(other);
        return ours != others ? ours > others : one < other;
    });
    return live;
}

std::size_t DutyAssignment::maxDuties(std::size_t duties, std::size_t instances)
{
    const std::size_t sharers = std::max<std::size_t>(instances, 1);
    return (duties + sharers - 1) / sharers + 1;
}

} // namespace cuminrail
