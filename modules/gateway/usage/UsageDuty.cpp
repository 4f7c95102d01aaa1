#include "gateway/usage/UsageDuty.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *ledgersPrefix = "usage/";
constexpr const char *sealsPrefix = "seals/";

/** Decodes the ledgers of a store object, one or many. */
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

/** The parts of an owner's name "NAME.INCARNATION". */
struct OwnerIncarnation
{
    std::string instance;
    std::string incarnation;
};

OwnerIncarnation parseOwner(const std::string &owner)
{
    const auto dot = owner.rfind('.');
    if (dot == std::string::npos)
        return {owner, {}};
    return {owner.substr(0, dot), owner.substr(dot + 1)};
}

/** Incarnations are increasing numbers in text form, so a longer text is the later one. */
bool isLaterIncarnation(const std::string &incarnation, const std::string &other)
{
    return incarnation.size() != other.size() ? incarnation.size() > other.size()
                                              : incarnation > other;
}

/** Returns the latest incarnation of each instance that has a ledger. */
std::map<std::string, std::string> latestIncarnations(const Ledgers &ledgers)
{
    std::map<std::string, std::string> last;
    for (const auto &[owner, ledger] : ledgers) {
        const OwnerIncarnation own = parseOwner(owner);
        std::string &known = last[own.instance];
        if (isLaterIncarnation(own.incarnation, known))
            known = own.incarnation;
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

void UsageDuty::storeRestored()
{
    doubtfulBefore_ = windowAt(hooks_.wallMillis());
    isRewriteDue_ = true;
}

void UsageDuty::noteAuthority(const DutyAuthority &authority, std::int64_t wall)
{
    if (heldSince_ == authority.heldSince)
        return;
    heldSince_ = authority.heldSince;
    heldSinceWindow_ = windowAt(wall - (hooks_.clock.now() - authority.heldSince).count());
    if (authority.followsEarlierEra)
        doubtfulBefore_ = std::max(doubtfulBefore_, firstWindow_);
}

void UsageDuty::rewriteSeals()
{
    isRewriteDue_ = false;
    for (const auto &[window, text] : seals_)
        hooks_.store.put(StorePut{sealPath(window), text, 0}, [](const StoreReply &) {});
}

void UsageDuty::leaveOut(std::int64_t window)
{
    windows_[window] = WindowState::Reported;
    hooks_.events(Event{&events::usageWindowLeftOut, {{"window", std::to_string(window)}}});
}

void UsageDuty::reportIfDue(std::int64_t wall)
{
    const auto authority = hooks_.authority();
    if (!authority)
        return;
    noteAuthority(*authority, wall);
    if (isRewriteDue_)
        rewriteSeals();
    if (hooks_.clock.now() < nextReportAt_)
        return;
    const std::int64_t newest = windowAt(wall - timing_.sealDelay.count()) - 1;
    for (std::int64_t window = newest - timing_.lookBackWindows; window <= newest; ++window) {
        WindowState &state = windows_[window];
        if (state != WindowState::Open)
            continue;
        state = WindowState::Busy;
        collect(window);
        return;
    }
    while (!seals_.empty() && seals_.begin()->first < newest - 2 * timing_.lookBackWindows)
        seals_.erase(seals_.begin());
    while (!windows_.empty() && windows_.begin()->first < newest - 2 * timing_.lookBackWindows)
        windows_.erase(windows_.begin());
}

void UsageDuty::collect(std::int64_t window)
{
    hooks_.store.get(sealPath(window), [this, window](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok)
            return reportSealed(window, reply.objects.front().value);
        if (reply.status != StoreStatus::NotFound)
            return postpone(window, reply.lastReason);
        const auto known = seals_.find(window);
        if (known != seals_.end())
            return seal(window, known->second);
        if (isDoubtful(window) && guardEnabled(Guard::DoubtfulWindowLeftOut))
            return leaveOut(window);
        hooks_.store.list(ledgersPrefix, [this, window](const StoreReply &list) {
            onLedgersListed(window, list);
        });
    });
}

void UsageDuty::onLedgersListed(std::int64_t window, const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok)
        return postpone(window, reply.lastReason);
    Ledgers ledgers;
    for (const StoreObject &object : reply.objects) {
        Reason reason;
        const auto decoded = ledgersOf(object, &reason);
        if (!decoded) {
            hooks_.events(Event{&events::usageLedgerUnreadable,
                                {{"path", object.path}, {"reason", reason.toString()}}});
            continue;
        }
        for (const auto &[owner, ledger] : *decoded)
            mergeLedger(ledgers[owner], ledger);
    }
    CustomerCounts sum;
    bool isComplete = true;
    const auto latest = latestIncarnations(ledgers);
    for (const auto &[owner, ledger] : ledgers) {
        // An incarnation that has been replaced by a later one writes no more.
        const OwnerIncarnation own = parseOwner(owner);
        const bool isReplaced = latest.at(own.instance) != own.incarnation;
        isComplete = isComplete && (isReplaced || !isAwaited(ledger, window));
        const auto found = ledger.windows.find(window);
        if (found != ledger.windows.end())
            UsageLedger::add(sum, found->second);
    }
    const std::int64_t age = hooks_.wallMillis() - (window + 1) * timing_.window.count();
    if (!isComplete && age < timing_.maxSealDelay.count())
        return postpone(
            window, {"ledgers", "an instance has not written its final counts of the window yet"});
    if (sum.empty() && window < firstWindow_) {
        // No counts for a window before this instance started: it cannot know whether requests ran,
        // so nothing is reported.
        windows_[window] = WindowState::Reported;
        return;
    }
    removeExpired(reply.objects, window);
    // The store may have come back from a copy since the seal was looked for.
    if (isDoubtful(window) && guardEnabled(Guard::DoubtfulWindowLeftOut))
        return leaveOut(window);
    seal(window, encodeSeal(sum));
}

bool UsageDuty::isAwaited(const LedgerRecord &ledger, std::int64_t window) const
{
    // An owner that has not written for two windows has ended and will write no more.
    constexpr std::int64_t recent = 2;
    return ledger.completeThrough < window && ledger.completeThrough >= window - recent;
}

void UsageDuty::removeExpired(const std::vector<StoreObject> &objects, std::int64_t window)
{
    // Ledgers of ended instances remain in the store. Removing one per window adds hardly any load.
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

void UsageDuty::seal(std::int64_t window, const std::string &text)
{
    hooks_.store.put(StorePut{sealPath(window), text, 0},
                     [this, window, text](const StoreReply &reply) {
                         if (reply.status == StoreStatus::Ok)
                             return reportSealed(window, text);
                         if (reply.status == StoreStatus::Conflict)
                             return readSeal(window);
                         postpone(window, reply.lastReason);
                     });
}

void UsageDuty::readSeal(std::int64_t window)
{
    hooks_.store.get(sealPath(window), [this, window](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok)
            return reportSealed(window, reply.objects.front().value);
        postpone(window, reply.lastReason);
    });
}

void UsageDuty::reportSealed(std::int64_t window, const std::string &text)
{
    Reason reason;
    const auto counts = decodeSeal(text, &reason);
    if (!counts)
        return postpone(window, reason);
    // The lease may have ended before the store replied.
    const auto authority = hooks_.authority();
    if (!authority)
        return postpone(window, {"lease", "ended"});
    // What is reported is what any later report of this window repeats.
    const std::string &sealed = seals_.emplace(window, text).first->second;
    if (sealed != text)
        return leaveOut(window);
    hooks_.report(
        window, *counts, *authority,
        [this, window](DutyResult result, const Reason &why) { reported(window, result, why); });
}

void UsageDuty::reported(std::int64_t window, DutyResult result, const Reason &reason)
{
    if (result != DutyResult::Accepted)
        return postpone(window, reason);
    windows_[window] = WindowState::Reported;
    hooks_.events(Event{&events::usageWindowReported, {{"window", std::to_string(window)}}});
    const std::int64_t old = window - static_cast<std::int64_t>(UsageLedger::keptWindows);
    hooks_.store.remove(sealPath(old), std::nullopt, [](const StoreReply &) {});
}

void UsageDuty::postpone(std::int64_t window, const Reason &reason)
{
    windows_[window] = WindowState::Open;
    constexpr Millis retryAfter = Millis(700);
    nextReportAt_ = hooks_.clock.now() + retryAfter;
    hooks_.events(Event{&events::usageReportFailed,
                        {{"window", std::to_string(window)}, {"reason", reason.toString()}}});
}

} // namespace cuminrail
