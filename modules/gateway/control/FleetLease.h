#pragma once

#include "gateway/GatewayWire.h"
#include "gateway/control/InstanceRegistry.h"
#include "lease/keeper/DutyLease.h"

#include <optional>

namespace cuminrail {

/**
    This instance's part in the one lease under which duties are done.

    Load: hundreds of instances, each of which might have to take over. The first few by rank look
    at the lease often; the others look now and then, in case that those are all gone, as every look
    is a call that is paid for.
*/
class FleetLease
{
public:
    /** Instances that look at the lease often. */
    static constexpr std::size_t candidates = 3;
    /** How often all others together look, and each of them at least waits. */
    static constexpr Millis outsiderLookEach = Millis(250);
    static constexpr Millis outsiderLookLeast = Millis(2000);
    /** Without a list of instances by then, this one takes part all the same. */
    static constexpr Millis unsettledMost = Millis(4000);
    /** Calls under authority are not begun with less time than a slow answer takes. */
    static constexpr Millis leastAuthority = Millis(1000);

    FleetLease(const InstanceLife &self, const InstanceRegistry &registry, DutyLease::Hooks hooks);

    /** Does what is due; to be called about ten times a second. */
    void tick();
    /** Gives the lease back, and takes it no more. */
    void release();
    bool isHeld() const { return lease_.authority(clock_.now()).has_value(); }
    /** Returns the right to act while it lasts long enough for a call. */
    std::optional<DutyAuthority> authority() const;
    /** Returns true when no write of this instance may still change the lease. */
    bool isQuiet() const { return lease_.isQuiet(); }

private:
    bool isOutsiderLookDue(Millis now);

    InstanceId self_;
    const InstanceRegistry &registry_;
    Clock clock_;
    RandomHook random_;
    DutyLease lease_;
    Millis startedAt_;
    std::optional<Millis> nextOutsiderLook_;
    bool isLeaving_ = false;
};

} // namespace cuminrail
