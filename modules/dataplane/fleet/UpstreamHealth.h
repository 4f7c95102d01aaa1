#pragma once

#include "core/time/Millis.h"

#include <string>
#include <unordered_map>

namespace cuminrail {

/** What the outcome of an attempt shows about the health of an upstream. */
enum class AttemptSign : std::uint8_t {
    Good,
    /** It responded with an error of its own. */
    Failure,
    /** It rejected the request because it is full; not a fault. */
    Full,
    /** The connection broke, the response was invalid or missing, or it was unreachable. */
    Broken,
};

/**
    Passive outlier detection: ejects upstreams for a limited time after bad outcomes of requests.

    An upstream can fail part of its requests while it reports itself as healthy, and callers would
    see errors that do not stop. Every instance observes outcomes without any probe, so they decide.
    Ejection is only a preference: an ejected upstream is used when no better one is left.
*/
class UpstreamHealth
{
public:
    /** Weight of one outcome in the moving average of bad ones, which covers about the last 8. */
    static constexpr double sampleWeight = 0.12;
    /** Reached by two broken attempts in a row (0.23), or more than a quarter of them over time. */
    static constexpr double ejectionThreshold = 0.22;
    static constexpr Millis minEjectionTime = Millis(1000);
    static constexpr Millis maxEjectionTime = Millis(8000);
    /** A trial request without an outcome after this time no longer blocks other requests. */
    static constexpr Millis trialTimeout = Millis(2000);

    void record(const std::string &upstream, AttemptSign sign, Millis now);
    /** Call when a request is sent to the upstream; the first one after an ejection is its trial.
     */
    void started(const std::string &upstream, Millis now);
    /** Call when any part of a response arrived from the upstream. */
    void progressed(const std::string &upstream, Millis now)
    {
        states_[upstream].lastProgressAt = now;
    }
    /** Returns true if any part of a response arrived within the last @p span. */
    bool hasProgressed(const std::string &upstream, Millis span, Millis now) const;
    /**
        Returns true while the upstream is ejected, so that others are preferred: for some time
        after bad outcomes, and then until its single trial request has ended. Without the limit to
        one, all current requests would be trials and wait for an upstream that may still be dead.
    */
    bool isEjected(const std::string &upstream, Millis now) const;
    /** Returns the share of recent bad outcomes, 0 to 1. */
    double badShare(const std::string &upstream) const;
    void forget(const std::string &upstream) { states_.erase(upstream); }
    /** Forgets all ejections; outcomes were those of this instance's path. */
    void forgetEjections();

private:
    struct State
    {
        double badShare = 0;
        Millis ejectedUntil = Millis(-1);
        Millis ejectionTime;
        /** Until then a trial request is in progress after an ejection. */
        Millis trialUntil = Millis(-1);
        bool isOnTrial = false;
        Millis lastProgressAt = Millis(-1000000);
    };

    std::unordered_map<std::string, State> states_;
};

} // namespace cuminrail
