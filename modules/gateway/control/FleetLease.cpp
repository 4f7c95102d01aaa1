#include "gateway/control/FleetLease.h"

#include "lease/assignment/DutyAssignment.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *fleetDuty = "fleet";

/**
    A holder that crashed is replaced within the term plus the stagger, soon enough for a usage
    report that is due ten seconds after its window. Two renewals in a row may be lost.
*/
LeaseTiming leaseTiming()
{
    LeaseTiming timing;
    timing.term = Millis(4500);
    timing.renewInterval = Millis(1200);
    timing.pollInterval = Millis(1500);
    timing.margin = Millis(300);
    timing.stagger = Millis(250);
    timing.maxRetryDelay = Millis(1500);
    return timing;
}

} // namespace

FleetLease::FleetLease(const InstanceIncarnation &self, const InstanceRegistry &registry,
                       DutyLease::Hooks hooks)
    : self_(self.instance), registry_(registry), clock_(hooks.clock), random_(hooks.random),
      lease_(fleetDuty, self, leaseTiming(), std::move(hooks)), startedAt_(clock_.now())
{ }

std::optional<std::size_t> FleetLease::rank()
{
    if (rankedRevision_ == registry_.revision())
        return rank_;
    rankedRevision_ = registry_.revision();
    const std::uint32_t ownMilliCores = registry_.instances().front().milliCores;
    std::size_t larger = 0;
    std::vector<InstanceId> equal;
    for (const RegisteredInstance &each : registry_.instances()) {
        if (each.milliCores > ownMilliCores)
            ++larger;
        else if (each.milliCores == ownMilliCores)
            equal.push_back(each.instance);
    }
    rank_.reset();
    if (larger >= candidates)
        return rank_;
    if (const auto amongEqual = DutyAssignment::rank(fleetDuty, self_, equal, candidates - larger))
        rank_ = larger + *amongEqual;
    return rank_;
}

bool FleetLease::isOutsiderCheckDue(Millis now)
{
    const auto instances = static_cast<std::int64_t>(registry_.instances().size());
    const Millis interval = std::max(minOutsiderInterval, outsiderIntervalPerInstance * instances);
    if (nextOutsiderCheckAt_ && now < *nextOutsiderCheckAt_)
        return false;
    // The first poll is spread over the interval, as all instances may have started together.
    const bool isFirst = !nextOutsiderCheckAt_;
    const auto jitter =
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(interval.count()));
    nextOutsiderCheckAt_ = now + (isFirst ? Millis(jitter) : interval);
    return !isFirst;
}

void FleetLease::tick()
{
    const Millis now = clock_.now();
    if (!registry_.isSettled() && now - startedAt_ < maxUnsettledWait)
        return;
    const auto ownRank = rank();
    if (!ownRank && !isHeld() && !isLeaving_ && !isOutsiderCheckDue(now))
        return;
    Candidacy candidacy;
    candidacy.isCandidate = !isLeaving_ && !isBlocked_;
    candidacy.mayAcquire = !isBlocked_;
    candidacy.rank = ownRank.value_or(candidates);
    lease_.tick(candidacy);
}

void FleetLease::release()
{
    isLeaving_ = true;
    lease_.release();
}

void FleetLease::setBlocked(bool isBlocked)
{
    if (isBlocked == isBlocked_)
        return;
    isBlocked_ = isBlocked;
    if (isBlocked && isHeld())
        lease_.release();
}

std::optional<DutyAuthority> FleetLease::authority() const
{
    const Millis now = clock_.now();
    const auto held = lease_.authority(now);
    if (!held || held->notAfter - now < minRemainingTerm)
        return std::nullopt;
    return DutyAuthority{self_.text(), held->fence, held->notAfter, held->heldSince,
                         held->followsEarlierEra};
}

} // namespace cuminrail
