#include "policybench/policy/CuminrailPolicy.h"

#include <string>
#include <utility>
#include <vector>

namespace cuminrail::policybench {

namespace {

constexpr Millis teamDecayInterval = Millis::minutes(1);

InstanceId instanceName(std::size_t instance)
{
    return InstanceId(std::to_string(instance));
}

} // namespace

CuminrailPolicy::CuminrailPolicy(PolicySetup setup)
    : InstancePolicy(std::move(setup)), ejector_({}, ignoreEvents())
{
    admission_.configure(*setup_.settings, now_);
    ledger_ = std::make_unique<BudgetLedger>(instanceName(setup_.instance), 1, BudgetOptions(),
                                             budgetHooks(), setup_.random);
    std::vector<InstanceId> members;
    for (std::size_t i = 0; i < setup_.instances; ++i)
        members.push_back(instanceName(i));
    ledger_->setMembers(members, now_);
    ledger_->setCustomers(setup_.settings->customers, now_);
    exchange_ = std::make_unique<LoadExchange>(
        instanceName(setup_.instance), 1, LoadExchangeOptions(),
        [this](const InstanceId &to, const std::string &frame) {
            setup_.sendLoads(static_cast<std::size_t>(std::stoul(to.text())), frame);
        });
    if (setup_.kind != PolicyKind::CuminrailReportsOnly)
        exchange_->setPeers(members);
}

BudgetHooks CuminrailPolicy::budgetHooks()
{
    BudgetHooks hooks;
    hooks.send = [this](const InstanceId &to, const std::string &frame) {
        setup_.send(static_cast<std::size_t>(std::stoul(to.text())), frame);
    };
    hooks.use = [this](CustomerIndex customer) { return admission_.customerUse(customer, now_); };
    hooks.setShare = [this](CustomerIndex customer, const LocalShare &share) {
        admission_.setLocalShare(customer, share, now_);
    };
    hooks.takeCredit = [this](CustomerIndex customer, const LocalShare &wanted) {
        return admission_.takeCredit(customer, wanted, now_);
    };
    hooks.addCredit = [this](CustomerIndex customer, const LocalShare &credit) {
        setup_.changed(admission_.addCredit(customer, credit, now_));
    };
    return hooks;
}

AdmissionDecision CuminrailPolicy::submit(const AdmissionRequest &request, Millis now)
{
    return admission_.submit(request, now);
}

AdmissionChanges CuminrailPolicy::firstToken(AdmissionTicket ticket, Millis now)
{
    return admission_.firstToken(ticket, now);
}

AdmissionChanges CuminrailPolicy::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                           Millis now)
{
    return admission_.finished(ticket, outputTokens, now);
}

AdmissionChanges CuminrailPolicy::cancel(AdmissionTicket ticket, Millis now)
{
    return admission_.cancel(ticket, now);
}

AdmissionChanges CuminrailPolicy::tick(Millis now)
{
    exchange_->poll(loads_, now);
    return admission_.tick(now);
}

void CuminrailPolicy::control(Millis now)
{
    now_ = now;
    admission_.setCapacity(setup_.pool, capacity(admission_.use(setup_.pool)));
    ejector_.evaluate(*table_, loads_, now);
    ledger_->poll(now);
    if (now - decayedAt_ >= teamDecayInterval) {
        decayedAt_ = now;
        loads_.decayTeams();
    }
}

std::optional<RoutingChoice> CuminrailPolicy::choose(const RoutingRequest &request, Millis now)
{
    return router_.choose(request, *table_, now, setup_.random);
}

void CuminrailPolicy::receiveLoads(const std::string &frame, Millis now)
{
    exchange_->handleFrame(frame, loads_, now);
}

void CuminrailPolicy::receive(const std::string &frame, Millis now)
{
    now_ = now;
    ledger_->handleFrame(frame, now);
}

} // namespace cuminrail::policybench
