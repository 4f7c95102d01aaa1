#include "usage/seal/UsageReporter.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "usage/flush/UsageFlusher.h"

#include <algorithm>

namespace cuminrail {

UsageReporter::UsageReporter(TeamId team, const UsageTiming &timing, Hooks hooks)
    : team_(std::move(team)), timing_(timing), windows_(timing.windowLength),
      hooks_(std::move(hooks))
{ }

template<typename Reply>
std::function<void(const Reply &)>
UsageReporter::guardCompletion(void (UsageReporter::*method)(const Reply &))
{
    return [this, method, epoch = epoch_](const Reply &reply) {
        if (epoch != epoch_)
            return;
        busy_ = false;
        (this->*method)(reply);
    };
}

void UsageReporter::onLeaseAcquired()
{
    onLeaseLost();
    isActive_ = true;
}

void UsageReporter::onLeaseLost()
{
    ++epoch_;
    isActive_ = false;
    loaded_ = false;
    busy_ = false;
    first_.reset();
    seals_.clear();
    sources_.clear();
    versionsBefore_.clear();
    removable_.clear();
}

std::optional<WindowIndex> UsageReporter::lastSealed() const
{
    if (seals_.empty())
        return std::nullopt;
    return seals_.rbegin()->first;
}

std::size_t UsageReporter::unreportedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        seals_.begin(), seals_.end(), [](const auto &s) { return !s.second.window.isReported; }));
}

std::string UsageReporter::sealPath(WindowIndex window) const
{
    return sealPrefix(team_) + UsageWindows::keyOf(window);
}

std::optional<Authority> UsageReporter::usableAuthority() const
{
    const auto authority = hooks_.authority();
    if (!authority || authority->notAfter - hooks_.clock.now() < timing_.sendMargin)
        return std::nullopt;
    return authority;
}

void UsageReporter::scheduleRetry()
{
    const auto width = static_cast<std::uint64_t>(timing_.retryInterval.count());
    nextAt_ = hooks_.clock.now() + timing_.retryInterval
        + Millis(static_cast<std::int64_t>(hooks_.random() % width));
}

void UsageReporter::tick()
{
    if (!isActive_ || busy_ || hooks_.clock.now() < nextAt_ || !usableAuthority())
        return;
    if (!loaded_) {
        loadSeals();
        return;
    }
    if (seals_.empty() && !first_) {
        claimStart();
        return;
    }
    if (reportOldest() || removeOld())
        return;
    if (isSealDue())
        listCounters();
}

void UsageReporter::loadSeals()
{
    busy_ = true;
    hooks_.store.list(sealPrefix(team_), guardCompletion<StoreReply>(&UsageReporter::sealsLoaded));
}

void UsageReporter::sealsLoaded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        scheduleRetry();
        return;
    }
    for (const StoreObject &object : reply.objects) {
        const auto window = SealedWindow::fromText(object.value, nullptr);
        if (window)
            seals_[window->window] = Seal{object.version, *window};
    }
    loaded_ = true;
}

/**
    The first window is agreed on once, by creating an object in the store. Otherwise two holders
    that both find no seal could begin with different windows, and the same usage would be in both.
*/
void UsageReporter::claimStart()
{
    busy_ = true;
    const WindowIndex window = windows_.indexAt(hooks_.calendar());
    hooks_.store.put({startPath(team_), std::to_string(window), 0},
                     guardCompletion<StoreReply>(&UsageReporter::startClaimed));
}

void UsageReporter::startClaimed(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Unavailable) {
        scheduleRetry();
        return;
    }
    busy_ = true;
    hooks_.store.get(startPath(team_), guardCompletion<StoreReply>(&UsageReporter::startRead));
}

void UsageReporter::startRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        scheduleRetry();
        return;
    }
    first_ = std::strtoll(reply.objects.front().value.c_str(), nullptr, 10);
}

WindowIndex UsageReporter::nextWindow() const
{
    return seals_.empty() ? *first_ : seals_.rbegin()->first + 1;
}

bool UsageReporter::isSealDue() const
{
    return hooks_.calendar() >= windows_.beginOf(nextWindow() + 1) + timing_.grace;
}

void UsageReporter::listCounters()
{
    busy_ = true;
    hooks_.store.list(UsageFlusher::prefix(team_),
                      guardCompletion<StoreReply>(&UsageReporter::countersListed));
}

void UsageReporter::countersListed(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        scheduleRetry();
        return;
    }
    for (const CounterSource &source : sources_)
        versionsBefore_[source.name] = source.version;
    sources_.clear();
    const std::size_t prefixSize = UsageFlusher::prefix(team_).size();
    for (const StoreObject &object : reply.objects) {
        const auto record = CounterRecord::fromText(object.value, nullptr);
        if (record)
            sources_.push_back({object.path.substr(prefixSize), object.version, *record});
    }
    draft_ = mergeUsage(mergeInput(nextWindow()));
    writeSeal();
}

UsageMergeInput UsageReporter::mergeInput(WindowIndex window) const
{
    UsageMergeInput input;
    input.window = window;
    input.windowId = team_.text() + "/" + windows_.nameOf(window);
    const auto previous = seals_.find(window - 1);
    if (previous != seals_.end())
        input.previous = previous->second.window.carry;
    input.sources = sources_;
    input.isClosed = [this](const CounterSource &source) {
        if (source.record.isFinal)
            return true;
        // The instance is not alive according to the membership list, and its counters were not
        // written for a whole window.
        const auto before = versionsBefore_.find(source.name);
        const bool isUnchanged =
            before != versionsBefore_.end() && before->second == source.version;
        const std::string incarnation = source.name.substr(0, source.name.find('.'));
        return isUnchanged && !hooks_.isLive(incarnation);
    };
    return input;
}

void UsageReporter::writeSeal()
{
    if (!usableAuthority()) {
        scheduleRetry();
        return;
    }
    busy_ = true;
    StorePut put;
    put.path = sealPath(draft_.window);
    put.value = draft_.toText();
    // Two holders compute different figures for the same window, because counters keep changing.
    // Only the first seal created is valid; an overwrite would give a window two sets of figures.
    if (guardEnabled(Guard::SealCreatedOnce))
        put.expected = 0;
    hooks_.store.put(put, guardCompletion<StoreReply>(&UsageReporter::sealWritten));
}

void UsageReporter::sealWritten(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        acceptSeal(reply.version, draft_);
        return;
    }
    if (reply.status == StoreStatus::Unavailable) {
        scheduleRetry();
        return;
    }
    // The window has been sealed, perhaps by this very write: the stored object is the seal.
    busy_ = true;
    hooks_.store.get(sealPath(draft_.window),
                     guardCompletion<StoreReply>(&UsageReporter::sealRead));
}

void UsageReporter::sealRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        scheduleRetry();
        return;
    }
    const StoreObject &object = reply.objects.front();
    const auto window = SealedWindow::fromText(object.value, nullptr);
    if (window)
        acceptSeal(object.version, *window);
    else
        scheduleRetry();
}

void UsageReporter::acceptSeal(ObjectVersion version, const SealedWindow &window)
{
    seals_[window.window] = Seal{version, window};
    for (const CounterSource &source : sources_) {
        const auto folded = window.carry.folded.find(source.name);
        // An object is removed only in the version whose counts the seal contains.
        if (folded != window.carry.folded.end() && folded->second.total == source.record.total)
            removable_[source.name] = source.version;
    }
    hooks_.events(Event{&events::usageWindowSealed, {{"window", window.windowId}}});
}

std::string UsageReporter::figuresToReport(const Seal &seal) const
{
    // A report whose reply was lost is sent again, perhaps by another holder. Figures computed
    // again would include what was counted since, and the bill would depend on chance.
    if (guardEnabled(Guard::ReportFromSeal))
        return seal.window.figures;
    return mergeUsage(mergeInput(seal.window.window)).figures;
}

bool UsageReporter::reportOldest()
{
    const auto oldest = std::find_if(seals_.begin(), seals_.end(), [](const auto &seal) {
        return !seal.second.window.isReported;
    });
    const auto authority = usableAuthority();
    if (oldest == seals_.end() || !authority)
        return false;
    busy_ = true;
    reporting_ = oldest->first;
    UsageReport report;
    report.windowId = oldest->second.window.windowId;
    report.sealedFigures = figuresToReport(oldest->second);
    report.fence = authority->fence;
    report.notAfter = authority->notAfter;
    hooks_.receiver.report(report, guardCompletion<OrderReply>(&UsageReporter::reported));
    return true;
}

void UsageReporter::reported(const OrderReply &reply)
{
    Seal &seal = seals_.at(reporting_);
    if (reply.status == OrderStatus::Refused)
        hooks_.events(
            Event{&events::usageWindowRefused,
                  {{"window", seal.window.windowId}, {"reason", reply.lastReason.toString()}}});
    if (reply.status != OrderStatus::Accepted) {
        scheduleRetry();
        return;
    }
    hooks_.events(Event{&events::usageWindowReported, {{"window", seal.window.windowId}}});
    busy_ = true;
    SealedWindow marked = seal.window;
    marked.isReported = true;
    hooks_.store.put({sealPath(reporting_), marked.toText(), seal.version},
                     guardCompletion<StoreReply>(&UsageReporter::markWritten));
}

void UsageReporter::markWritten(const StoreReply &reply)
{
    Seal &seal = seals_.at(reporting_);
    if (reply.status == StoreStatus::Ok) {
        seal.version = reply.version;
        seal.window.isReported = true;
        return;
    }
    // The mark may or may not have been stored. All seals are read again; at worst the same bytes
    // are reported twice.
    loaded_ = false;
    scheduleRetry();
}

bool UsageReporter::removeOld()
{
    if (!removable_.empty()) {
        const auto first = removable_.begin();
        const std::string path = UsageFlusher::prefix(team_) + first->first;
        const ObjectVersion version = first->second;
        removable_.erase(first);
        busy_ = true;
        hooks_.store.remove(path, version, guardCompletion<StoreReply>(&UsageReporter::removed));
        return true;
    }
    if (seals_.empty() || seals_.begin()->first + timing_.retainedWindows >= seals_.rbegin()->first)
        return false;
    const auto oldest = seals_.begin();
    if (!oldest->second.window.isReported)
        return false;
    busy_ = true;
    hooks_.store.remove(sealPath(oldest->first), oldest->second.version,
                        guardCompletion<StoreReply>(&UsageReporter::removed));
    seals_.erase(oldest);
    return true;
}

void UsageReporter::removed(const StoreReply &)
{
    // The result does not matter: an object that still exists is handled again at the next seal or
    // load.
}

} // namespace cuminrail
