#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cuminrail {

/** One incarnation of an upstream that is about to stop. */
struct LeavingUpstream
{
    UpstreamId upstream;
    Incarnation incarnation = 0;
};

/**
    The upstreams that are leaving: they get no new work for the rest of their incarnation.

    The platform's list lags, so an upstream that was reported as leaving may still be listed as
    live, and a list read later may be an older one. If such a list cleared the mark, new work would
    go to an engine that is about to stop, and callers would see broken streams. So the mark is
    sticky: only a greater incarnation of the same upstream gets work again. Merging is idempotent
    and independent of order, so that instances can exchange entries in any order.

    Used by the control thread.
*/
class LeavingSet
{
public:
    /** Marks an incarnation as leaving. Returns true when it is new and should be announced. */
    bool mark(const LeavingUpstream &leaving);

    /** Returns true when this incarnation of the upstream or a later one is marked as leaving. */
    bool contains(const UpstreamId &upstream, Incarnation incarnation) const;

    /** Returns all entries, for announcements to peers and for the state dump. */
    std::vector<LeavingUpstream> entries() const;

    /** Removes entries of upstreams that are no longer in the settings. */
    void retain(const std::vector<UpstreamId> &known);

    std::size_t size() const { return leaving_.size(); }

private:
    std::map<UpstreamId, Incarnation> leaving_;
};

} // namespace cuminrail
