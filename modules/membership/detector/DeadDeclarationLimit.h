#pragma once

#include "core/ids/Ids.h"
#include "membership/model/MemberTable.h"

namespace cuminrail {

/**
    Limits how many members of a region may be declared dead for being unresponsive.

    If a large part of a region is unresponsive at once, a network partition is more likely than a
    failure of all of them. Declaring them dead would let the smaller side of the partition take
    over every duty and drop its peers, so they are kept as unreachable and still probed
    occasionally. Counted per region, so that losing contact with another region does not prevent
    the detection of a dead instance in this one, and vice versa.
*/
class DeadDeclarationLimit
{
public:
    /**
        @param share   share of a region's members that may be unresponsive and still be declared
                       dead
        @param window  how long a member declared dead counts as unresponsive
    */
    DeadDeclarationLimit(double maxShare, Millis window) : maxShare_(maxShare), window_(window) { }

    /** Returns true if the unresponsive members of a region may be declared dead. */
    bool mayDeclareDead(const MemberTable &table, const MemberRecord &self, const RegionId &region,
                        Millis now) const;

private:
    double maxShare_;
    Millis window_;
};

} // namespace cuminrail
