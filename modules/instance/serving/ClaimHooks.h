#pragma once

#include "dispatch/claims/ClaimManager.h"

#include <functional>

namespace cuminrail {

/**
    How request threads reach the claims that the control thread keeps.

    Both may be called from any request thread; begin() answers once, on any thread. Without them
    every call that needs a claim is refused as claims_unavailable.
*/
struct ClaimHooks
{
    std::function<void(const ClaimRequest &, ClaimManager::Completion)> begin;
    std::function<void(const std::string &token, const ClaimOutcome &)> finish;
};

} // namespace cuminrail
