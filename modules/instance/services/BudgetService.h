#pragma once

#include "admission/budget/BudgetLedger.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "instance/serving/AdmissionDesk.h"

namespace cuminrail {

/**
    Customers' limits over all instances: parts are lent between instances to where the demand is.

    @see BudgetLedger
*/
class BudgetService
{
public:
    BudgetService(ControlPlane &control, AdmissionDesk &admission, MemberService &members,
                  const PeerTransport &peers, Incarnation incarnation);
    BudgetService(const BudgetService &) = delete;
    BudgetService &operator=(const BudgetService &) = delete;

    /** Takes the customers of newer settings. */
    void configure(const Settings &settings);

private:
    BudgetHooks hooksFor(const PeerTransport &peers);
    void membersChanged();

    ControlPlane &control_;
    AdmissionDesk &admission_;
    MemberService &members_;
    BudgetLedger ledger_;
};

} // namespace cuminrail
