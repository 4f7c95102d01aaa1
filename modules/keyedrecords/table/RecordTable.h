#pragma once

#include "keyedrecords/messages/RecordMessages.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    Records in the memory of one instance: those it wrote and those it keeps for others.

    Bounded: when it is full, the record that expires first is dropped.
*/
class RecordTable
{
public:
    static constexpr std::size_t defaultCapacity = 8192;

    struct Record
    {
        /** 0 if records with different values were added for the key. */
        RecordValue value = 0;
        Millis writtenAt;
        Millis expiresAt;
        /** Written here and not sent to any other instance. */
        bool isUnsent = false;
    };

    explicit RecordTable(std::size_t capacity = defaultCapacity) : capacity_(capacity) { }

    /** Adds a record, or renews it; a different value makes the key ambiguous. */
    void add(RecordKey key, const Record &record);
    /** Returns an unexpired record, or null. */
    const Record *find(RecordKey key, Millis now) const;
    /** Returns the unexpired records that were not sent, and marks them as sent. */
    std::vector<RecordKey> takeUnsent(Millis now);
    /** Returns all unexpired keys. */
    std::vector<RecordKey> keys(Millis now) const;
    void expire(Millis now);
    std::size_t size() const { return records_.size(); }
    /** Records that were dropped before they expired. */
    std::uint64_t dropped() const { return dropped_; }
    /** Returns an estimate of the memory that the records occupy. */
    std::size_t bytes() const;

private:
    struct Expiry
    {
        Millis at;
        RecordKey key = 0;
    };

    /** Drops the record at the front of the queue unless it was renewed. */
    void popFront(Millis now, bool isFull);

    std::size_t capacity_;
    std::unordered_map<RecordKey, Record> records_;
    /** Each record once, nearly in the order of expiry. */
    std::deque<Expiry> expiries_;
    std::uint64_t dropped_ = 0;
};

} // namespace cuminrail
