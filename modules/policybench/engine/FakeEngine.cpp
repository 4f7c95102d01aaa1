#include "policybench/engine/FakeEngine.h"

#include <algorithm>

namespace cuminrail::policybench {

double PrefixCache::use(const PrefixChain &chain)
{
    double held = 0;
    bool unbroken = true;
    double before = 0;
    std::vector<std::pair<std::uint64_t, double>> parts;
    for (const PrefixPoint &point : chain) {
        unbroken = unbroken && entries_.count(point.hash) > 0;
        if (unbroken)
            held = point.tokens;
        parts.emplace_back(point.hash, point.tokens - before);
        before = point.tokens;
    }
    // The start of a prompt is touched last: without it the rest is of no use.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
        touch(part->first, part->second);
    return held;
}

void PrefixCache::touch(std::uint64_t hash, double tokens)
{
    const auto known = entries_.find(hash);
    if (known != entries_.end()) {
        order_.splice(order_.begin(), order_, known->second);
        return;
    }
    order_.push_front({hash, tokens});
    entries_[hash] = order_.begin();
    note(hash, true);
    used_ += tokens;
    while (used_ > capacity_ && order_.size() > 1) {
        used_ -= order_.back().tokens;
        entries_.erase(order_.back().hash);
        note(order_.back().hash, false);
        order_.pop_back();
    }
}

void PrefixCache::note(std::uint64_t hash, bool stored)
{
    events_.push_back({nextEvent_++, hash, stored});
}

std::vector<CacheEvent> PrefixCache::takeEvents()
{
    return std::exchange(events_, {});
}

void PrefixCache::clear()
{
    order_.clear();
    entries_.clear();
    used_ = 0;
}

FakeEngine::FakeEngine(EngineRole startRole, double cacheTokens)
    : role(startRole), cache_(cacheTokens)
{ }

void FakeEngine::add(const EngineJob &job)
{
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const EngineJob &other) {
        return other.priority > job.priority;
    });
    waiting_.insert(place, job);
}

void FakeEngine::cancel(std::uint64_t id)
{
    const auto isJob = [id](const EngineJob &job) { return job.id == id; };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), isJob), waiting_.end());
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [&](const Active &active) { return isJob(active.job); }),
                   running_.end());
}

std::vector<std::uint64_t> FakeEngine::crash()
{
    std::vector<std::uint64_t> lost;
    for (const EngineJob &job : waiting_)
        lost.push_back(job.id);
    for (const Active &active : running_)
        lost.push_back(active.job.id);
    waiting_.clear();
    running_.clear();
    cache_.clear();
    alive = false;
    return lost;
}

void FakeEngine::startWaiting()
{
    while (!waiting_.empty() && static_cast<double>(running_.size()) < EngineModel::slots) {
        Active active;
        active.job = waiting_.front();
        waiting_.erase(waiting_.begin());
        if (active.job.readsPrompt) {
            const double held = cache_.use(*active.job.prefixes);
            work_.promptTokens += active.job.promptTokens;
            work_.cachedTokens += held;
            active.unread = std::max(1.0, active.job.promptTokens - held);
        }
        running_.push_back(active);
    }
}

double FakeEngine::planReading()
{
    double chunk = EngineModel::mixedChunk;
    if (role == EngineRole::Prefill)
        chunk = EngineModel::prefillChunk;
    else if (role == EngineRole::Decode)
        chunk = EngineModel::decodeChunk;
    double planned = 0;
    for (Active &active : running_) {
        active.planned = std::min(active.unread, chunk - planned);
        planned += active.planned;
    }
    return planned;
}

double FakeEngine::beginStep()
{
    startWaiting();
    const double reading = planReading();
    const auto writing = static_cast<double>(std::count_if(
        running_.begin(), running_.end(), [](const Active &active) { return active.unread <= 0; }));
    const double write = writing > 0 ? EngineModel::stepMs(writing) : 2;
    const double time = write + reading * EngineModel::msPerPromptToken;
    work_.busyMs += time;
    work_.steps += 1;
    work_.answersInSteps += writing;
    return time;
}

std::vector<JobEvent> FakeEngine::endStep()
{
    std::vector<JobEvent> events;
    for (Active &active : running_) {
        if (active.unread > 0) {
            active.unread -= active.planned;
            if (active.unread > 0)
                continue;
        }
        // The step that reads the last of the prompt also writes the first token.
        if (++active.written == 1 && active.job.readsPrompt)
            events.push_back({active.job.id, JobProgress::FirstToken});
        if (!active.job.writesAnswer || active.written >= active.job.outputTokens)
            events.push_back({active.job.id, JobProgress::Done});
    }
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [](const Active &active) {
                                      return active.unread <= 0
                                          && (!active.job.writesAnswer
                                              || active.written >= active.job.outputTokens);
                                  }),
                   running_.end());
    return events;
}

LoadReport FakeEngine::report() const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(running_.size());
    report.waiting = static_cast<std::uint32_t>(waiting_.size());
    double unread = 0;
    for (const Active &active : running_)
        unread += std::max(0.0, active.unread);
    for (const EngineJob &job : waiting_)
        unread += job.promptTokens;
    report.waitingPromptTokens = static_cast<std::uint64_t>(unread);
    return report;
}

} // namespace cuminrail::policybench
