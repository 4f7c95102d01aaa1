#pragma once

#include "dispatch/claims/ClaimManager.h"
#include "instance/control/ControlPlane.h"
#include "ports/store/ObjectStore.h"

namespace cuminrail {

/**
    Claims of non-repeatable calls: kept on the control thread, asked from request threads.

    @see ClaimKeeper
*/
class ClaimService
{
public:
    ClaimService(ControlPlane &control, const ObjectStore &store, Incarnation incarnation,
                 ClaimManager::IncarnationEndedHook isGone);
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

private:
    ControlPlane &control_;
    ClaimManager keeper_;
};

} // namespace cuminrail
