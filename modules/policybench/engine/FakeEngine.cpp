#include "policybench/engine/FakeEngine.h"

#include <algorithm>

namespace cuminrail::policybench {

double PrefixCache::use(const PrefixChain &chain)
{
    double hitTokens = 0;
    bool contiguous = true;
    double previousEnd = 0;
    std::vector<std::pair<std::uint64_t, double>> parts;
    for (const PrefixPoint &point : chain) {
        contiguous = contiguous && entries_.count(point.hash) > 0;
        if (contiguous)
            hitTokens = point.tokens;
        parts.emplace_back(point.hash, point.tokens - previousEnd);
        previousEnd = point.tokens;
    }
    // The first prefix is touched last and so evicted last: later parts are useless without it.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
        touch(part->first, part->second);
    return hitTokens;
}

void PrefixCache::touch(std::uint64_t hash, double tokens)
{
    const auto existing = entries_.find(hash);
    if (existing != entries_.end()) {
        lruOrder_.splice(lruOrder_.begin(), lruOrder_, existing->second);
        return;
    }
    lruOrder_.push_front({hash, tokens});
    entries_[hash] = lruOrder_.begin();
    recordEvent(hash, true);
    usedTokens_ += tokens;
    while (usedTokens_ > capacityTokens_ && lruOrder_.size() > 1) {
        usedTokens_ -= lruOrder_.back().tokens;
        entries_.erase(lruOrder_.back().hash);
        recordEvent(lruOrder_.back().hash, false);
        lruOrder_.pop_back();
    }
}

void PrefixCache::recordEvent(std::uint64_t hash, bool stored)
{
    events_.push_back({nextEvent_++, hash, stored});
}

std::vector<CacheEvent> PrefixCache::takeEvents()
{
    return std::exchange(events_, {});
}

void PrefixCache::clear()
{
    lruOrder_.clear();
    entries_.clear();
    usedTokens_ = 0;
}

FakeEngine::FakeEngine(EngineRole initialRole, double cacheTokens)
    : role(initialRole), cache_(cacheTokens)
{ }

void FakeEngine::add(const EngineJob &job)
{
    const auto position =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const EngineJob &other) { return other.priority > job.priority; });
    waiting_.insert(position, job);
}

void FakeEngine::cancel(std::uint64_t id)
{
    const auto hasId = [id](const EngineJob &job) { return job.id == id; };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), hasId), waiting_.end());
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [&](const ActiveJob &active) { return hasId(active.job); }),
                   running_.end());
}

std::vector<std::uint64_t> FakeEngine::crash()
{
    std::vector<std::uint64_t> lostJobs;
    for (const EngineJob &job : waiting_)
        lostJobs.push_back(job.id);
    for (const ActiveJob &active : running_)
        lostJobs.push_back(active.job.id);
    waiting_.clear();
    running_.clear();
    cache_.clear();
    alive = false;
    return lostJobs;
}

void FakeEngine::startWaitingJobs()
{
    while (!waiting_.empty() && static_cast<double>(running_.size()) < EngineModel::slots) {
        ActiveJob active;
        active.job = waiting_.front();
        waiting_.erase(waiting_.begin());
        if (active.job.readsPrompt) {
            const double hitTokens = cache_.use(*active.job.prefixes);
            work_.promptTokens += active.job.promptTokens;
            work_.cachedTokens += hitTokens;
            active.remainingPromptTokens = std::max(1.0, active.job.promptTokens - hitTokens);
        }
        running_.push_back(active);
    }
}

double FakeEngine::planPrefill()
{
    double chunk = EngineModel::mixedChunk;
    if (role == EngineRole::Prefill)
        chunk = EngineModel::prefillChunk;
    else if (role == EngineRole::Decode)
        chunk = EngineModel::decodeChunk;
    double plannedTokens = 0;
    for (ActiveJob &active : running_) {
        active.plannedTokens = std::min(active.remainingPromptTokens, chunk - plannedTokens);
        plannedTokens += active.plannedTokens;
    }
    return plannedTokens;
}

double FakeEngine::beginStep()
{
    startWaitingJobs();
    const double prefillTokens = planPrefill();
    const auto decodingJobs = static_cast<double>(
        std::count_if(running_.begin(), running_.end(),
                      [](const ActiveJob &active) { return active.remainingPromptTokens <= 0; }));
    const double decodeMs = decodingJobs > 0 ? EngineModel::stepMs(decodingJobs) : 2;
    const double durationMs = decodeMs + prefillTokens * EngineModel::msPerPromptToken;
    work_.busyMs += durationMs;
    work_.steps += 1;
    work_.answersInSteps += decodingJobs;
    return durationMs;
}

std::vector<JobEvent> FakeEngine::endStep()
{
    std::vector<JobEvent> events;
    for (ActiveJob &active : running_) {
        if (active.remainingPromptTokens > 0) {
            active.remainingPromptTokens -= active.plannedTokens;
            if (active.remainingPromptTokens > 0)
                continue;
        }
        // The step that completes the prefill also generates the first token.
        if (++active.writtenTokens == 1 && active.job.readsPrompt)
            events.push_back({active.job.id, JobProgress::FirstToken});
        if (!active.job.writesAnswer || active.writtenTokens >= active.job.outputTokens)
            events.push_back({active.job.id, JobProgress::Done});
    }
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [](const ActiveJob &active) {
                                      return active.remainingPromptTokens <= 0
                                          && (!active.job.writesAnswer
                                              || active.writtenTokens >= active.job.outputTokens);
                                  }),
                   running_.end());
    return events;
}

LoadReport FakeEngine::report() const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(running_.size());
    report.waiting = static_cast<std::uint32_t>(waiting_.size());
    double remainingPromptTokens = 0;
    for (const ActiveJob &active : running_)
        remainingPromptTokens += std::max(0.0, active.remainingPromptTokens);
    for (const EngineJob &job : waiting_)
        remainingPromptTokens += job.promptTokens;
    report.waitingPromptTokens = static_cast<std::uint64_t>(remainingPromptTokens);
    return report;
}

} // namespace cuminrail::policybench
