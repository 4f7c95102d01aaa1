#include "quarantine/table/SuspicionTable.h"

#include <algorithm>

namespace cuminrail {

namespace {

bool contains(const std::vector<UpstreamIncarnation> &upstreams, UpstreamIncarnation upstream)
{
    return std::find(upstreams.begin(), upstreams.end(), upstream) != upstreams.end();
}

} // namespace

void SuspicionTable::BoundedEntries::put(const ContentFingerprint &content, Entry entry,
                                         std::size_t maxEntries)
{
    if (entries.insert_or_assign(content, std::move(entry)).second)
        order.push_back(content);
    while (order.size() > maxEntries) {
        entries.erase(order.front());
        order.pop_front();
    }
}

std::optional<SuspicionTable::Entry>
SuspicionTable::BoundedEntries::extract(const ContentFingerprint &content)
{
    const auto found = entries.find(content);
    if (found == entries.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    entries.erase(found);
    order.erase(std::find(order.begin(), order.end(), content));
    return entry;
}

const SuspicionTable::Entry *SuspicionTable::entry(const ContentFingerprint &content,
                                                   Millis now) const
{
    for (const BoundedEntries *entries : {&suspects_, &noted_}) {
        const auto found = entries->entries.find(content);
        if (found != entries->entries.end() && now < found->second.expiresAt)
            return &found->second;
    }
    return nullptr;
}

bool SuspicionTable::isVoided(const ContentFingerprint &content, const Ending &ending,
                              Millis now) const
{
    if (voided_.count({content, ending.upstream}) > 0)
        return true;
    const auto beganAt = answered_.lastBeganAt(content, now);
    return beganAt && ending.at < *beganAt;
}

bool SuspicionTable::merge(const Suspicion &suspicion, Entry &entry, Millis now) const
{
    bool isNew = false;
    for (const UpstreamEnding &each : suspicion.endings) {
        const Ending ending{each.upstream, now - each.age, each.isTrial};
        const auto known =
            std::find_if(entry.endings.begin(), entry.endings.end(),
                         [&](const Ending &other) { return other.upstream == each.upstream; });
        if (known != entry.endings.end()) {
            isNew = isNew || (each.isTrial && !known->isTrial);
            known->isTrial = known->isTrial || each.isTrial;
        } else if (entry.endings.size() < maxEndings && !isVoided(suspicion.content, ending, now)) {
            entry.endings.push_back(ending);
            isNew = true;
        }
    }
    return isNew;
}

bool SuspicionTable::add(const Suspicion &suspicion, Millis now)
{
    const ContentFingerprint &content = suspicion.content;
    std::optional<Entry> stored = suspects_.extract(content);
    if (!stored)
        stored = noted_.extract(content);
    if (!stored || now >= stored->expiresAt)
        stored = Entry{{}, wasAnswered(content, now), now + retention};
    bool isNew = merge(suspicion, *stored, now);
    if (suspicion.wasAnswered && !stored->wasAnswered) {
        stored->wasAnswered = true;
        isNew = true;
    }
    const bool isSuspect = stored->endings.size() >= suspectedThreshold;
    put(content, std::move(*stored));
    return isNew && isSuspect;
}

void SuspicionTable::put(const ContentFingerprint &content, Entry entry)
{
    if (entry.endings.size() >= suspectedThreshold)
        suspects_.put(content, std::move(entry), maxSuspects);
    else if (!entry.endings.empty())
        noted_.put(content, std::move(entry), maxNoted);
}

void SuspicionTable::rememberVoided(const ContentFingerprint &content, UpstreamIncarnation upstream)
{
    if (voided_.emplace(content, upstream).second)
        voidedOrder_.emplace_back(content, upstream);
    while (voidedOrder_.size() > maxVoided) {
        voided_.erase(voidedOrder_.front());
        voidedOrder_.pop_front();
    }
}

template<typename Predicate>
std::vector<UpstreamIncarnation> SuspicionTable::removeEndings(const ContentFingerprint &content,
                                                               Predicate isRemoved)
{
    std::vector<UpstreamIncarnation> removed;
    std::optional<Entry> stored = suspects_.extract(content);
    if (!stored)
        stored = noted_.extract(content);
    if (!stored)
        return removed;
    for (const Ending &ending : stored->endings) {
        if (isRemoved(ending))
            removed.push_back(ending.upstream);
    }
    auto &endings = stored->endings;
    endings.erase(std::remove_if(endings.begin(), endings.end(), isRemoved), endings.end());
    put(content, std::move(*stored));
    return removed;
}

std::vector<UpstreamIncarnation> SuspicionTable::recordAnswer(const ContentFingerprint &content,
                                                              Millis beganAt, Millis now)
{
    answered_.record(content, beganAt, now);
    if (isEmpty())
        return {};
    auto removed =
        removeEndings(content, [&](const Ending &ending) { return ending.at < beganAt; });
    for (const UpstreamIncarnation upstream : removed)
        rememberVoided(content, upstream);
    return removed;
}

bool SuspicionTable::voidEndings(const ContentFingerprint &content,
                                 const std::vector<UpstreamIncarnation> &upstreams)
{
    for (const UpstreamIncarnation upstream : upstreams)
        rememberVoided(content, upstream);
    const auto removed = removeEndings(
        content, [&](const Ending &ending) { return contains(upstreams, ending.upstream); });
    return !removed.empty();
}

std::vector<UpstreamIncarnation> SuspicionTable::voidedIn(const Suspicion &suspicion,
                                                          Millis now) const
{
    std::vector<UpstreamIncarnation> voided;
    for (const UpstreamEnding &each : suspicion.endings) {
        if (isVoided(suspicion.content, {each.upstream, now - each.age, each.isTrial}, now))
            voided.push_back(each.upstream);
    }
    return voided;
}

void SuspicionTable::explain(const std::vector<ContentFingerprint> &cause,
                             const std::vector<UpstreamIncarnation> &upstreams)
{
    std::vector<ContentFingerprint> others;
    for (const BoundedEntries *table : {&suspects_, &noted_}) {
        for (const ContentFingerprint &content : table->order) {
            if (std::find(cause.begin(), cause.end(), content) == cause.end())
                others.push_back(content);
        }
    }
    for (const ContentFingerprint &content : others)
        removeEndings(content,
                      [&](const Ending &ending) { return contains(upstreams, ending.upstream); });
}

SuspicionLevel SuspicionTable::level(const ContentFingerprint &content, Millis now) const
{
    const std::size_t count = endingCount(content, now);
    if (count == 0)
        return SuspicionLevel::None;
    return count < suspectedThreshold ? SuspicionLevel::Noted : SuspicionLevel::Suspected;
}

std::size_t SuspicionTable::endingCount(const ContentFingerprint &content, Millis now) const
{
    const Entry *found = entry(content, now);
    return found == nullptr ? 0 : found->endings.size();
}

bool SuspicionTable::isHeld(const ContentFingerprint &content, std::size_t threshold,
                            Millis now) const
{
    const Entry *found = entry(content, now);
    if (found == nullptr || found->endings.size() < threshold)
        return false;
    if (!found->wasAnswered)
        return true;
    const auto [first, last] = std::minmax_element(
        found->endings.begin(), found->endings.end(),
        [](const Ending &one, const Ending &other) { return one.at < other.at; });
    return found->endings.size() > suspectedThreshold && last->at - first->at >= simultaneousSpan;
}

std::optional<Suspicion> SuspicionTable::find(const ContentFingerprint &content, Millis now) const
{
    const Entry *found = entry(content, now);
    if (found == nullptr)
        return std::nullopt;
    Suspicion suspicion{content, {}, found->wasAnswered};
    for (const Ending &ending : found->endings)
        suspicion.endings.push_back({ending.upstream, now - ending.at, ending.isTrial});
    return suspicion;
}

bool SuspicionTable::hasOtherEnding(const Suspicion &suspicion, Millis minAge, Millis maxAge,
                                    Millis now) const
{
    const auto isOther = [&](const Ending &ending) {
        const auto &own = suspicion.endings;
        const Millis age = now - ending.at;
        return age >= minAge && age <= maxAge
            && std::none_of(own.begin(), own.end(), [&](const UpstreamEnding &each) {
                   return each.upstream == ending.upstream;
               });
    };
    for (const BoundedEntries *table : {&suspects_, &noted_}) {
        for (const auto &[content, entry] : table->entries) {
            if (std::any_of(entry.endings.begin(), entry.endings.end(), isOther))
                return true;
        }
    }
    return false;
}

std::size_t SuspicionTable::mostEndings(const std::vector<ContentFingerprint> &without) const
{
    std::size_t most = 0;
    for (const auto &[content, entry] : suspects_.entries) {
        const bool isLeftOut = content.kind() == ContentKind::Request
            || std::find(without.begin(), without.end(), content) != without.end();
        most = std::max(most, isLeftOut ? 0 : entry.endings.size());
    }
    return most;
}

std::vector<ContentFingerprint> SuspicionTable::contents() const
{
    std::vector<ContentFingerprint> contents(suspects_.order.begin(), suspects_.order.end());
    contents.insert(contents.end(), noted_.order.begin(), noted_.order.end());
    return contents;
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

void SuspicionTable::expire(Millis now)
{
    for (BoundedEntries *table : {&suspects_, &noted_}) {
        const std::deque<ContentFingerprint> order = table->order;
        for (const ContentFingerprint &content : order) {
            if (now >= table->entries.at(content).expiresAt)
                table->extract(content);
        }
    }
    answered_.expire(now);
}

} // namespace cuminrail
