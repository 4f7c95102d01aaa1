#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <optional>
#include <unordered_map>

namespace cuminrail {

/**
    Pauses that refusing upstreams ask of this instance.

    Load: a burst in which most upstreams of a service refuse, and hundreds of requests that wait or
    are repeated meanwhile. Requests that all came back at the end of a pause would be refused
    together, so a single one tries the upstream and the others follow once it has responded.

    A pause is a promise of this instance alone: the upstream asks each sender for itself.
*/
class UpstreamBackoff
{
public:
    /** Longer pauses are taken for a mistake in the unit and cut to this. */
    static constexpr Millis maxPause = Millis::minutes(10);
    /** A trial without a response after this time no longer keeps other requests back. */
    static constexpr Millis trialTimeout = Millis(2000);
    /** A pause that is over and was never tried is forgotten after this time. */
    static constexpr Millis retention = Millis::seconds(60);

    /**
        The upstream refused a request and asked for a pause. Never shortens one that was asked for
        before, as the upstream has not taken that back. Returns false if nothing changes.
    */
    bool request(UpstreamIncarnation incarnation, Millis pause, Millis now);
    /** Whether any upstream may be pausing; if none is, nothing else needs to be asked. */
    bool isActive() const { return !states_.empty(); }
    std::size_t size() const { return states_.size(); }
    /** Returns for how long nothing may be sent; nothing if a request may be sent now. */
    std::optional<Millis> remaining(UpstreamIncarnation incarnation, Millis now) const;
    /** A request is sent there now; the first one after a pause is its trial. */
    void started(UpstreamIncarnation incarnation, Millis now);
    /** The upstream responded other than by asking for a pause. */
    void responded(UpstreamIncarnation incarnation, Millis now);
    /** A request ended without a response: if it was the trial, the next one is. */
    void aborted(UpstreamIncarnation incarnation, Millis now);
    /** Forgets pauses that have long been over. */
    void expire(Millis now);

private:
    struct State
    {
        Millis until;
        /** Until then a trial is in progress; before the first one not set. */
        std::optional<Millis> trialUntil;
    };

    std::unordered_map<UpstreamIncarnation, State> states_;
};

} // namespace cuminrail
