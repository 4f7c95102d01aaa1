#pragma once

#include "core/ids/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cuminrail {

/** One life of an upstream that is going away. */
struct LeavingUpstream
{
    UpstreamId upstream;
    Incarnation incarnation = 0;
};

/**
    Which upstreams are leaving: they get no new work, for the rest of that life.

    The platform's list lags, so an upstream that was reported as leaving may still be listed as
    live, and a list read later may be an older one. Taking it back would send new work to an
    engine that is about to go, which callers see as broken streams. So leaving is sticky: only a
    greater incarnation of the same upstream gets work again. Merging is idempotent and
    independent of order, so that instances can tell each other in any order.

    Used by the control thread.
*/
class LeavingSet
{
public:
    /** Marks one life as leaving. Returns true when this is news that peers should hear. */
    bool mark(const LeavingUpstream &leaving);

    /** Returns true when this life of the upstream, or a later one, was reported leaving. */
    bool contains(const UpstreamId &upstream, Incarnation incarnation) const;

    /** Returns all entries, for telling a peer or for the state dump. */
    std::vector<LeavingUpstream> entries() const;

    /** Forgets upstreams that are no longer in the settings. */
    void retain(const std::vector<UpstreamId> &known);

    std::size_t size() const { return leaving_.size(); }

private:
    std::map<UpstreamId, Incarnation> leaving_;
};

} // namespace cuminrail
