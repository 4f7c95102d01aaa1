#pragma once

#include "admission/budget/BudgetLedger.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "instance/serving/AdmissionDesk.h"

namespace cuminrail {

/**
    Applies customers' limits across all instances: instances lend parts of a limit to each other
    according to demand.

    @see BudgetLedger
*/
class BudgetService
{
public:
    BudgetService(ControlPlane &control, AdmissionDesk &admission, MemberService &members,
                  const PeerTransport &peers, Incarnation incarnation);
    BudgetService(const BudgetService &) = delete;
    BudgetService &operator=(const BudgetService &) = delete;

    /** Applies the customers of new settings. */
    void configure(const Settings &settings);

private:
    BudgetHooks makeHooks(const PeerTransport &peers);
    void updateMembers();

    ControlPlane &control_;
    AdmissionDesk &admission_;
    MemberService &members_;
    BudgetLedger ledger_;
};

} // namespace cuminrail
