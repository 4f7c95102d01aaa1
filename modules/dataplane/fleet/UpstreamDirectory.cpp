#include "dataplane/fleet/UpstreamDirectory.h"

#include <unordered_set>

namespace cuminrail {

namespace {

/** Far longer than any read is stale and than any upstream takes to leave. */
constexpr Millis leavingRetention = Millis::minutes(5);

} // namespace

void UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, Millis now)
{
    versions_.begin(now);
    std::unordered_set<std::string> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.id);
        update(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto &[id, record] : records_) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        remove(id, now);
}

void UpstreamDirectory::update(const UpstreamEntry &entry, Millis now)
{
    const UpstreamIncarnation incarnation = entry.incarnation();
    UpstreamPointer &record = records_[entry.id];
    // After a restart under the same id nothing that is known of the previous incarnation applies.
    const bool isNewIncarnation = record == nullptr || record->entry.startedAt != entry.startedAt
        || record->entry.address != entry.address || record->entry.service != entry.service
        || record->entry.softwareVersion != entry.softwareVersion;
    // A heartbeat of the previous incarnation can be written after the first one of the next.
    if (record != nullptr && entry.startedAt < record->entry.startedAt)
        return;
    if (isNewIncarnation) {
        versions_.added(entry.service, entry.softwareVersion, now);
        if (record != nullptr) {
            record->isLeaving = true;
            versions_.removed(record->entry.service, record->entry.softwareVersion, now);
        }
        record = std::make_shared<UpstreamRecord>();
    }
    record->entry = entry;
    record->lapsedAt.reset();
    record->isMisplaced = false;
    if (entry.isLeaving)
        leavingIncarnations_[incarnation] = now;
    record->isLeaving = leavingIncarnations_.count(incarnation) > 0;
    isStale_ = true;
}

UpstreamPointer UpstreamDirectory::markLeaving(UpstreamIncarnation incarnation, Millis now)
{
    leavingIncarnations_[incarnation] = now;
    for (const auto &[id, record] : records_) {
        if (record->incarnation() != incarnation)
            continue;
        isStale_ = isStale_ || !record->isLeaving;
        record->isLeaving = true;
        return record;
    }
    return nullptr;
}

void UpstreamDirectory::remove(const std::string &id, Millis now)
{
    if (records_.count(id) == 0)
        return;
    if (isWithinGrace(now))
        markLapsed(id, now);
    else
        erase(id, now);
    isStale_ = true;
}

bool UpstreamDirectory::isWithinGrace(Millis now) const
{
    return now - storeReturnedAt_ < lapseGrace;
}

void UpstreamDirectory::markLapsed(const std::string &id, Millis now)
{
    const UpstreamPointer &record = records_[id];
    if (record->isLeaving)
        return erase(id, now);
    if (!record->lapsedAt)
        record->lapsedAt = now;
}

void UpstreamDirectory::erase(const std::string &id, Millis now)
{
    // Requests that hold the record must see that they may no longer be sent there.
    const UpstreamPointer record = records_[id];
    record->isLeaving = true;
    versions_.removed(record->entry.service, record->entry.softwareVersion, now);
    records_.erase(id);
}

void UpstreamDirectory::expire(Millis now)
{
    std::vector<std::string> expired;
    for (const auto &[id, record] : records_) {
        if (record->lapsedAt && !isWithinGrace(now))
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        erase(id, now);
    if (!expired.empty())
        isStale_ = true;
    expireLeaving(now);
}

void UpstreamDirectory::expireLeaving(Millis now)
{
    if (leavingIncarnations_.empty())
        return;
    for (const auto &[id, record] : records_) {
        if (record->isLeaving)
            leavingIncarnations_[record->incarnation()] = now;
    }
    for (auto it = leavingIncarnations_.begin(); it != leavingIncarnations_.end();)
        it = now - it->second > leavingRetention ? leavingIncarnations_.erase(it) : std::next(it);
}

void UpstreamDirectory::markMisplaced(const std::string &id)
{
    const UpstreamPointer record = find(id);
    if (record == nullptr)
        return;
    record->isMisplaced = true;
    isStale_ = true;
}

void UpstreamDirectory::rebuild() const
{
    isStale_ = false;
    usable_.clear();
    for (const auto &[id, record] : records_) {
        if (!record->isLeaving && !record->lapsedAt && !record->isMisplaced)
            usable_[record->entry.service].push_back(record);
    }
    std::unordered_map<std::string, std::vector<UpstreamPointer>> lastResort;
    for (const auto &[id, record] : records_) {
        const std::string &service = record->entry.service;
        if (record->lapsedAt && usable_.count(service) == 0)
            lastResort[service].push_back(record);
    }
    usable_.merge(lastResort);
}

const std::vector<UpstreamPointer> &UpstreamDirectory::usable(const std::string &service) const
{
    static const std::vector<UpstreamPointer> none;
    if (isStale_)
        rebuild();
    const auto found = usable_.find(service);
    return found == usable_.end() ? none : found->second;
}

UpstreamPointer UpstreamDirectory::find(const std::string &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : found->second;
}

} // namespace cuminrail
