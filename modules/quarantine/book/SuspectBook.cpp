#include "quarantine/book/SuspectBook.h"

#include <algorithm>

namespace cuminrail {

void SuspectBook::Table::put(const RequestFingerprint &fingerprint, Entry entry, std::size_t most)
{
    if (entries.insert_or_assign(fingerprint, std::move(entry)).second)
        order.push_back(fingerprint);
    while (order.size() > most) {
        entries.erase(order.front());
        order.pop_front();
    }
}

std::optional<SuspectBook::Entry> SuspectBook::Table::take(const RequestFingerprint &fingerprint)
{
    const auto found = entries.find(fingerprint);
    if (found == entries.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    entries.erase(found);
    order.erase(std::find(order.begin(), order.end(), fingerprint));
    return entry;
}

SuspicionLevel SuspectBook::levelOf(const Entry &entry)
{
    if (entry.ended.size() >= quarantinedFrom)
        return SuspicionLevel::Quarantined;
    return entry.ended.size() >= suspectedFrom ? SuspicionLevel::Suspected : SuspicionLevel::Noted;
}

const SuspectBook::Entry *SuspectBook::entry(const RequestFingerprint &fingerprint,
                                             Millis now) const
{
    for (const Table *table : {&raised_, &noted_}) {
        const auto found = table->entries.find(fingerprint);
        if (found != table->entries.end() && now < found->second.until)
            return &found->second;
    }
    return nullptr;
}

bool SuspectBook::add(const Suspicion &suspicion, Millis now)
{
    const RequestFingerprint &fingerprint = suspicion.fingerprint;
    if (suspicion.ended.empty() || isProven(fingerprint, now))
        return false;
    const SuspicionLevel before = level(fingerprint, now);
    std::optional<Entry> kept = raised_.take(fingerprint);
    if (!kept)
        kept = noted_.take(fingerprint);
    if (!kept || now >= kept->until)
        kept = Entry{{}, now + std::min(suspicion.left, keptFor)};
    for (const UpstreamLife life : suspicion.ended) {
        const bool isKnown =
            std::find(kept->ended.begin(), kept->ended.end(), life) != kept->ended.end();
        if (!isKnown && kept->ended.size() < mostEnds)
            kept->ended.push_back(life);
    }
    const SuspicionLevel after = levelOf(*kept);
    if (after == SuspicionLevel::Noted)
        noted_.put(fingerprint, std::move(*kept), mostNoted);
    else
        raised_.put(fingerprint, std::move(*kept), mostRaised);
    return after > before && after != SuspicionLevel::Noted;
}

bool SuspectBook::prove(const RequestFingerprint &fingerprint, Millis now)
{
    if (proven_.insert_or_assign(fingerprint, now + provenFor).second)
        provenOrder_.push_back(fingerprint);
    while (provenOrder_.size() > mostProven) {
        proven_.erase(provenOrder_.front());
        provenOrder_.pop_front();
    }
    noted_.take(fingerprint);
    return raised_.take(fingerprint).has_value();
}

bool SuspectBook::isProven(const RequestFingerprint &fingerprint, Millis now) const
{
    const auto found = proven_.find(fingerprint);
    return found != proven_.end() && now < found->second;
}

SuspicionLevel SuspectBook::level(const RequestFingerprint &fingerprint, Millis now) const
{
    const Entry *found = entry(fingerprint, now);
    return found == nullptr ? SuspicionLevel::None : levelOf(*found);
}

std::optional<Suspicion> SuspectBook::find(const RequestFingerprint &fingerprint, Millis now) const
{
    const Entry *found = entry(fingerprint, now);
    if (found == nullptr)
        return std::nullopt;
    return Suspicion{fingerprint, found->ended, found->until - now};
}

std::vector<Suspicion> SuspectBook::nextRaised(std::size_t most, Millis now)
{
    std::vector<Suspicion> next;
    const std::size_t count = std::min(most, raised_.order.size());
    for (std::size_t i = 0; i < count; ++i) {
        raised_.order.push_back(raised_.order.front());
        raised_.order.pop_front();
        if (auto suspicion = find(raised_.order.back(), now))
            next.push_back(std::move(*suspicion));
    }
    return next;
}

std::vector<RequestFingerprint> SuspectBook::expire(Millis now)
{
    std::vector<RequestFingerprint> quarantined;
    for (Table *table : {&raised_, &noted_}) {
        const std::deque<RequestFingerprint> order = table->order;
        for (const RequestFingerprint &fingerprint : order) {
            const Entry &kept = table->entries.at(fingerprint);
            if (now < kept.until)
                continue;
            if (levelOf(kept) == SuspicionLevel::Quarantined)
                quarantined.push_back(fingerprint);
            table->take(fingerprint);
        }
    }
    while (!provenOrder_.empty() && !isProven(provenOrder_.front(), now)) {
        proven_.erase(provenOrder_.front());
        provenOrder_.pop_front();
    }
    return quarantined;
}

} // namespace cuminrail
