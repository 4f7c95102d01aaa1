#include "usage/seal/UsageMerge.h"

namespace cuminrail {

namespace {

/**
    Number of windows for which a folded and removed counter is remembered, as a stale list may
    still show it.
*/
constexpr WindowIndex foldedRetention = 12;

CustomerUsage foldedOf(const UsageCarry &carry, const std::string &name)
{
    const auto found = carry.folded.find(name);
    return found == carry.folded.end() ? CustomerUsage{} : found->second.total;
}

void fold(UsageCarry &carry, const CounterSource &source, WindowIndex window)
{
    const CustomerUsage already = foldedOf(carry, source.name);
    addUsage(carry.foldedTotal, usageIncrease(source.record.total, already));
    carry.folded[source.name] = FoldedCounters{source.record.total, window};
}

void removeExpired(UsageCarry &carry, WindowIndex window)
{
    for (auto it = carry.folded.begin(); it != carry.folded.end();) {
        const bool isOld = it->second.lastSeen + foldedRetention < window;
        it = isOld ? carry.folded.erase(it) : std::next(it);
    }
}

} // namespace

SealedWindow mergeUsage(const UsageMergeInput &input)
{
    SealedWindow sealed;
    sealed.window = input.window;
    sealed.windowId = input.windowId;
    sealed.carry = input.previous.value_or(UsageCarry{});
    const UsageCarry before = sealed.carry;
    CustomerUsage atEnd = before.foldedTotal;
    CustomerUsage atBegin = before.foldedTotal;
    for (const CounterSource &source : input.sources) {
        const CustomerUsage folded = foldedOf(before, source.name);
        // The counts of a folded counter are in foldedTotal already; only the increase since then
        // is new.
        const bool isClosed = input.isClosed(source);
        const CustomerUsage &end =
            isClosed ? source.record.total : source.record.atEndOf(input.window);
        addUsage(atEnd, usageIncrease(end, folded));
        addUsage(atBegin, usageIncrease(source.record.atBeginOf(input.window), folded));
        if (isClosed)
            fold(sealed.carry, source, input.window);
    }
    removeExpired(sealed.carry, input.window);
    const CustomerUsage used = usageIncrease(atEnd, before.reportedTotal);
    const CustomerUsage late = usageIncrease(atBegin, before.reportedTotal);
    addUsage(sealed.carry.reportedTotal, used);
    const bool isFirst = !input.previous.has_value();
    sealed.figures = usageFiguresText(input.windowId, used, isFirst ? CustomerUsage{} : late);
    return sealed;
}

} // namespace cuminrail
