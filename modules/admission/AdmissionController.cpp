#include "admission/AdmissionController.h"

#include "admission/detail/AdmissionState.h"

namespace cuminrail {

AdmissionController::AdmissionController(AdmissionOptions options)
    : state_(std::make_unique<detail::AdmissionState>(options))
{ }

AdmissionController::~AdmissionController() = default;

void AdmissionController::configure(const AdmissionSettings &settings, Millis now)
{
    state_->configure(settings, now);
}

void AdmissionController::setCapacity(PoolIndex pool, const AdmissionCapacity &capacity)
{
    state_->pool(pool).capacity = capacity;
}

PoolUse AdmissionController::use(PoolIndex pool) const
{
    const detail::Pool &state = state_->pool(pool);
    return {state.running, state.prefillTokens};
}

void AdmissionController::setLocalShare(CustomerIndex customer, const LocalShare &share, Millis now)
{
    state_->customer(customer).limiter.setShare(share, now);
}

AdmissionDecision AdmissionController::submit(const AdmissionRequest &request, Millis now)
{
    return state_->submit(request, now);
}

AdmissionChanges AdmissionController::firstToken(AdmissionTicket ticket, Millis now)
{
    return state_->firstToken(ticket, now);
}

AdmissionChanges AdmissionController::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                               Millis now)
{
    return state_->finished(ticket, outputTokens, now);
}

AdmissionChanges AdmissionController::cancel(AdmissionTicket ticket, Millis now)
{
    return state_->cancel(ticket, now);
}

AdmissionChanges AdmissionController::tick(Millis now)
{
    return state_->tick(now);
}

std::size_t AdmissionController::queued() const
{
    return state_->queuedCount();
}

std::size_t AdmissionController::running() const
{
    return state_->runningCount();
}

CustomerUse AdmissionController::customerUse(CustomerIndex customer, Millis now)
{
    detail::Customer &state = state_->customer(customer);
    CustomerUse use;
    use.running = state.limiter.running();
    use.queued = state.queued;
    use.requestsPerSecond = state.requestRate.perSecond(now);
    use.tokensPerSecond = state.tokenRate.perSecond(now);
    use.shortOfBudget = state.shortOfBudget;
    state.shortOfBudget = false;
    return use;
}

LocalShare AdmissionController::takeCredit(CustomerIndex customer, const LocalShare &wanted,
                                           Millis now)
{
    return state_->customer(customer).limiter.takeCredit(wanted, now);
}

AdmissionChanges AdmissionController::addCredit(CustomerIndex customer, const LocalShare &credit,
                                                Millis now)
{
    AdmissionChanges changes;
    state_->customer(customer).limiter.addCredit(credit, now);
    state_->retryDeferred(customer, changes, now);
    return changes;
}

std::size_t AdmissionController::memoryBytes() const
{
    return state_->memoryBytes();
}

} // namespace cuminrail
