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

    void record(const std::string &upstream, AttemptSign sign, Millis now);
    /** Returns true while the upstream should get no work if another one can. */
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
    };

    std::unordered_map<std::string, State> states_;
};

} // namespace cuminrail
