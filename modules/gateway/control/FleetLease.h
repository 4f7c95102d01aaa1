#pragma once

#include "gateway/GatewayProtocol.h"
#include "gateway/control/InstanceRegistry.h"
#include "lease/manager/DutyLease.h"

#include <optional>

namespace cuminrail {

/**
    This instance's participation in the single lease under which the fleet's duties are performed.

    Load: hundreds of instances, each of which may have to take over. The first few by rank poll the
    lease often; the largest come first, as the holder's work grows with the number of all. The
   others poll it rarely, in case all of those are gone, as every poll is a billed call of the
   store.
*/
class FleetLease
{
public:
    /** Number of instances that poll the lease often. */
    static constexpr std::size_t candidates = 3;
    /** Poll interval of all other instances together, and the minimum interval of each of them. */
    static constexpr Millis outsiderIntervalPerInstance = Millis(250);
    static constexpr Millis minOutsiderInterval = Millis(2000);
    /** If the list of instances is not known by then, this instance takes part without it. */
    static constexpr Millis maxUnsettledWait = Millis(4000);
    /** No call is begun with less of the lease remaining than a slow response takes. */
    static constexpr Millis minRemainingTerm = Millis(1000);

    FleetLease(const InstanceIncarnation &self, const InstanceRegistry &registry,
               DutyLease::Hooks hooks);

    /** Polls, renews or takes the lease when due; to be called about ten times a second. */
    void tick();
    /** The whole system starts for the first time. */
    void setFirstStart() { lease_.setFirstStart(); }
    /** Call with a later era that the store stated. */
    void noteEra(StoreEra era) { lease_.noteEra(era); }
    /** Releases the lease and does not take it again. */
    void release();
    /** Releases the lease, and takes no part until this is reset. */
    void setBlocked(bool isBlocked);
    bool isHeld() const { return lease_.authority(clock_.now()).has_value(); }
    /** Returns the authority of the lease if enough of its term remains for a call. */
    std::optional<DutyAuthority> authority() const;
    /** Returns true when no write of this instance can change the lease any more. */
    bool isQuiet() const { return lease_.isQuiet(); }

private:
    bool isOutsiderCheckDue(Millis now);
    /** Returns this instance's rank among the candidates, if it is one. */
    std::optional<std::size_t> rank();

    InstanceId self_;
    const InstanceRegistry &registry_;
    Clock clock_;
    RandomHook random_;
    DutyLease lease_;
    Millis startedAt_;
    std::optional<Millis> nextOutsiderCheckAt_;
    bool isLeaving_ = false;
    bool isBlocked_ = false;
    /** The rank, and the revision of the list of instances from which it was computed. */
    std::optional<std::size_t> rank_;
    std::uint64_t rankedRevision_ = 0;
};

} // namespace cuminrail
