#include "emulation/engine/EmulatedEngine.h"

#include <algorithm>

namespace cuminrail::emulation {

EmulatedEngine::EmulatedEngine(const EngineFigures &figures, EngineStage stage)
    : figures_(&figures), stage_(stage), memory_(figures.memoryTokens)
{ }

std::optional<EngineRefusal> EmulatedEngine::offer(const EngineJob &job)
{
    if (!isAlive_)
        return EngineRefusal::Gone;
    if (orderedStage_)
        return EngineRefusal::Changing;
    if (job.isPrefillOnly != (stage_ == EngineStage::Prefill))
        return EngineRefusal::WrongStage;
    if (static_cast<int>(waiting_.size()) >= figures_->waiting
        || job.chain.tokens > figures_->memoryTokens)
        return EngineRefusal::Full;
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const EngineJob &other) {
        return other.urgency > job.urgency;
    });
    waiting_.insert(place, job);
    return std::nullopt;
}

void EmulatedEngine::cancel(std::uint64_t id)
{
    const auto isWaiting = [id](const EngineJob &job) { return job.id == id; };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), isWaiting), waiting_.end());
    for (auto active = running_.begin(); active != running_.end(); ++active) {
        if (active->job.id != id)
            continue;
        memory_.release(active->reserved);
        running_.erase(active);
        return;
    }
}

bool EmulatedEngine::takeHandle(std::uint64_t id, double now)
{
    expireHandles(now);
    const auto found = handles_.find(id);
    if (!isAlive_ || found == handles_.end())
        return false;
    memory_.release(found->second.tokens);
    handles_.erase(found);
    return true;
}

void EmulatedEngine::expireHandles(double now)
{
    for (auto handle = handles_.begin(); handle != handles_.end();) {
        const bool isExpired = handle->second.expires <= now;
        if (isExpired)
            memory_.release(handle->second.tokens);
        handle = isExpired ? handles_.erase(handle) : std::next(handle);
    }
}

std::vector<std::uint64_t> EmulatedEngine::crash()
{
    std::vector<std::uint64_t> lost;
    for (const EngineJob &job : waiting_)
        lost.push_back(job.id);
    for (const Active &active : running_)
        lost.push_back(active.job.id);
    waiting_.clear();
    running_.clear();
    handles_.clear();
    memory_.clear();
    orderedStage_.reset();
    isAlive_ = false;
    return lost;
}

std::optional<std::vector<std::uint64_t>> EmulatedEngine::orderStage(EngineStage stage)
{
    if (!isAlive_ || orderedStage_ || stage == stage_)
        return std::nullopt;
    orderedStage_ = stage;
    std::vector<std::uint64_t> refused;
    for (const EngineJob &job : waiting_)
        refused.push_back(job.id);
    waiting_.clear();
    return refused;
}

std::optional<double> EmulatedEngine::beginChange()
{
    if (!orderedStage_ || hasWork())
        return std::nullopt;
    return figures_->stageSwitchMs;
}

void EmulatedEngine::endChange()
{
    stage_ = orderedStage_.value_or(stage_);
    orderedStage_.reset();
}

void EmulatedEngine::admit()
{
    while (!waiting_.empty() && static_cast<int>(running_.size()) < figures_->slots) {
        Active active;
        active.job = waiting_.front();
        const double responseTokens = double(active.job.events) * figures_->tokensPerEvent;
        active.reserved = active.job.chain.tokens + (active.job.isPrefillOnly ? 0 : responseTokens);
        if (!memory_.reserve(active.reserved))
            return;
        waiting_.erase(waiting_.begin());
        const double kept = std::max(memory_.held(active.job.chain), active.job.fetchedTokens);
        memory_.touch(active.job.chain);
        active.remainingPrefill =
            active.job.isFetched ? 0 : std::max(1.0, active.job.chain.tokens - kept);
        if (!active.job.isFetched) {
            work_.read += active.remainingPrefill;
            work_.kept += kept;
        }
        running_.push_back(std::move(active));
    }
}

double EmulatedEngine::contextTokens() const
{
    double tokens = 0;
    for (const Active &active : running_)
        tokens += active.job.chain.tokens;
    return tokens;
}

double EmulatedEngine::planPrefill(const Active *&lastPrefill)
{
    const bool isDecode = stage_ == EngineStage::Decode;
    double remainingTokens = figures_->chunkTokens * (isDecode ? figures_->decodeChunkFactor : 1);
    double millis = 0;
    const double rate = figures_->promptTokensPerMs * (isDecode ? figures_->decodeReadFactor : 1);
    for (Active &active : running_) {
        active.planned = std::min(active.remainingPrefill, remainingTokens);
        remainingTokens -= active.planned;
        if (active.planned <= 0)
            continue;
        lastPrefill = &active;
        const double before = active.job.chain.tokens - active.remainingPrefill;
        millis +=
            active.planned / rate + active.planned * before / 1e6 * figures_->pairMsPerMillion;
    }
    return millis;
}

double EmulatedEngine::beginStep(double now)
{
    expireHandles(now);
    admit();
    if (running_.empty())
        return 0;
    const Active *lastPrefill = nullptr;
    const double prefillMs = planPrefill(lastPrefill);
    const auto decoding = std::count_if(running_.begin(), running_.end(), [](const Active &active) {
        return active.remainingPrefill <= 0;
    });
    double millis = prefillMs;
    if (decoding > 0 || stage_ != EngineStage::Prefill)
        millis += figures_->stepMs + figures_->stepMsPerRequest * double(running_.size())
            + figures_->stepMsPerContextThousand * contextTokens() / 1000;
    work_.busyMs += millis;
    work_.stepMsLongest = std::max(work_.stepMsLongest, millis);
    return std::max(millis, 0.1);
}

void EmulatedEngine::advancePrefill(Active &active, double now, std::vector<EngineOutput> &outputs)
{
    active.remainingPrefill -= active.planned;
    if (active.remainingPrefill > 0)
        return;
    memory_.keep(active.job.chain);
    if (!active.job.isPrefillOnly)
        return;
    // The cache stays reserved until it is fetched or expires.
    handles_[active.job.id] = Handle{now + figures_->handleMs, active.reserved};
    active.reserved = 0;
    active.events = active.job.events;
    outputs.push_back({active.job.id, EngineSign::PromptRead, figures_->firstMs});
}

void EmulatedEngine::advanceDecode(Active &active, std::vector<EngineOutput> &outputs) const
{
    ++active.tokens;
    // The first event holds only the first token, since callers wait for it.
    const bool isEventFull =
        active.tokens == 1 || (active.tokens - 1) % figures_->tokensPerEvent == 0;
    if (!isEventFull)
        return;
    ++active.events;
    const double delay = active.events == 1 && !active.job.isFetched ? figures_->firstMs : 0;
    const bool isLast = active.events >= active.job.events;
    outputs.push_back({active.job.id, EngineSign::Event, delay});
    if (isLast)
        outputs.push_back({active.job.id, EngineSign::Done, delay});
}

std::vector<EngineOutput> EmulatedEngine::endStep(double now)
{
    std::vector<EngineOutput> outputs;
    for (Active &active : running_) {
        if (active.remainingPrefill > 0)
            advancePrefill(active, now, outputs);
        else
            advanceDecode(active, outputs);
    }
    for (const Active &active : running_) {
        if (active.events >= active.job.events)
            memory_.release(active.reserved);
    }
    running_.erase(
        std::remove_if(running_.begin(), running_.end(),
                       [](const Active &active) { return active.events >= active.job.events; }),
        running_.end());
    return outputs;
}

} // namespace cuminrail::emulation
