#include "routing/ejection/OutlierEjector.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::uint32_t maximumDoublings = 5;

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

const PoolMembers *membersHolding(const RoutingPool &pool, UpstreamIndex upstream)
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
        UpstreamLive &live = loads.upstream(index);
        if (isBad(live)) {
            if (mayEject(table, loads, index, now))
                eject(table, live, index, now);
        } else if (live.successes.load(std::memory_order_relaxed) >= options_.minimumRequests) {
            live.ejections.store(0, std::memory_order_relaxed);
        }
        const std::uint32_t seen = live.successes.load(std::memory_order_relaxed)
            + live.failures.load(std::memory_order_relaxed);
        if (seen >= options_.minimumRequests) {
            live.successes.store(0, std::memory_order_relaxed);
            live.failures.store(0, std::memory_order_relaxed);
        }
    }
}

bool OutlierEjector::isBad(const UpstreamLive &live) const
{
    const std::uint32_t failures = live.failures.load(std::memory_order_relaxed);
    const std::uint32_t all = failures + live.successes.load(std::memory_order_relaxed);
    const bool inARow =
        live.consecutiveFailures.load(std::memory_order_relaxed) >= options_.consecutiveFailures;
    const bool byShare = all >= options_.minimumRequests && failures >= options_.failureShare * all;
    return inARow || byShare;
}

bool OutlierEjector::mayEject(const RoutingTable &table, const LiveLoads &loads,
                              UpstreamIndex upstream, Millis now) const
{
    if (!guardEnabled(Guard::EjectionBounded))
        return true;
    const DomainIndex domain = table.upstream(upstream).domain;
    for (PoolIndex index = 0; index < table.poolCount(); ++index) {
        const PoolMembers *members = membersHolding(table.pool(index), upstream);
        if (members == nullptr)
            continue;
        const auto &inDomain = members->byDomain[domain];
        const auto within = [&](const std::vector<UpstreamIndex> &all) {
            const auto after = static_cast<double>(countEjected(all, loads, now) + 1);
            // One of a few may always go, but never the last.
            const double bound =
                std::max(1.0, options_.maximumShare * static_cast<double>(all.size()));
            return after <= bound && after < static_cast<double>(members->all.size());
        };
        if (!within(members->all) || !within(inDomain))
            return false;
    }
    return true;
}

void OutlierEjector::eject(const RoutingTable &table, UpstreamLive &live, UpstreamIndex upstream,
                           Millis now)
{
    const std::uint32_t before = live.ejections.fetch_add(1, std::memory_order_relaxed);
    const std::int64_t factor = std::int64_t(1) << std::min(before, maximumDoublings);
    const Millis time = std::min(options_.baseTime * factor, options_.maximumTime);
    live.ejectedUntil.store((now + time).count(), std::memory_order_relaxed);
    const std::uint32_t failures = live.failures.exchange(0, std::memory_order_relaxed);
    const std::uint32_t successes = live.successes.exchange(0, std::memory_order_relaxed);
    // After the ejection a single failure must not count as the old row of failures.
    live.consecutiveFailures.store(0, std::memory_order_relaxed);
    events_(Event{&events::upstreamEjected,
                  {{"upstream", table.upstream(upstream).id.text()},
                   {"failures", std::to_string(failures)},
                   {"successes", std::to_string(successes)},
                   {"for_ms", std::to_string(time.count())}}});
}

} // namespace cuminrail
