#include "instance/services/ClaimService.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickPeriod{50};

ClaimManager::Config configOf(const ControlPlane &control, Incarnation incarnation)
{
    ClaimManager::Config config;
    config.instance = control.context().config.instanceId;
    config.incarnation = incarnation;
    return config;
}

} // namespace

ClaimService::ClaimService(ControlPlane &control, const ObjectStore &store, Incarnation incarnation,
                           ClaimManager::IncarnationEndedHook isGone)
    : control_(control),
      keeper_(configOf(control, incarnation), store, seededRandom(std::random_device()()),
              control.context().events, std::move(isGone))
{
    ClaimHooks &hooks = control_.context().claims;
    hooks.begin = [this](const ClaimRequest &request, const ClaimManager::Completion &completion) {
        control_.thread().post([this, request, completion] { keeper_.begin(request, completion); });
    };
    hooks.finish = [this](const std::string &token, const ClaimOutcome &outcome) {
        control_.thread().post([this, token, outcome] { keeper_.finish(token, outcome); });
    };
    control_.addTick(tickPeriod, [this](Millis now) { keeper_.tick(now); });
    control_.addState("claims", [this] {
        return nlohmann::json{{"waiting", keeper_.waitingDecisions()},
                              {"ends_to_write", keeper_.pendingWrites()}};
    });
    // An instance that went before its claims' ends are written would leave lodged bundles whose
    // repeats hear "may have run" instead of their answer.
    control_.addStopHook([this](std::function<void()> done) {
        control_.pollUntil([this] { return keeper_.pendingWrites() == 0; }, std::move(done));
    });
}

} // namespace cuminrail
