#include "gateway/control/StageDuty.h"

#include "core/events/EventCatalogue.h"

namespace cuminrail {

namespace {

/** The engine's new stage is in the store's list this long after it has changed, at the latest. */
constexpr Millis listDelay = Millis(2500);
/** With a request in this time the fleet counts as being under load. */
constexpr Millis loadSpan = Millis(3000);
/** A new holder waits until orders that the former one sent at its end have arrived. */
constexpr Millis takeOverPause = Millis(1500);

} // namespace

StageDuty::StageDuty(RelayContext &context, std::function<std::optional<DutyAuthority>()> authority)
    : context_(context), authority_(std::move(authority))
{ }

void StageDuty::tick()
{
    const Millis now = context_.now();
    if (context_.counters.requests != requestsSeen_) {
        requestsSeen_ = context_.counters.requests;
        requestAt_ = now;
    }
    if (!authority_() || context_.index == nullptr) {
        heldSince_ = Millis::never();
        return;
    }
    if (heldSince_ == Millis::never())
        heldSince_ = now;
    if (now - heldSince_ < takeOverPause)
        return;
    for (auto it = pending_.begin(); it != pending_.end();)
        it = now >= it->second.until ? pending_.erase(it) : std::next(it);
    for (const Service &service : context_.index->configuration().services) {
        if (service.engine)
            decideService(service, now);
    }
}

void StageDuty::decideService(const Service &service, Millis now)
{
    const bool isUnderLoad = requestAt_ && now - *requestAt_ < loadSpan;
    std::vector<StagedEngine> engines;
    for (const UpstreamPointer &engine : context_.directory.usable(service.name)) {
        const auto pending = pending_.find(engine->entry.id);
        if (pending != pending_.end() && pending->second.to == engine->entry.stage
            && now - pending->second.startedAt > service.engine->roleSwitch)
            pending_.erase(pending);
        // Engines that do everything are left as they are.
        if (engine->entry.stage != EngineStage::Whole)
            engines.push_back({engine->entry.id, engine->entry.failureDomain, engine->entry.stage,
                               pending_.count(engine->entry.id) > 0});
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
    pending_[change.id] = Pending{change.to, now + service.engine->roleSwitch + listDelay, now};
    context_.events(
        Event{&events::roleChangeDecided,
              {{"engine", change.id}, {"to", std::string(engineStageNames.name(change.to))}}});
    context_.wire.readEngine(engine->entry, [this, engine, to = change.to](const auto &report) {
        reportRead(engine, to, report);
    });
}

void StageDuty::reportRead(const UpstreamPointer &engine, EngineStage to,
                           const std::optional<EngineReportBrief> &report)
{
    const std::string &id = engine->entry.id;
    const auto authority = authority_();
    if (!report || !authority || report->isBusy || report->stage == to || engine->isLeaving)
        return done(id, DutyResult::Refused, {"engine", "is not to be ordered now"});
    context_.wire.orderStage(
        engine->entry, to, report->ordersAccepted, *authority,
        [this, id](DutyResult result, const Reason &reason) { done(id, result, reason); });
}

void StageDuty::done(const std::string &id, DutyResult result, const Reason &reason)
{
    context_.events(
        Event{result == DutyResult::Unknown ? &events::orderInDoubt : &events::orderSettled,
              {{"engine", id},
               {"result", std::string(dutyResultNames.name(result))},
               {"reason", reason.toString()}}});
    // An order in doubt keeps the engine out of further plans until its time is over.
    if (result == DutyResult::Refused)
        pending_.erase(id);
}

} // namespace cuminrail
