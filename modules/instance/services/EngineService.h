#pragma once

#include "engineview/EngineView.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "routing/ejection/OutlierEjector.h"
#include "routing/leaving/LeavingSet.h"

namespace cuminrail {

/**
    Publishes this instance's state of the engines to routing.

    Roles and models enter the routing table when they change, loads enter the live counters several
    times per second, and leaving upstreams take effect immediately.
*/
class EngineService
{
public:
    EngineService(ControlPlane &control, MemberService &members, const EngineControl &engines,
                  const PeerTransport &peers);
    EngineService(const EngineService &) = delete;
    EngineService &operator=(const EngineService &) = delete;

    /** Applies the engines and upstreams of new settings. */
    void configure(const Settings &settings);

    /** Marks an incarnation of an upstream as leaving: this instance routes no new calls to it. */
    void markLeaving(const LeavingUpstream &upstream);

    const ReportTable &table() const { return view_.table(); }

private:
    void publishFactsIfChanged();
    void publishLoads(Millis now);
    nlohmann::json describe() const;

    ControlPlane &control_;
    EngineView view_;
    OutlierEjector ejector_;
    LeavingSet leaving_;
    std::uint64_t publishedFactsRevision_ = 0;
    bool leavingChanged_ = false;
};

} // namespace cuminrail
