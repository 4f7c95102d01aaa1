#pragma once

#include "core/ids/Ids.h"
#include "membership/model/MemberTable.h"

namespace cuminrail {

/**
    Bounds how many members of a region may be declared dead for their silence alone.

    When a large part of a region is silent at once, a cut between here and there is likelier than
    that all of them stopped: declaring them dead would let the small side of a cut take up every
    duty and forget its peers. They are then kept as unreachable, and still probed now and then.
    Counted per region, so that losing sight of another region does not keep a dead instance of
    this one from being noticed, and the reverse.
*/
class SilenceBound
{
public:
    /**
        @param share   of a region's members that may be silent and still be declared dead
        @param window  how long a member that was declared dead counts as silent
    */
    SilenceBound(double share, Millis window) : share_(share), window_(window) { }

    /** Returns true when the silent members of a region may be declared dead. */
    bool mayDeclareDead(const MemberTable &table, const MemberRecord &self, const RegionId &region,
                        Millis now) const;

private:
    double share_;
    Millis window_;
};

} // namespace cuminrail
