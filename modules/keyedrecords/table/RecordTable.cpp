#include "keyedrecords/table/RecordTable.h"

#include <algorithm>

namespace cuminrail {

void RecordTable::add(RecordKey key, const Record &record)
{
    const auto [found, isNew] = records_.try_emplace(key, record);
    if (isNew) {
        expiries_.push_back({record.expiresAt, key});
        while (records_.size() > capacity_)
            popFront(record.writtenAt, true);
        return;
    }
    Record &known = found->second;
    if (known.value != record.value)
        known.value = 0;
    known.writtenAt = std::max(known.writtenAt, record.writtenAt);
    known.expiresAt = std::max(known.expiresAt, record.expiresAt);
    known.isUnsent = known.isUnsent && record.isUnsent;
}

void RecordTable::popFront(Millis now, bool isFull)
{
    const Expiry front = expiries_.front();
    expiries_.pop_front();
    const auto found = records_.find(front.key);
    if (found == records_.end())
        return;
    // A renewed record moves to the back; its place is that of its new expiry.
    if (found->second.expiresAt > front.at) {
        expiries_.push_back({found->second.expiresAt, front.key});
        return;
    }
    dropped_ += isFull && found->second.expiresAt > now ? 1 : 0;
    records_.erase(found);
}

const RecordTable::Record *RecordTable::find(RecordKey key, Millis now) const
{
    const auto found = records_.find(key);
    return found == records_.end() || found->second.expiresAt <= now ? nullptr : &found->second;
}

std::vector<RecordKey> RecordTable::takeUnsent(Millis now)
{
    std::vector<RecordKey> unsent;
    for (auto &[key, record] : records_) {
        if (record.isUnsent && record.expiresAt > now)
            unsent.push_back(key);
        record.isUnsent = false;
    }
    return unsent;
}

std::vector<RecordKey> RecordTable::keys(Millis now) const
{
    std::vector<RecordKey> all;
    for (const auto &[key, record] : records_) {
        if (record.expiresAt > now)
            all.push_back(key);
    }
    return all;
}

void RecordTable::expire(Millis now)
{
    while (!expiries_.empty() && expiries_.front().at <= now)
        popFront(now, false);
}

std::size_t RecordTable::bytes() const
{
    constexpr std::size_t nodeBytes = sizeof(RecordKey) + sizeof(Record) + 3 * sizeof(void *);
    return records_.size() * nodeBytes + expiries_.size() * sizeof(Expiry);
}

} // namespace cuminrail
