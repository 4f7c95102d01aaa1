#include "membership/gossip/TableComparison.h"

#include "core/hash/StableHash.h"
#include "membership/gossip/UpdateQueue.h"

#include <unordered_map>

namespace cuminrail {

namespace {

constexpr std::size_t kRecordBytes = 40 * 1024;

TableLine lineOf(const MemberRecord &record)
{
    return TableLine{StableHash().add(record.id.text()).value(), MemberTable::hash(record)};
}

} // namespace

std::vector<TableLine> summarize(const MemberTable &table, const MemberRecord &self)
{
    // Without the own line the reply would describe the sender to itself.
    std::vector<TableLine> lines{lineOf(self)};
    for (const auto &item : table.entries()) {
        const MemberRecord &record = item.second.record;
        if (record.status != MemberStatus::Dead && lines.size() < MembershipLimits::lines)
            lines.push_back(lineOf(record));
    }
    return lines;
}

std::vector<MemberRecord> recordsThatDiffer(const MemberTable &table,
                                            const std::vector<TableLine> &summary)
{
    std::unordered_map<std::uint64_t, std::uint64_t> theirs;
    for (const TableLine &line : summary)
        theirs[line.idHash] = line.recordHash;
    std::vector<MemberRecord> records;
    std::size_t bytes = 0;
    for (const auto &item : table.entries()) {
        const MemberRecord &record = item.second.record;
        const TableLine line = lineOf(record);
        const auto known = theirs.find(line.idHash);
        const bool isDead = record.status == MemberStatus::Dead;
        const bool isUnknown = known == theirs.end();
        const bool isTold = isUnknown ? !isDead : isDead || known->second != line.recordHash;
        if (!isTold)
            continue;
        bytes += newsSize(record);
        if (bytes > kRecordBytes || records.size() >= MembershipLimits::records)
            break;
        records.push_back(record);
    }
    return records;
}

} // namespace cuminrail
