#include "routing/ejection/OutlierEjector.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::uint32_t maxDoublings = 5;

bool isEjected(const LiveLoads &loads, UpstreamIndex upstream, Millis now)
{
    return loads.upstream(upstream).ejectedUntil.load(std::memory_order_relaxed) > now.count();
}

std::size_t countEjected(const std::vector<UpstreamIndex> &members, const LiveLoads &loads,
                         Millis now)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&](UpstreamIndex index) { return isEjected(loads, index, now); }));
}

const PoolMembers *membersContaining(const RoutingPool &pool, UpstreamIndex upstream)
{
    for (const PoolMembers *members : {&pool.mixed, &pool.prefill, &pool.decode}) {
        if (std::find(members->all.begin(), members->all.end(), upstream) != members->all.end())
            return members;
    }
    return nullptr;
}

} // namespace

OutlierEjector::OutlierEjector(EjectionOptions options, EventSink events)
    : options_(options), events_(std::move(events))
{ }

void OutlierEjector::evaluate(const RoutingTable &table, LiveLoads &loads, Millis now)
{
    for (UpstreamIndex index = 0; index < table.upstreamCount(); ++index) {
        if (!table.upstream(index).takesNewWork || isEjected(loads, index, now))
            continue;
        UpstreamLoad &live = loads.upstream(index);
        if (isOutlier(live)) {
            if (mayEject(table, loads, index, now))
                eject(table, live, index, now);
        } else if (live.successes.load(std::memory_order_relaxed) >= options_.minRequests) {
            live.ejections.store(0, std::memory_order_relaxed);
        }
        const std::uint32_t outcomes = live.successes.load(std::memory_order_relaxed)
            + live.failures.load(std::memory_order_relaxed);
        if (outcomes >= options_.minRequests) {
            live.successes.store(0, std::memory_order_relaxed);
            live.failures.store(0, std::memory_order_relaxed);
        }
    }
}

bool OutlierEjector::isOutlier(const UpstreamLoad &live) const
{
    const std::uint32_t failures = live.failures.load(std::memory_order_relaxed);
    const std::uint32_t all = failures + live.successes.load(std::memory_order_relaxed);
    const bool failsConsecutively =
        live.consecutiveFailures.load(std::memory_order_relaxed) >= options_.consecutiveFailures;
    const bool exceedsFailureShare =
        all >= options_.minRequests && failures >= options_.failureShare * all;
    return failsConsecutively || exceedsFailureShare;
}

bool OutlierEjector::mayEject(const RoutingTable &table, const LiveLoads &loads,
                              UpstreamIndex upstream, Millis now) const
{
    if (!guardEnabled(Guard::EjectionBounded))
        return true;
    const DomainIndex domain = table.upstream(upstream).domain;
    for (PoolIndex index = 0; index < table.poolCount(); ++index) {
        const PoolMembers *members = membersContaining(table.pool(index), upstream);
        if (members == nullptr)
            continue;
        const auto &inDomain = members->byDomain[domain];
        const auto staysWithinBound = [&](const std::vector<UpstreamIndex> &all) {
            const auto ejectedAfter = static_cast<double>(countEjected(all, loads, now) + 1);
            // In a small pool one member may always be ejected, but never the last one.
            const double bound =
                std::max(1.0, options_.maxEjectedShare * static_cast<double>(all.size()));
            return ejectedAfter <= bound && ejectedAfter < static_cast<double>(members->all.size());
        };
        if (!staysWithinBound(members->all) || !staysWithinBound(inDomain))
            return false;
    }
    return true;
}

void OutlierEjector::eject(const RoutingTable &table, UpstreamLoad &live, UpstreamIndex upstream,
                           Millis now)
{
    const std::uint32_t before = live.ejections.fetch_add(1, std::memory_order_relaxed);
    const std::int64_t multiplier = std::int64_t(1) << std::min(before, maxDoublings);
    const Millis duration = std::min(options_.baseDuration * multiplier, options_.maxDuration);
    live.ejectedUntil.store((now + duration).count(), std::memory_order_relaxed);
    const std::uint32_t failures = live.failures.exchange(0, std::memory_order_relaxed);
    const std::uint32_t successes = live.successes.exchange(0, std::memory_order_relaxed);
    // After the ejection a single failure must not complete the earlier run of failures.
    live.consecutiveFailures.store(0, std::memory_order_relaxed);
    events_(Event{&events::upstreamEjected,
                  {{"upstream", table.upstream(upstream).id.text()},
                   {"failures", std::to_string(failures)},
                   {"successes", std::to_string(successes)},
                   {"for_ms", std::to_string(duration.count())}}});
}

} // namespace cuminrail
