#include "membership/gossip/TableComparison.h"

#include "core/hash/StableHash.h"
#include "membership/gossip/UpdateQueue.h"

#include <unordered_map>

namespace cuminrail {

namespace {

constexpr std::size_t kRecordBytes = 40 * 1024;

TableSummaryEntry summaryEntryOf(const MemberRecord &record)
{
    return TableSummaryEntry{StableHash().add(record.id.text()).value(), MemberTable::hash(record)};
}

} // namespace

std::vector<TableSummaryEntry> summarize(const MemberTable &table, const MemberRecord &self)
{
    // Without an entry for the sender the reply would contain the sender's own record.
    std::vector<TableSummaryEntry> entries{summaryEntryOf(self)};
    for (const auto &item : table.entries()) {
        const MemberRecord &record = item.second.record;
        if (record.status != MemberStatus::Dead && entries.size() < MembershipLimits::entries)
            entries.push_back(summaryEntryOf(record));
    }
    return entries;
}

std::vector<MemberRecord> differingRecords(const MemberTable &table,
                                           const std::vector<TableSummaryEntry> &summary)
{
    std::unordered_map<std::uint64_t, std::uint64_t> peerHashes;
    for (const TableSummaryEntry &entry : summary)
        peerHashes[entry.idHash] = entry.recordHash;
    std::vector<MemberRecord> records;
    std::size_t bytes = 0;
    for (const auto &item : table.entries()) {
        const MemberRecord &record = item.second.record;
        const TableSummaryEntry entry = summaryEntryOf(record);
        const auto known = peerHashes.find(entry.idHash);
        const bool isDead = record.status == MemberStatus::Dead;
        const bool isUnknown = known == peerHashes.end();
        const bool isIncluded = isUnknown ? !isDead : isDead || known->second != entry.recordHash;
        if (!isIncluded)
            continue;
        bytes += updateSize(record);
        if (bytes > kRecordBytes || records.size() >= MembershipLimits::records)
            break;
        records.push_back(record);
    }
    return records;
}

} // namespace cuminrail
