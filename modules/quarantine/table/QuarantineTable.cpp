#include "quarantine/table/QuarantineTable.h"

#include <algorithm>

namespace cuminrail {

namespace {

bool includesAll(const std::vector<ContentFingerprint> &all,
                 const std::vector<ContentFingerprint> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const ContentFingerprint &each) {
        return std::find(all.begin(), all.end(), each) != all.end();
    });
}

} // namespace

std::string Quarantine::id() const
{
    if (contents.size() == 1)
        return contents.front().text();
    std::string joined;
    for (const ContentFingerprint &each : contents)
        joined += each.text();
    return ContentFingerprint::ofRequest({}, {}, joined).text();
}

Quarantine QuarantineTable::quarantineOf(const Entry &entry, Millis now)
{
    return {entry.contents, entry.ended, now - entry.since, entry.expiresAt - now};
}

bool QuarantineTable::isSuperseded(const std::vector<ContentFingerprint> &contents) const
{
    return std::any_of(quarantines_.begin(), quarantines_.end(), [&](const auto &each) {
        return includesAll(contents, each.second.contents);
    });
}

const QuarantineTable::Ended *QuarantineTable::endedSince(const Quarantine &quarantine,
                                                          Millis now) const
{
    const auto ended = ended_.find(quarantine.id());
    const bool isLater = ended != ended_.end() && now - quarantine.age <= ended->second.at;
    return isLater ? &ended->second : nullptr;
}

bool QuarantineTable::wasLiftedSince(const Quarantine &quarantine, Millis now) const
{
    const Ended *ended = endedSince(quarantine, now);
    return ended != nullptr && ended->isByOperator;
}

bool QuarantineTable::add(const Quarantine &quarantine, Millis now)
{
    if (quarantine.contents.empty() || endedSince(quarantine, now) != nullptr
        || isSuperseded(quarantine.contents) || quarantines_.size() >= maxQuarantines)
        return false;
    // A quarantine on fewer contents replaces those on more of them.
    std::vector<std::string> replaced;
    for (const auto &[otherId, entry] : quarantines_) {
        if (includesAll(entry.contents, quarantine.contents))
            replaced.push_back(otherId);
    }
    for (const std::string &each : replaced)
        extract(each);
    insert(quarantine.id(),
           {quarantine.contents, quarantine.ended, now - quarantine.age,
            now + std::min(quarantine.remaining, retention)});
    return true;
}

void QuarantineTable::insert(const std::string &id, Entry entry)
{
    for (const ContentFingerprint &content : entry.contents)
        byContent_.emplace(content, id);
    quarantines_.insert_or_assign(id, std::move(entry));
}

std::optional<QuarantineTable::Entry> QuarantineTable::extract(const std::string &id)
{
    const auto found = quarantines_.find(id);
    if (found == quarantines_.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    quarantines_.erase(found);
    for (const ContentFingerprint &content : entry.contents) {
        const auto [begin, end] = byContent_.equal_range(content);
        const auto named =
            std::find_if(begin, end, [&](const auto &each) { return each.second == id; });
        if (named != end)
            byContent_.erase(named);
    }
    return entry;
}

bool QuarantineTable::end(const std::string &id, const Ended &ended)
{
    if (ended_.insert_or_assign(id, ended).second)
        endedOrder_.push_back(id);
    if (endedOrder_.size() > maxEnded) {
        ended_.erase(endedOrder_.front());
        endedOrder_.pop_front();
    }
    return extract(id).has_value();
}

std::vector<QuarantineTable::Change>
QuarantineTable::clear(const ContentFingerprint &content,
                       const std::vector<UpstreamIncarnation> &upstreams, Millis now)
{
    const auto isCleared = [&](UpstreamIncarnation each) {
        return std::find(upstreams.begin(), upstreams.end(), each) != upstreams.end();
    };
    std::vector<Change> changes;
    const auto [begin, end] = byContent_.equal_range(content);
    for (auto each = begin; each != end; ++each) {
        const Entry &entry = quarantines_.at(each->second);
        if (std::all_of(entry.ended.begin(), entry.ended.end(), isCleared))
            changes.push_back({each->second, {}});
    }
    for (Change &change : changes) {
        Quarantine rest = quarantineOf(*extract(change.oldId), now);
        rest.contents.erase(std::find(rest.contents.begin(), rest.contents.end(), content));
        if (!rest.contents.empty() && add(rest, now))
            change.newId = rest.id();
    }
    return changes;
}

std::vector<UpstreamIncarnation> QuarantineTable::endedBefore(const ContentFingerprint &content,
                                                              Millis time) const
{
    std::vector<UpstreamIncarnation> ended;
    const auto [begin, end] = byContent_.equal_range(content);
    for (auto each = begin; each != end; ++each) {
        const Entry &entry = quarantines_.at(each->second);
        if (entry.since < time)
            ended.insert(ended.end(), entry.ended.begin(), entry.ended.end());
    }
    return ended;
}

std::optional<Quarantine> QuarantineTable::matching(const RequestContents &contents,
                                                    Millis now) const
{
    for (const ContentFingerprint &content : contents.all()) {
        const auto [begin, end] = byContent_.equal_range(content);
        for (auto each = begin; each != end; ++each) {
            const Entry &entry = quarantines_.at(each->second);
            if (now < entry.expiresAt && includesAll(contents.all(), entry.contents))
                return quarantineOf(entry, now);
        }
    }
    return std::nullopt;
}

std::optional<Quarantine> QuarantineTable::find(const std::string &id, Millis now) const
{
    const auto found = quarantines_.find(id);
    if (found == quarantines_.end() || now >= found->second.expiresAt)
        return std::nullopt;
    return quarantineOf(found->second, now);
}

std::vector<Quarantine> QuarantineTable::all(Millis now) const
{
    std::vector<Quarantine> quarantines;
    for (const auto &[id, entry] : quarantines_) {
        if (now < entry.expiresAt)
            quarantines.push_back(quarantineOf(entry, now));
    }
    return quarantines;
}

std::vector<std::string> QuarantineTable::expire(Millis now)
{
    std::vector<std::string> expired;
    for (const auto &[id, entry] : quarantines_) {
        if (now >= entry.expiresAt)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        extract(id);
    return expired;
}

} // namespace cuminrail
