#include "policybench/policy/InstancePolicy.h"

#include "policybench/policy/BaselinePolicy.h"
#include "policybench/policy/CuminrailPolicy.h"

#include <string>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr std::size_t maxUpstreams = 64;
constexpr std::size_t maxTeams = 8;
constexpr std::size_t maxHintEntries = 16384;

} // namespace

InstancePolicy::InstancePolicy(PolicySetup setup)
    : setup_(std::move(setup)), loads_(maxUpstreams, maxTeams), hints_(maxHintEntries),
      router_(loads_, hints_, {}, nameHash("instance " + std::to_string(setup_.instance)))
{ }

void InstancePolicy::cacheEvents(UpstreamIndex upstream, const std::vector<CacheEvent> &events,
                                 Millis now)
{
    for (const CacheEvent &event : events) {
        if (!cursors_[upstream].accept(event.number))
            hints_.removeUpstream(upstream);
        if (event.stored)
            hints_.stored(event.hash, upstream, now);
        else
            hints_.evicted(event.hash, upstream);
    }
}

AdmissionCapacity InstancePolicy::capacity(const PoolUse &localUse) const
{
    const PoolCapacity whole = table_->capacity(setup_.pool);
    const PoolLoad load = poolLoad(*table_, loads_, setup_.pool);
    return instanceCapacity({whole.slots, whole.prefillTokensPerSecond, whole.decodeTokensPerSecond,
                             setup_.enginePrefillTokensPerSecond},
                            {load.requests, load.promptTokens}, localUse,
                            static_cast<double>(setup_.instances));
}

std::unique_ptr<InstancePolicy> makeInstancePolicy(PolicySetup setup)
{
    if (isCuminrail(setup.kind))
        return std::make_unique<CuminrailPolicy>(std::move(setup));
    return std::make_unique<BaselinePolicy>(std::move(setup));
}

} // namespace cuminrail::policybench
