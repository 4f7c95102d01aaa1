#include "lease/manager/LeaseManager.h"

#include <algorithm>
#include <set>

namespace cuminrail {

namespace {
constexpr Millis refreshInterval{1000};
} // namespace

LeaseManager::LeaseManager(InstanceIncarnation self, const LeaseTiming &timing, Hooks hooks)
    : self_(std::move(self)), timing_(timing), hooks_(std::move(hooks))
{
    const Millis now = hooks_.clock.now();
    const auto width = static_cast<std::uint64_t>(timing_.listInterval.count());
    nextList_ = now + Millis(static_cast<std::int64_t>(hooks_.random() % width));
    nextRebalance_ = now + timing_.rebalanceInterval;
}

void LeaseManager::tick()
{
    const Millis now = hooks_.clock.now();
    if (now >= nextRefresh_)
        refresh(now);
    listIfDue(now);
    rebalanceIfDue(now);
    const bool hasRoom = heldCount(now) < maxDuties_;
    for (auto &[duty, lease] : leases_) {
        if (lease->tick(candidacy(duty, hasRoom, now)))
            nextAcquire_ = now + timing_.acquireInterval;
    }
    for (auto &lease : releasing_)
        lease->tick(Candidacy{false, 0, false, false});
}

void LeaseManager::refresh(Millis now)
{
    nextRefresh_ = now + refreshInterval;
    updateDuties();
    std::vector<InstanceId> live = hooks_.liveMembers();
    if (std::find(live.begin(), live.end(), self_.instance) == live.end())
        live.push_back(self_.instance);
    maxDuties_ = DutyAssignment::maxDuties(leases_.size(), live.size());
    ranks_.clear();
    for (const auto &[duty, lease] : leases_) {
        const auto rank = DutyAssignment::rank(duty, self_.instance, live, timing_.candidates);
        if (rank)
            ranks_[duty] = *rank;
    }
}

void LeaseManager::updateDuties()
{
    const std::vector<std::string> wanted = hooks_.duties();
    const std::set<std::string> wantedSet(wanted.begin(), wanted.end());
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (wantedSet.count(it->first) != 0) {
            ++it;
            continue;
        }
        it->second->release();
        releasing_.push_back(std::move(it->second));
        it = leases_.erase(it);
    }
    releasing_.erase(std::remove_if(releasing_.begin(), releasing_.end(),
                                    [](const auto &lease) { return lease->isQuiet(); }),
                     releasing_.end());
    for (const std::string &duty : wantedSet) {
        if (leases_.count(duty) != 0)
            continue;
        DutyLease::Hooks hooks{hooks_.store, hooks_.clock, hooks_.random, hooks_.events, {}, {}};
        hooks.onLeaseAcquired = [this, duty](const Authority &authority) {
            if (hooks_.onLeaseAcquired)
                hooks_.onLeaseAcquired(duty, authority);
        };
        hooks.onLeaseLost = [this, duty] {
            if (hooks_.onLeaseLost)
                hooks_.onLeaseLost(duty);
        };
        leases_[duty] = std::make_unique<DutyLease>(duty, self_, timing_, std::move(hooks));
    }
}

Candidacy LeaseManager::candidacy(const std::string &duty, bool hasRoom, Millis now) const
{
    Candidacy candidacy;
    const auto rank = ranks_.find(duty);
    candidacy.isCandidate = rank != ranks_.end();
    candidacy.rank = candidacy.isCandidate ? rank->second : timing_.candidates;
    candidacy.hasRoom = hasRoom;
    const auto cooldown = cooldownUntil_.find(duty);
    const bool isCoolingDown = cooldown != cooldownUntil_.end() && now < cooldown->second;
    candidacy.mayAcquire = !stopping_ && !isCoolingDown && now >= nextAcquire_;
    return candidacy;
}

void LeaseManager::listIfDue(Millis now)
{
    if (listing_ || stopping_ || now < nextList_)
        return;
    listing_ = true;
    nextList_ = now + timing_.listInterval;
    hooks_.store.list("leases/", [this](const StoreReply &reply) { listed(reply); });
}

void LeaseManager::listed(const StoreReply &reply)
{
    listing_ = false;
    if (reply.status != StoreStatus::Ok)
        return;
    for (const StoreObject &object : reply.objects) {
        const auto lease = leases_.find(object.path.substr(DutyLease::path("").size()));
        if (lease != leases_.end())
            lease->second->observe(object);
    }
}

void LeaseManager::rebalanceIfDue(Millis now)
{
    if (stopping_ || now < nextRebalance_)
        return;
    nextRebalance_ = now + timing_.rebalanceInterval;
    const std::vector<std::string> heldDuties = held(now);
    if (heldDuties.size() <= maxDuties_)
        return;
    // Releases a duty for which others rank before this instance, so that it does not come straight
    // back.
    std::string released = heldDuties.front();
    std::size_t highestRank = 0;
    for (const std::string &duty : heldDuties) {
        const auto rank = ranks_.find(duty);
        const std::size_t rankValue = rank == ranks_.end() ? timing_.candidates : rank->second;
        if (rankValue > highestRank) {
            released = duty;
            highestRank = rankValue;
        }
    }
    cooldownUntil_[released] = now + timing_.rebalanceCooldown;
    leases_.at(released)->release();
}

std::optional<Authority> LeaseManager::authority(const std::string &duty, Millis now) const
{
    const auto lease = leases_.find(duty);
    if (lease == leases_.end())
        return std::nullopt;
    return lease->second->authority(now);
}

std::vector<std::string> LeaseManager::held(Millis now) const
{
    std::vector<std::string> duties;
    for (const auto &[duty, lease] : leases_) {
        if (lease->authority(now))
            duties.push_back(duty);
    }
    return duties;
}

std::size_t LeaseManager::heldCount(Millis now) const
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(), [now](const auto &entry) {
            return entry.second->authority(now).has_value();
        }));
}

void LeaseManager::stop()
{
    stopping_ = true;
    for (auto &[duty, lease] : leases_)
        lease->release();
}

bool LeaseManager::isStopped() const
{
    return stopping_ && std::all_of(leases_.begin(), leases_.end(), [](const auto &entry) {
               return entry.second->isQuiet();
           });
}

std::vector<LeaseManager::View> LeaseManager::view(Millis now) const
{
    std::vector<View> views;
    for (const auto &[duty, lease] : leases_)
        views.push_back(View{duty, lease->lastSeen(), lease->authority(now)});
    return views;
}

} // namespace cuminrail
