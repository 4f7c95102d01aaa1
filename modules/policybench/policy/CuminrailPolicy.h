#pragma once

#include "policybench/policy/InstancePolicy.h"

namespace cuminrail::policybench {

/** Runs the project's own admission, routing and budget modules as an instance does. */
class CuminrailPolicy : public InstancePolicy
{
public:
    explicit CuminrailPolicy(PolicySetup setup);

    AdmissionDecision submit(const AdmissionRequest &request, Millis now) override;
    AdmissionChanges firstToken(AdmissionTicket ticket, Millis now) override;
    AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                              Millis now) override;
    AdmissionChanges cancel(AdmissionTicket ticket, Millis now) override;
    AdmissionChanges tick(Millis now) override;
    void control(Millis now) override;
    std::optional<RoutingChoice> choose(const RoutingRequest &request, Millis now) override;
    void receive(const std::string &frame, Millis now) override;
    void receiveLoads(const std::string &frame, Millis now) override;
    void tableChanged() override { exchange_->setTable(*table_); }

private:
    BudgetHooks budgetHooks();

    AdmissionController admission_;
    OutlierEjector ejector_;
    std::unique_ptr<BudgetLedger> ledger_;
    std::unique_ptr<LoadExchange> exchange_;
    Millis now_;
    Millis decayedAt_;
};

} // namespace cuminrail::policybench
