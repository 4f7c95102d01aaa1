#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** What one finished phase of a request says about a pool's load. */
struct LatencySample
{
    /** How long it took, and how long it may take. */
    double seconds = 0;
    double allowedSeconds = 0;
};

/**
    Adapts how much work may be in progress at a pool to the latencies that are really seen.

    Nominal speeds do not tell how much an engine bears: reading and writing share its time, cached
    prefixes cost nothing, and a slow engine says nothing of itself. With too much in progress
    requests are late at the engine, where nobody can refuse them any more; with too little,
    capacity idles while requests wait. So the window shrinks by a tenth when more than a few in a
    hundred are late, and grows slowly while requests wait and are not late.
*/
class WindowController
{
public:
    /** A first token came. */
    void firstToken(const LatencySample &sample, Millis now);

    /** An answer is whole: seconds for each token. */
    void answer(const LatencySample &sample, Millis now);

    /** A request had to wait because the window was full. */
    void heldBack() { heldBack_ = true; }

    /** Returns the factor on the nominal window. */
    double factor() const { return factor_; }

private:
    void evaluate(Millis now);

    double factor_ = 1;
    std::uint32_t samples_ = 0;
    std::uint32_t late_ = 0;
    std::uint32_t answers_ = 0;
    std::uint32_t slow_ = 0;
    bool heldBack_ = false;
    Millis evaluatedAt_;
};

} // namespace cuminrail
