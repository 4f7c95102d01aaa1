#pragma once

#include "instance/Instance.h"
#include "instance/services/BudgetService.h"
#include "instance/services/ClaimService.h"
#include "instance/services/DutyService.h"
#include "instance/services/EngineService.h"
#include "instance/services/MemberService.h"
#include "instance/services/PeerService.h"
#include "instance/services/SettingsService.h"
#include "instance/services/UsageService.h"
#include "platform/platform.h"

#include <memory>

namespace cuminrail {

/** Durations that operators may override for trials; the defaults are for production. */
struct ControlTiming
{
    Millis usageWindow = Millis::minutes(5);
    Millis usageGrace = Millis::seconds(15);
};

/**
    Creates and connects all services of an instance that use the platform or other instances.

    Construct it before Instance::start() and destroy it after Instance::shutDown(). All services
    run on the control thread; request threads access them through the snapshot and hooks of
    ServingContext.
*/
class ControlServices
{
public:
    ControlServices(Instance &instance, PeerService &peers, const ControlTiming &timing);
    ControlServices(const ControlServices &) = delete;
    ControlServices &operator=(const ControlServices &) = delete;

private:
    void applySettings(const Settings &settings);
    void handleUpstreamList(const std::vector<ListedInstance> &upstreams);
    void leave(std::function<void()> done);
    std::optional<std::string> engineAddress(const UpstreamId &engine) const;

    ControlPlane &control_;
    InstanceIncarnation self_;
    PlatformClient client_;
    ObjectStore store_;
    EngineControl engineControl_;
    FleetOrdering fleet_;
    PeerService &peers_;
    MemberService members_;
    SettingsService settings_;
    EngineService engines_;
    BudgetService budgets_;
    ClaimService claims_;
    UsageService usage_;
    DutyService duties_;
    std::map<UpstreamId, std::string> engineAddresses_;
};

} // namespace cuminrail
