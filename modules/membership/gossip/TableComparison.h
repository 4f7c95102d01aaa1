#pragma once

#include "membership/messages/MembershipMessages.h"
#include "membership/model/MemberTable.h"

#include <vector>

namespace cuminrail {

/** Returns a summary of all members that are not dead, including this one. */
std::vector<TableSummaryEntry> summarize(const MemberTable &table, const MemberRecord &self);

/**
    Returns the table's records that are missing from a summary or differ from it, as many as fit
    into one message.

    Dead members are included only if the summary lists them as not dead; all other instances have
    no use for them.
*/
std::vector<MemberRecord> differingRecords(const MemberTable &table,
                                           const std::vector<TableSummaryEntry> &summary);

} // namespace cuminrail
