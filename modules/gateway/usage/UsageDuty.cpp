#include "gateway/usage/UsageDuty.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *ledgersPrefix = "usage/";
constexpr const char *sealsPrefix = "seals/";

/** Returns the ledgers that an object holds. */
std::optional<Ledgers> ledgersOf(const StoreObject &object, Reason *lastReason)
{
    const std::string name = object.path.substr(std::string(ledgersPrefix).size());
    if (name.find(collectedSuffix) != std::string::npos)
        return decodeLedgers(object.value, lastReason);
    auto ledger = decodeLedger(object.value, lastReason);
    if (!ledger)
        return std::nullopt;
    return Ledgers{{name, std::move(*ledger)}};
}

/** An instance and one of its lives, as they make up an owner's name "NAME.LIFE". */
struct OwnerLife
{
    std::string instance;
    std::string life;
};

OwnerLife lifeOf(const std::string &owner)
{
    const auto dot = owner.rfind('.');
    if (dot == std::string::npos)
        return {owner, {}};
    return {owner.substr(0, dot), owner.substr(dot + 1)};
}

/** Lives are numbers that rise; as texts, a longer one is the higher. */
bool isLater(const std::string &life, const std::string &other)
{
    return life.size() != other.size() ? life.size() > other.size() : life > other;
}

/** Returns the last life of each instance that has a ledger. */
std::map<std::string, std::string> lastLives(const Ledgers &ledgers)
{
    std::map<std::string, std::string> last;
    for (const auto &[owner, ledger] : ledgers) {
        const OwnerLife own = lifeOf(owner);
        std::string &known = last[own.instance];
        if (isLater(own.life, known))
            known = own.life;
    }
    return last;
}

std::string sealPath(std::int64_t window)
{
    return sealsPrefix + std::to_string(window);
}

} // namespace

UsageDuty::UsageDuty(const UsageTiming &timing, Hooks hooks)
    : timing_(timing), hooks_(std::move(hooks)), firstWindow_(windowAt(hooks_.wallMillis()))
{ }

std::int64_t UsageDuty::windowAt(std::int64_t wallMillis) const
{
    return wallMillis / timing_.window.count();
}

void UsageDuty::tick()
{
    reportIfDue(hooks_.wallMillis());
}

void UsageDuty::reportIfDue(std::int64_t wall)
{
    if (!hooks_.authority() || hooks_.clock.now() < nextReport_)
        return;
    const std::int64_t newest = windowAt(wall - timing_.sealAfter.count()) - 1;
    for (std::int64_t window = newest - timing_.lookBack; window <= newest; ++window) {
        Stage &stage = windows_[window];
        if (stage != Stage::Open)
            continue;
        stage = Stage::Busy;
        collect(window);
        return;
    }
    while (!windows_.empty() && windows_.begin()->first < newest - 2 * timing_.lookBack)
        windows_.erase(windows_.begin());
}

void UsageDuty::collect(std::int64_t window)
{
    hooks_.store.get(sealPath(window), [this, window](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok)
            return reportSealed(window, reply.objects.front().value);
        if (reply.status != StoreStatus::NotFound)
            return failed(window, reply.lastReason);
        hooks_.store.list(ledgersPrefix,
                          [this, window](const StoreReply &list) { collected(window, list); });
    });
}

void UsageDuty::collected(std::int64_t window, const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok)
        return failed(window, reply.lastReason);
    Ledgers ledgers;
    for (const StoreObject &object : reply.objects) {
        Reason reason;
        const auto held = ledgersOf(object, &reason);
        if (!held) {
            hooks_.events(Event{&events::usageLedgerUnreadable,
                                {{"path", object.path}, {"reason", reason.toString()}}});
            continue;
        }
        for (const auto &[owner, ledger] : *held)
            mergeLedger(ledgers[owner], ledger);
    }
    CustomerCounts sum;
    bool isComplete = true;
    const auto last = lastLives(ledgers);
    for (const auto &[owner, ledger] : ledgers) {
        // A life that another one has followed writes no more.
        const OwnerLife own = lifeOf(owner);
        const bool isOver = last.at(own.instance) != own.life;
        isComplete = isComplete && (isOver || !isIncomplete(ledger, window));
        const auto found = ledger.windows.find(window);
        if (found != ledger.windows.end())
            UsageLedger::add(sum, found->second);
    }
    const std::int64_t age = hooks_.wallMillis() - (window + 1) * timing_.window.count();
    if (!isComplete && age < timing_.sealAtLatest.count())
        return failed(window, {"ledgers", "an instance has not completed the window yet"});
    if (sum.empty() && window < firstWindow_) {
        // Nobody counted anything, and this instance cannot know whether anything ran.
        windows_[window] = Stage::Reported;
        return;
    }
    removeOld(reply.objects, window);
    seal(window, sum);
}

bool UsageDuty::isIncomplete(const LedgerRecord &ledger, std::int64_t window) const
{
    // One that has not written for two windows has ended, and will write no more.
    constexpr std::int64_t recent = 2;
    return ledger.completeThrough < window && ledger.completeThrough >= window - recent;
}

void UsageDuty::removeOld(const std::vector<StoreObject> &objects, std::int64_t window)
{
    // Ledgers of instances that ended stay behind; one a window is few enough to go unnoticed.
    const std::int64_t oldest = window - static_cast<std::int64_t>(UsageLedger::keptWindows);
    for (const StoreObject &object : objects) {
        Reason reason;
        const auto ledgers = ledgersOf(object, &reason);
        const auto isOld = [oldest](const auto &entry) {
            return entry.second.completeThrough <= oldest;
        };
        if (!ledgers || !std::all_of(ledgers->begin(), ledgers->end(), isOld))
            continue;
        hooks_.store.remove(object.path, object.version, [](const StoreReply &) {});
        return;
    }
}

void UsageDuty::seal(std::int64_t window, const CustomerCounts &counts)
{
    const std::string text = encodeSeal(counts);
    hooks_.store.put(StorePut{sealPath(window), text, 0},
                     [this, window, text](const StoreReply &reply) {
                         if (reply.status == StoreStatus::Ok)
                             return reportSealed(window, text);
                         if (reply.status == StoreStatus::Conflict)
                             return readSeal(window);
                         failed(window, reply.lastReason);
                     });
}

void UsageDuty::readSeal(std::int64_t window)
{
    hooks_.store.get(sealPath(window), [this, window](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok)
            return reportSealed(window, reply.objects.front().value);
        failed(window, reply.lastReason);
    });
}

void UsageDuty::reportSealed(std::int64_t window, const std::string &text)
{
    Reason reason;
    const auto counts = decodeSeal(text, &reason);
    if (!counts)
        return failed(window, reason);
    // The lease may have ended while the store answered.
    const auto authority = hooks_.authority();
    if (!authority)
        return failed(window, {"lease", "ended"});
    hooks_.report(
        window, *counts, *authority,
        [this, window](DutyResult result, const Reason &why) { reported(window, result, why); });
}

void UsageDuty::reported(std::int64_t window, DutyResult result, const Reason &reason)
{
    if (result != DutyResult::Accepted)
        return failed(window, reason);
    windows_[window] = Stage::Reported;
    hooks_.events(Event{&events::usageWindowReported, {{"window", std::to_string(window)}}});
    const std::int64_t old = window - static_cast<std::int64_t>(UsageLedger::keptWindows);
    hooks_.store.remove(sealPath(old), std::nullopt, [](const StoreReply &) {});
}

void UsageDuty::failed(std::int64_t window, const Reason &reason)
{
    windows_[window] = Stage::Open;
    constexpr Millis retryAfter = Millis(700);
    nextReport_ = hooks_.clock.now() + retryAfter;
    hooks_.events(Event{&events::usageReportFailed,
                        {{"window", std::to_string(window)}, {"reason", reason.toString()}}});
}

} // namespace cuminrail
