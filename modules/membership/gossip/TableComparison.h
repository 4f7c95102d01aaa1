#pragma once

#include "membership/messages/MembershipMessages.h"
#include "membership/model/MemberTable.h"

#include <vector>

namespace cuminrail {

/** Returns a summary of all members that are not dead, and of this one. */
std::vector<TableLine> summarize(const MemberTable &table, const MemberRecord &self);

/**
    Returns the records of a table that a summary lacks or has otherwise, as many as fit a message.

    Of the dead only those that the summary takes for living: nobody needs to hear of the others.
*/
std::vector<MemberRecord> recordsThatDiffer(const MemberTable &table,
                                            const std::vector<TableLine> &summary);

} // namespace cuminrail
