#include "gateway/control/UsageDuty.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *ledgersPrefix = "usage/";
constexpr const char *sealsPrefix = "seals/";
/** Ends the name of a copy that another instance wrote. */
constexpr const char *passedOnSuffix = "+passed-on";
/** A ledger of twelve windows and 2,500 customers, with room to spare. */
constexpr std::size_t mostLedgerBytes = 1U << 20U;

/** Returns whose ledger an object holds. */
std::string ownerOf(const std::string &path)
{
    const std::string name = path.substr(std::string(ledgersPrefix).size());
    return name.substr(0, name.find(passedOnSuffix));
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
std::map<std::string, std::string> lastLives(const std::map<std::string, LedgerRecord> &ledgers)
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

UsageDuty::UsageDuty(std::string instance, const std::string &life, const UsageTiming &timing,
                     Hooks hooks)
    : instance_(std::move(instance)), owner_(instance_ + "." + life), timing_(timing),
      hooks_(std::move(hooks)), flushEvery_(timing.flushLeast),
      firstWindow_(windowAt(hooks_.wallMillis()))
{ }

std::int64_t UsageDuty::windowAt(std::int64_t wallMillis) const
{
    return wallMillis / timing_.window.count();
}

void UsageDuty::setInstances(std::size_t count)
{
    const Millis wanted = timing_.flushEach * static_cast<std::int64_t>(count);
    flushEvery_ =
        std::clamp(wanted, timing_.flushLeast, std::max(timing_.flushLeast, timing_.window));
}

void UsageDuty::count(const std::string &customer)
{
    ledger_.count(windowAt(hooks_.wallMillis()), customer);
}

void UsageDuty::tick()
{
    const std::int64_t wall = hooks_.wallMillis();
    flushIfDue(wall);
    reportIfDue(wall);
}

void UsageDuty::flushIfDue(std::int64_t wall)
{
    const Millis now = hooks_.clock.now();
    const std::int64_t closed = windowAt(wall - timing_.lastFlush.count());
    const bool isClosing = closed != closedWindow_;
    // One that waits as long as a window writes at its end only; twice would say nothing new.
    const bool isDue = now >= nextFlush_ && (flushEvery_ < timing_.window || hasFailed_);
    if (!isClosing && !isDue)
        return;
    if (isClosing && closedWindow_ != 0)
        writtenChanges_ = 0; // what is complete is news, even without new counts
    closedWindow_ = closed;
    flush();
}

void UsageDuty::flush()
{
    nextFlush_ = hooks_.clock.now() + flushEvery_;
    const std::uint64_t changes = ledger_.changes();
    if (isWriting_ || changes == 0 || changes == writtenChanges_)
        return;
    isWriting_ = true;
    const std::string ledger = encodeLedger({closedWindow_ - 1, ledger_.windows()});
    hooks_.store.put(StorePut{ledgersPrefix + owner_, ledger, std::nullopt},
                     [this, changes, ledger](const StoreReply &reply) {
                         isWriting_ = false;
                         hasFailed_ = reply.status != StoreStatus::Ok;
                         if (!hasFailed_) {
                             writtenChanges_ = changes;
                             return;
                         }
                         nextFlush_ = hooks_.clock.now() + timing_.lastFlush;
                         if (hooks_.passOn)
                             hooks_.passOn(owner_, ledger);
                     });
}

void UsageDuty::takeLedger(const std::string &owner, const std::string &ledger)
{
    Reason reason;
    const bool isNamed = !owner.empty() && owner != owner_ && owner.find('/') == std::string::npos;
    if (!isNamed || ledger.size() > mostLedgerBytes || !decodeLedger(ledger, &reason)) {
        hooks_.events(Event{&events::usageLedgerUnreadable,
                            {{"path", owner}, {"reason", reason.toString()}}});
        return;
    }
    // Under a name of its own: the owner may reach the store again before this write does, and an
    // older copy must not replace its newer one.
    hooks_.store.put(
        StorePut{ledgersPrefix + owner + passedOnSuffix, ledger, std::nullopt},
        [this, owner](const StoreReply &reply) {
            // With a conflict, the other instance that got it has just written it.
            if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict)
                return;
            hooks_.events(Event{&events::usageLedgerNotPassedOn,
                                {{"owner", owner}, {"reason", reply.lastReason.toString()}}});
        });
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
    std::map<std::string, LedgerRecord> ledgers;
    for (const StoreObject &object : reply.objects) {
        Reason reason;
        const auto ledger = decodeLedger(object.value, &reason);
        if (!ledger) {
            hooks_.events(Event{&events::usageLedgerUnreadable,
                                {{"path", object.path}, {"reason", reason.toString()}}});
            continue;
        }
        mergeLedger(ledgers[ownerOf(object.path)], *ledger);
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

void UsageDuty::removeOld(const std::vector<StoreObject> &ledgers, std::int64_t window)
{
    // Ledgers of instances that ended stay behind; one a window is few enough to go unnoticed.
    for (const StoreObject &object : ledgers) {
        Reason reason;
        const auto ledger = decodeLedger(object.value, &reason);
        const auto keep = static_cast<std::int64_t>(UsageLedger::keptWindows);
        if (!ledger || ledger->completeThrough > window - keep)
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
