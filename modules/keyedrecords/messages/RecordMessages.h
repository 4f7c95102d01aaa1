#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Hash of what a record is about. */
using RecordKey = std::uint64_t;
/** What a record states; never 0. */
using RecordValue = std::uint64_t;

/** A record on its way to an instance that keeps it. */
struct SentRecord
{
    RecordKey key = 0;
    RecordValue value = 0;
    /** Time since it was written. */
    Millis age;
};

/** Records to be kept; confirmed by a RecordReceipt with the same number. */
struct RecordDelivery
{
    std::uint64_t number = 0;
    std::vector<SentRecord> records;
};

/** All records of a delivery are kept. */
struct RecordReceipt
{
    std::uint64_t number = 0;
};

/** Asks for a record. */
struct RecordQuery
{
    std::uint64_t number = 0;
    RecordKey key = 0;
    /** What the record belongs to, for the statement about records that were never sent. */
    std::uint64_t scope = 0;
};

/** How an instance replies to a query. */
struct RecordReply
{
    std::uint64_t number = 0;
    /** 0 if no record of the key is kept, or two with different values were received. */
    RecordValue value = 0;
    /** Two records of the key with different values were received. */
    bool isAmbiguous = false;
    /** The instance's statement about the scope; 0 for none. */
    std::uint64_t statement = 0;
};

using RecordMessage = std::variant<RecordDelivery, RecordReceipt, RecordQuery, RecordReply>;

/** Upper bounds of message fields. */
struct RecordMessageLimits
{
    /** Records in one delivery. */
    static constexpr std::size_t records = 256;
    static constexpr std::uint64_t millis = 3'600'000;
};

std::string encodeRecordMessage(const RecordMessage &message);
/** Returns nothing unless the frame is a complete message within bounds. */
std::optional<RecordMessage> decodeRecordMessage(const std::string &frame);

} // namespace cuminrail
