#include "emulation/run/EngineFleet.h"

#include <algorithm>
#include <cmath>

namespace cuminrail::emulation {

namespace {

constexpr double stageDecisionIntervalMs = 100;
constexpr double idleCheckIntervalMs = 5;
constexpr double crossDomainTransferFactor = 2;

} // namespace

EngineFleet::EngineFleet(const LoadPlan &plan, EventQueue &queue, StagePlanSettings stages,
                         Hooks hooks)
    : plan_(plan), queue_(queue), stages_(stages), hooks_(std::move(hooks))
{
    for (const std::string &domain : plan.domains) {
        const auto prefill =
            std::lround(std::min(plan.prefillShare, 1.0) * double(plan.enginesPerDomain));
        for (int i = 0; i < plan.enginesPerDomain; ++i)
            add(domain, i < prefill ? EngineStage::Prefill : EngineStage::Decode, true);
    }
    for (double at = stageDecisionIntervalMs; at < plan.lengthMs; at += stageDecisionIntervalMs)
        queue_.at(at, [this] { decideStages(); });
    for (const EngineLoss &loss : plan.losses)
        queue_.at(loss.atMs, [this, &loss] { loseEngines(loss); });
}

void EngineFleet::add(const std::string &domain, EngineStage stage, bool isAtStart)
{
    const std::string id = "e-" + domain + "-" + std::to_string(members_.size());
    auto record = std::make_shared<UpstreamRecord>();
    record->entry.id = id;
    record->entry.failureDomain = domain;
    record->entry.stage = stage;
    record->entry.slots = static_cast<std::uint32_t>(plan_.engine.slots);
    members_.push_back(
        std::make_unique<Member>(Member{id, domain, EmulatedEngine(plan_.engine, stage), record}));
    Member &member = *members_.back();
    byId_[id] = &member;
    if (isAtStart)
        known_.push_back(record);
    else
        publish(member);
}

EngineStage EngineFleet::nextAddedStage()
{
    const double share = std::min(plan_.laterPrefillShare, 1.0);
    const double before = std::floor(share * addedLater_++);
    return std::floor(share * addedLater_) > before ? EngineStage::Prefill : EngineStage::Decode;
}

EngineFleet::Member *EngineFleet::find(const std::string &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

bool EngineFleet::isAlive(const std::string &id) const
{
    const auto found = byId_.find(id);
    return found != byId_.end() && !found->second->isGone;
}

void EngineFleet::publish(Member &member)
{
    queue_.after(plan_.listLagMs, [this, &member] {
        member.record->entry.stage = member.engine.stage();
        member.isOrdered = member.isOrdered && member.engine.isChanging();
        const auto place = std::find(known_.begin(), known_.end(), member.record);
        const bool isUsable = !member.isGone && !member.isLeaving;
        if (isUsable && place == known_.end())
            known_.push_back(member.record);
        else if (!isUsable && place != known_.end())
            known_.erase(place);
    });
}

std::optional<EngineRefusal> EngineFleet::offer(const std::string &id, const EngineJob &job)
{
    Member *member = find(id);
    if (member == nullptr || member->isGone)
        return EngineRefusal::Gone;
    const auto refusal = member->engine.offer(job);
    if (!refusal && !member->engine.isStepping)
        step(*member);
    return refusal;
}

double EngineFleet::scheduleTransfer(Member &from, const Member &target, double tokens)
{
    totals_.movedTokens += tokens;
    double millis = tokens * plan_.engine.cacheBytesPerToken * 8 / (plan_.engine.linkMbps * 1000);
    if (from.domain != target.domain)
        millis *= crossDomainTransferFactor;
    from.linkFreeAt = std::max(queue_.now(), from.linkFreeAt) + millis;
    return from.linkFreeAt + plan_.engine.transferSetupMs;
}

std::optional<EngineRefusal>
EngineFleet::offerWithPrefix(const std::string &id, const EngineJob &job, const std::string &source)
{
    Member *target = find(id);
    Member *from = find(source);
    if (target == nullptr || target->isGone)
        return EngineRefusal::Gone;
    EngineJob fetching = job;
    if (from != nullptr && !from->isGone)
        fetching.fetchedTokens = from->engine.memory().held(job.chain);
    const double missing = fetching.fetchedTokens - target->engine.memory().held(job.chain);
    if (missing <= 0)
        return offer(id, job);
    fetching_.insert(job.id);
    queue_.at(scheduleTransfer(*from, *target, missing), [this, target, fetching] {
        if (fetching_.erase(fetching.id) == 0)
            return;
        if (target->isGone || offer(target->id, fetching))
            hooks_.onLost(fetching.id, false);
    });
    return std::nullopt;
}

std::optional<EngineRefusal> EngineFleet::offerFetched(const std::string &id, const EngineJob &job,
                                                       const std::string &source)
{
    Member *target = find(id);
    Member *from = find(source);
    if (target == nullptr || target->isGone)
        return EngineRefusal::Gone;
    const bool isAvailable =
        from != nullptr && !from->isGone && from->engine.takeHandle(job.id, queue_.now());
    if (!isAvailable)
        return EngineRefusal::Full;
    const double arrivesAt = scheduleTransfer(*from, *target, job.chain.tokens);
    fetching_.insert(job.id);
    queue_.at(arrivesAt, [this, target, job] {
        if (fetching_.erase(job.id) == 0)
            return;
        if (target->isGone || offer(target->id, job))
            hooks_.onLost(job.id, false);
    });
    return std::nullopt;
}

void EngineFleet::cancel(const std::string &id, std::uint64_t job)
{
    fetching_.erase(job);
    if (Member *member = find(id))
        member->engine.cancel(job);
}

void EngineFleet::step(Member &member)
{
    const double millis = member.isGone ? 0 : member.engine.beginStep(queue_.now());
    member.engine.isStepping = millis > 0;
    if (millis <= 0)
        return;
    queue_.after(millis, [this, &member] {
        if (member.isGone)
            return;
        for (const EngineOutput &output : member.engine.endStep(queue_.now()))
            queue_.after(output.delayMs, [this, output] { hooks_.onOutput(output); });
        step(member);
    });
}

void EngineFleet::decideStages()
{
    std::vector<StagedEngine> engines;
    for (const UpstreamPointer &record : known_) {
        const Member *member = find(record->entry.id);
        engines.push_back({record->entry.id, record->entry.failureDomain, record->entry.stage,
                           member->isOrdered});
    }
    const Millis now(static_cast<std::int64_t>(queue_.now()));
    for (const StageChange &change : stages_.decide(engines, true, now)) {
        Member *member = find(change.id);
        if (!member->isGone && !member->isOrdered)
            orderStage(*member, change.to);
    }
}

void EngineFleet::orderStage(Member &member, EngineStage stage)
{
    const auto refused = member.engine.orderStage(stage);
    if (!refused)
        return;
    member.isOrdered = true;
    ++totals_.stageChanges;
    for (const std::uint64_t job : *refused)
        hooks_.onLost(job, false);
    changeStageWhenIdle(member);
}

void EngineFleet::changeStageWhenIdle(Member &member)
{
    if (member.isGone)
        return;
    const auto millis = member.engine.beginChange();
    if (!millis) {
        queue_.after(idleCheckIntervalMs, [this, &member] { changeStageWhenIdle(member); });
        return;
    }
    queue_.after(*millis, [this, &member] {
        member.engine.endChange();
        publish(member);
    });
}

std::vector<EngineFleet::Member *> EngineFleet::enginesToLose(const EngineLoss &loss)
{
    std::vector<Member *> found;
    for (const auto &member : members_) {
        const bool isInDomain = loss.domain.empty() || member->domain == loss.domain;
        if (isInDomain && !member->isGone && !member->isLeaving)
            found.push_back(member.get());
    }
    if (!loss.domain.empty()) {
        found.erase(found.begin(), found.begin() + std::min<long>(loss.kept, long(found.size())));
        return found;
    }
    found.resize(std::min<std::size_t>(found.size(), std::size_t(loss.count)));
    return found;
}

void EngineFleet::loseEngines(const EngineLoss &loss)
{
    for (Member *member : enginesToLose(loss)) {
        member->isLeaving = true;
        publish(*member);
        queue_.after(loss.noticeMs, [this, member] { terminateEngine(*member); });
        if (loss.backAfterMs > 0)
            queue_.after(loss.backAfterMs,
                         [this, domain = member->domain] { add(domain, nextAddedStage(), false); });
    }
}

void EngineFleet::terminateEngine(Member &member)
{
    member.isGone = true;
    lostEngineTotals_.readTokens += member.engine.work().read;
    lostEngineTotals_.keptTokens += member.engine.work().kept;
    for (const std::uint64_t job : member.engine.crash())
        hooks_.onLost(job, true);
    publish(member);
}

EngineSample EngineFleet::sample() const
{
    EngineSample sample;
    sample.atMs = queue_.now();
    double reserved = 0;
    double cached = 0;
    double alive = 0;
    for (const auto &member : members_) {
        if (member->isGone)
            continue;
        ++alive;
        const EmulatedEngine &engine = member->engine;
        if (engine.isChanging())
            ++sample.changing;
        else
            ++(engine.stage() == EngineStage::Prefill ? sample.prefill : sample.decode);
        sample.running += engine.running();
        sample.waiting += engine.waiting();
        reserved += engine.memory().reserved();
        cached += engine.memory().cached();
    }
    const double capacity = std::max(1.0, alive * plan_.engine.memoryTokens);
    sample.reservedShare = reserved / capacity;
    sample.cachedShare = cached / capacity;
    return sample;
}

EngineTotals EngineFleet::totals() const
{
    EngineTotals totals = totals_;
    totals.readTokens += lostEngineTotals_.readTokens;
    totals.keptTokens += lostEngineTotals_.keptTokens;
    for (const auto &member : members_) {
        if (member->isGone)
            continue;
        totals.readTokens += member->engine.work().read;
        totals.keptTokens += member->engine.work().kept;
    }
    return totals;
}

} // namespace cuminrail::emulation
