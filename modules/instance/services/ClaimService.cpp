#include "instance/services/ClaimService.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickInterval{50};

ClaimManager::Config managerConfig(const ControlPlane &control, Incarnation incarnation)
{
    ClaimManager::Config config;
    config.instance = control.context().config.instanceId;
    config.incarnation = incarnation;
    return config;
}

} // namespace

ClaimService::ClaimService(ControlPlane &control, const ObjectStore &store, Incarnation incarnation,
                           ClaimManager::IncarnationEndedHook hasEnded)
    : control_(control),
      manager_(managerConfig(control, incarnation), store, seededRandom(std::random_device()()),
               control.context().events, std::move(hasEnded))
{
    ClaimHooks &hooks = control_.context().claims;
    hooks.begin = [this](const ClaimRequest &request, const ClaimManager::Completion &completion) {
        control_.thread().post(
            [this, request, completion] { manager_.begin(request, completion); });
    };
    hooks.finish = [this](const std::string &token, const ClaimOutcome &outcome) {
        control_.thread().post([this, token, outcome] { manager_.finish(token, outcome); });
    };
    control_.addTick(tickInterval, [this](Millis now) { manager_.tick(now); });
    control_.addState("claims", [this] {
        return nlohmann::json{{"waiting", manager_.waitingDecisions()},
                              {"ends_to_write", manager_.pendingWrites()}};
    });
    // If the instance stopped before the outcomes of its claims are written, duplicates of
    // completed calls, such as lodged bundles, would get "may have run" instead of their response.
    control_.addStopHook([this](std::function<void()> done) {
        control_.pollUntil([this] { return manager_.pendingWrites() == 0; }, std::move(done));
    });
}

} // namespace cuminrail
