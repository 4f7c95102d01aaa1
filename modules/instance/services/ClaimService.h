#pragma once

#include "dispatch/claims/ClaimManager.h"
#include "instance/control/ControlPlane.h"
#include "ports/store/ObjectStore.h"

namespace cuminrail {

/**
    Claims of non-repeatable calls: managed on the control thread, requested from request threads.

    @see ClaimManager
*/
class ClaimService
{
public:
    ClaimService(ControlPlane &control, const ObjectStore &store, Incarnation incarnation,
                 ClaimManager::IncarnationEndedHook hasEnded);
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

private:
    ControlPlane &control_;
    ClaimManager manager_;
};

} // namespace cuminrail
