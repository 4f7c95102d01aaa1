#include "instance/services/UsageService.h"

#include "runtime/time/BootClock.h"
#include "usage/flush/FlushInterval.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis tickInterval{100};

UsageCounters countersOf(const UsageRecord &record)
{
    UsageCounters counters;
    counters.promptTokens = record.promptTokens;
    counters.outputTokens = record.outputTokens;
    counters.requests = 1;
    return counters;
}

} // namespace

Millis calendarNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

UsageService::UsageService(ControlPlane &control, const ObjectStore &store,
                           const InstanceIncarnation &self, const MemberService &members,
                           Millis windowLength)
    : control_(control), store_(store), self_(self), members_(members), windows_(windowLength)
{
    control_.context().onUsage = [this](const UsageRecord &usage) { addRecord(usage); };
    control_.addTick(tickInterval, [this](Millis) { tick(); });
    control_.addStopHook([this](std::function<void()> done) { stopFlushers(std::move(done)); });
    control_.addState("usage", [this] {
        nlohmann::json teams = nlohmann::json::object();
        for (const auto &[team, flusher] : flushers_)
            teams[team.text()] = {{"flushed", flusher->isFlushed()}};
        return teams;
    });
}

void UsageService::addRecord(const UsageRecord &record)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    records_.push_back(record);
}

void UsageService::tick()
{
    std::vector<UsageRecord> records;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        records.swap(records_);
    }
    for (const UsageRecord &record : records)
        flusherOf(record.team).add(record.customer, countersOf(record));
    for (const auto &entry : flushers_)
        entry.second->tick();
}

UsageFlusher &UsageService::flusherOf(const TeamId &team)
{
    auto &flusher = flushers_[team];
    if (!flusher) {
        UsageFlusher::Hooks hooks{
            store_, bootClock(), seededRandom(std::random_device()()), {}, {}};
        hooks.currentWindow = [this] { return windows_.indexAt(calendarNow()); };
        hooks.flushInterval = [this] {
            return flushInterval(members_.usable().size(),
                                 control_.builder().settings().teams.size());
        };
        flusher = std::make_unique<UsageFlusher>(team, self_, std::move(hooks));
    }
    return *flusher;
}

void UsageService::stopFlushers(std::function<void()> done)
{
    tick();
    for (const auto &entry : flushers_)
        entry.second->stop();
    control_.pollUntil([this] { return isFlushed(); }, std::move(done));
}

bool UsageService::isFlushed() const
{
    return std::all_of(flushers_.begin(), flushers_.end(),
                       [](const auto &entry) { return entry.second->isFlushed(); });
}

} // namespace cuminrail
