#pragma once

#include "engineview/EngineView.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "routing/ejection/OutlierEjector.h"
#include "routing/leaving/LeavingSet.h"

namespace cuminrail {

/**
    What this instance knows of engines, put where routing reads it.

    Roles and models go into the routing table when they change, loads into the live counters a
    few times a second, leaving upstreams at once.
*/
class EngineService
{
public:
    EngineService(ControlPlane &control, MemberService &members, const EngineControl &engines,
                  const PeerTransport &peers);
    EngineService(const EngineService &) = delete;
    EngineService &operator=(const EngineService &) = delete;

    /** Takes the engines of newer settings. */
    void configure(const Settings &settings);

    /** Marks a life of an upstream as leaving; it gets no new work here from now on. */
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
    std::uint64_t publishedFacts_ = 0;
    bool leavingChanged_ = false;
};

} // namespace cuminrail
