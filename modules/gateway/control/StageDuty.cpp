#include "gateway/control/StageDuty.h"

#include "core/events/EventCatalogue.h"
#include "gateway/request/UpstreamStatements.h"

namespace cuminrail {

namespace {

/** After a change, the engine's entry in the store shows the new stage within this time. */
constexpr Millis listingDelay = Millis(2500);
/** The fleet counts as under load if a request arrived within this time. */
constexpr Millis loadWindow = Millis(3000);
/** A new holder waits until the last orders of the previous holder have arrived. */
constexpr Millis takeoverDelay = Millis(1500);

} // namespace

StageDuty::StageDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority)
    : context_(context), authority_(std::move(authority))
{ }

void StageDuty::tick()
{
    const Millis now = context_.now();
    if (context_.counters.requests != lastRequestCount_) {
        lastRequestCount_ = context_.counters.requests;
        lastRequestAt_ = now;
    }
    if (!authority_() || context_.index == nullptr) {
        authorityGainedAt_ = Millis::never();
        return;
    }
    if (authorityGainedAt_ == Millis::never())
        authorityGainedAt_ = now;
    if (now - authorityGainedAt_ < takeoverDelay)
        return;
    for (auto it = pending_.begin(); it != pending_.end();)
        it = now >= it->second.expiresAt ? pending_.erase(it) : std::next(it);
    for (const Service &service : context_.index->configuration().services) {
        if (service.engine)
            decideService(service, now);
    }
}

void StageDuty::decideService(const Service &service, Millis now)
{
    const bool isUnderLoad = lastRequestAt_ && now - *lastRequestAt_ < loadWindow;
    std::vector<StagedEngine> engines;
    for (const UpstreamPointer &engine : context_.directory.usable(service.name)) {
        const auto pending = pending_.find(engine->entry.id);
        if (pending != pending_.end() && pending->second.to == engine->entry.stage
            && now - pending->second.startedAt > service.engine->roleSwitch)
            pending_.erase(pending);
        // An engine that asked for a pause wants no orders either.
        const bool isChanging = pending_.count(engine->entry.id) > 0
            || context_.backoffs.remaining(engine->incarnation(), now);
        // Engines that do both prefill and decode are not changed.
        if (engine->entry.stage != EngineStage::Whole)
            engines.push_back({engine->entry.id, engine->entry.failureDomain, engine->entry.stage,
                               isChanging, engine->entry.softwareVersion});
    }
    const StagePlan fresh(context_.settings.decisions.stages);
    StagePlan &plan = plans_.try_emplace(service.name, fresh).first->second;
    plan.setInstances(instances_);
    for (const StageChange &change : plan.decide(engines, isUnderLoad, now))
        order(context_.directory.find(change.id), change, service);
}

void StageDuty::order(const UpstreamPointer &engine, const StageChange &change,
                      const Service &service)
{
    const Millis now = context_.now();
    pending_[change.id] =
        PendingOrder{change.to, now + service.engine->roleSwitch + listingDelay, now};
    context_.events(
        Event{&events::roleChangeDecided,
              {{"engine", change.id}, {"to", std::string(engineStageNames.name(change.to))}}});
    context_.wire.fetchEngineReport(
        engine->entry,
        [this, engine, to = change.to](const auto &reply) { onEngineReply(engine, to, reply); });
}

void StageDuty::onEngineReply(const UpstreamPointer &engine, EngineStage to,
                              const EngineReply &reply)
{
    recordStatements(context_, *engine, reply.traits);
    const std::string &id = engine->entry.id;
    const auto &report = reply.report;
    const auto authority = authority_();
    if (!report || !authority || report->isBusy || report->stage == to || engine->isLeaving)
        return orderEnded(
            id, DutyResult::Refused,
            {"engine",
             "is unreachable, busy, leaving or in this stage already, or the lease ended"});
    context_.wire.orderStage(
        engine->entry, to, report->ordersAccepted, *authority,
        [this, engine](DutyResult result, const Reason &reason, const ResponseTraits &traits) {
            recordStatements(context_, *engine, traits);
            orderEnded(engine->entry.id, result, reason);
        });
}

void StageDuty::orderEnded(const std::string &id, DutyResult result, const Reason &reason)
{
    context_.events(
        Event{result == DutyResult::Unknown ? &events::orderInDoubt : &events::orderSettled,
              {{"engine", id},
               {"result", std::string(dutyResultNames.name(result))},
               {"reason", reason.toString()}}});
    // An engine with an order in doubt is excluded from plans until the order expires.
    if (result == DutyResult::Refused)
        pending_.erase(id);
}

} // namespace cuminrail
