#pragma once

#include "core/time/Millis.h"

#include <string>
#include <unordered_map>

namespace cuminrail {

/** How an attempt speaks for or against an upstream. */
enum class AttemptSign : std::uint8_t {
    Good,
    /** It answered, with a failure of its own. */
    Failure,
    /** It refused because it is full; no sign of a fault. */
    Full,
    /** It broke off, answered nonsense or nothing, or could not be reached. */
    Broken,
};

/**
    Which upstreams are set aside for a while because their real outcomes were bad.

    An upstream can fail part of its requests while it reports itself as healthy. Callers notice
    errors that do not stop. Outcomes are seen by every instance without any probe, so they decide.
    Set aside is a matter of preference only: when nobody better is left, such an upstream is used.
*/
class UpstreamHealth
{
public:
    /** One more outcome weighs this much in the moving share of bad ones: about 8 remembered. */
    static constexpr double sampleWeight = 0.12;
    /** Two breaks in a row (0.23), or more than a quarter of attempts over time. */
    static constexpr double setAsideAbove = 0.22;
    static constexpr Millis firstPause = Millis(1000);
    static constexpr Millis longestPause = Millis(8000);
    /** After this long without an outcome a trial counts as lost. */
    static constexpr Millis trialTime = Millis(2000);

    void record(const std::string &upstream, AttemptSign sign, Millis now);
    /** A request goes to the upstream; after its pause the first one is its trial. */
    void started(const std::string &upstream, Millis now);
    /** Something of an answer came from the upstream. */
    void progressed(const std::string &upstream, Millis now) { states_[upstream].progress = now; }
    /** Returns true if the upstream showed within this span that it works. */
    bool hasProgressed(const std::string &upstream, Millis span, Millis now) const;
    /**
        Returns true while the upstream should get no work if another one can: for a pause after
        bad outcomes, and then until its single trial has ended. Without that bound all requests of
        the moment would be its trial, and wait for an upstream that is still dead.
    */
    bool isSetAside(const std::string &upstream, Millis now) const;
    /** Returns the share of bad outcomes of late, 0 to 1. */
    double badShare(const std::string &upstream) const;
    void forget(const std::string &upstream) { states_.erase(upstream); }

private:
    struct State
    {
        double bad = 0;
        Millis until = Millis(-1);
        Millis pause;
        /** The trial after a pause is under way until then. */
        Millis trialUntil = Millis(-1);
        bool isOnTrial = false;
        Millis progress = Millis(-1000000);
    };

    std::unordered_map<std::string, State> states_;
};

} // namespace cuminrail
