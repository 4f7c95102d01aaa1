#include "quarantine/table/SuspicionTable.h"

#include <algorithm>

namespace cuminrail {

void SuspicionTable::BoundedEntries::put(const RequestFingerprint &fingerprint, Entry entry,
                                         std::size_t maxEntries)
{
    if (entries.insert_or_assign(fingerprint, std::move(entry)).second)
        order.push_back(fingerprint);
    while (order.size() > maxEntries) {
        entries.erase(order.front());
        order.pop_front();
    }
}

std::optional<SuspicionTable::Entry>
SuspicionTable::BoundedEntries::extract(const RequestFingerprint &fingerprint)
{
    const auto found = entries.find(fingerprint);
    if (found == entries.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    entries.erase(found);
    order.erase(std::find(order.begin(), order.end(), fingerprint));
    return entry;
}

SuspicionLevel SuspicionTable::levelOf(const Entry &entry)
{
    if (entry.ended.size() >= quarantinedThreshold)
        return SuspicionLevel::Quarantined;
    return entry.ended.size() >= suspectedThreshold ? SuspicionLevel::Suspected
                                                    : SuspicionLevel::Noted;
}

const SuspicionTable::Entry *SuspicionTable::entry(const RequestFingerprint &fingerprint,
                                                   Millis now) const
{
    for (const BoundedEntries *entries : {&suspects_, &noted_}) {
        const auto found = entries->entries.find(fingerprint);
        if (found != entries->entries.end() && now < found->second.expiresAt)
            return &found->second;
    }
    return nullptr;
}

bool SuspicionTable::add(const Suspicion &suspicion, Millis now)
{
    const RequestFingerprint &fingerprint = suspicion.fingerprint;
    if (suspicion.ended.empty() || hasCompletedRecently(fingerprint, now))
        return false;
    const SuspicionLevel before = level(fingerprint, now);
    std::optional<Entry> stored = suspects_.extract(fingerprint);
    if (!stored)
        stored = noted_.extract(fingerprint);
    if (!stored || now >= stored->expiresAt)
        stored = Entry{{}, now + std::min(suspicion.remaining, retention)};
    for (const UpstreamIncarnation incarnation : suspicion.ended) {
        const bool isKnown = std::find(stored->ended.begin(), stored->ended.end(), incarnation)
            != stored->ended.end();
        if (!isKnown && stored->ended.size() < maxEnded)
            stored->ended.push_back(incarnation);
    }
    const SuspicionLevel after = levelOf(*stored);
    if (after == SuspicionLevel::Noted)
        noted_.put(fingerprint, std::move(*stored), maxNoted);
    else
        suspects_.put(fingerprint, std::move(*stored), maxSuspects);
    return after > before && after != SuspicionLevel::Noted;
}

bool SuspicionTable::recordCompletion(const RequestFingerprint &fingerprint, Millis now)
{
    if (completed_.insert_or_assign(fingerprint, now + completionRetention).second)
        completedOrder_.push_back(fingerprint);
    while (completedOrder_.size() > maxCompleted) {
        completed_.erase(completedOrder_.front());
        completedOrder_.pop_front();
    }
    noted_.extract(fingerprint);
    return suspects_.extract(fingerprint).has_value();
}

bool SuspicionTable::hasCompletedRecently(const RequestFingerprint &fingerprint, Millis now) const
{
    const auto found = completed_.find(fingerprint);
    return found != completed_.end() && now < found->second;
}

SuspicionLevel SuspicionTable::level(const RequestFingerprint &fingerprint, Millis now) const
{
    const Entry *found = entry(fingerprint, now);
    return found == nullptr ? SuspicionLevel::None : levelOf(*found);
}

std::optional<Suspicion> SuspicionTable::find(const RequestFingerprint &fingerprint,
                                              Millis now) const
{
    const Entry *found = entry(fingerprint, now);
    if (found == nullptr)
        return std::nullopt;
    return Suspicion{fingerprint, found->ended, found->expiresAt - now};
}

std::vector<Suspicion> SuspicionTable::nextSuspects(std::size_t maxCount, Millis now)
{
    std::vector<Suspicion> next;
    const std::size_t count = std::min(maxCount, suspects_.order.size());
    for (std::size_t i = 0; i < count; ++i) {
        suspects_.order.push_back(suspects_.order.front());
        suspects_.order.pop_front();
        if (auto suspicion = find(suspects_.order.back(), now))
            next.push_back(std::move(*suspicion));
    }
    return next;
}

std::vector<RequestFingerprint> SuspicionTable::quarantined(Millis now) const
{
    std::vector<RequestFingerprint> all;
    for (const auto &[fingerprint, known] : suspects_.entries) {
        if (known.expiresAt > now && levelOf(known) == SuspicionLevel::Quarantined)
            all.push_back(fingerprint);
    }
    return all;
}

std::vector<RequestFingerprint> SuspicionTable::expire(Millis now)
{
    std::vector<RequestFingerprint> quarantined;
    for (BoundedEntries *table : {&suspects_, &noted_}) {
        const std::deque<RequestFingerprint> order = table->order;
        for (const RequestFingerprint &fingerprint : order) {
            const Entry &stored = table->entries.at(fingerprint);
            if (now < stored.expiresAt)
                continue;
            if (levelOf(stored) == SuspicionLevel::Quarantined)
                quarantined.push_back(fingerprint);
            table->extract(fingerprint);
        }
    }
    while (!completedOrder_.empty() && !hasCompletedRecently(completedOrder_.front(), now)) {
        completed_.erase(completedOrder_.front());
        completedOrder_.pop_front();
    }
    return quarantined;
}

} // namespace cuminrail
