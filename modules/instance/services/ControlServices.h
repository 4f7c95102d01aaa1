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

/** Spans that operators may set for trials; the defaults are for real use. */
struct ControlTiming
{
    Millis usageWindow = Millis::minutes(5);
    Millis usageGrace = Millis::seconds(15);
};

/**
    Everything of an instance that needs the platform or other instances, put together.

    Make it before Instance::start(), destroy it after Instance::shutDown(). All of it runs on the
    control thread; request threads reach it through the snapshot and hooks of ServingContext.
*/
class ControlServices
{
public:
    ControlServices(Instance &instance, PeerService &peers, const ControlTiming &timing);
    ControlServices(const ControlServices &) = delete;
    ControlServices &operator=(const ControlServices &) = delete;

private:
    void settingsChanged(const Settings &settings);
    void upstreamsListed(const std::vector<ListedInstance> &upstreams);
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
