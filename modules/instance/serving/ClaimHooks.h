#pragma once

#include "dispatch/claims/ClaimManager.h"

#include <functional>

namespace cuminrail {

/**
    Access of request threads to the claims that are managed on the control thread.

    Both hooks may be called from any request thread. begin() calls its completion once, on any
    thread. If the hooks are not set, each call that needs a claim is refused as
    claims_unavailable.
*/
struct ClaimHooks
{
    std::function<void(const ClaimRequest &, ClaimManager::Completion)> begin;
    std::function<void(const std::string &token, const ClaimOutcome &)> finish;
};

} // namespace cuminrail
