#pragma once

#include "core/time/Millis.h"

#include <cstdint>

namespace cuminrail {

/** Latency of one finished phase of a request. */
struct LatencySample
{
    /** Measured duration and its target. */
    double seconds = 0;
    double allowedSeconds = 0;
};

/**
    Adapts the amount of work in progress at a pool to the observed latencies.

    Nominal rates don't show how much work an engine can take: prefill and decode share its time,
    cached prefixes cost nothing, and a slow engine does not report that it is slow. With too much
    work in progress, requests are late at the engine, where they can no longer be refused; with too
    little, capacity idles while requests are queued. So the window shrinks by a tenth when too
    large a share of requests is late, and grows slowly while requests are queued and not late.
*/
class WindowController
{
public:
    /** Records the time to first token of a request. */
    void recordFirstToken(const LatencySample &sample, Millis now);

    /** Records the mean time per token of a finished response. */
    void recordTokenTime(const LatencySample &sample, Millis now);

    /** Records that a request was queued because the window was full. */
    void recordFullWindow() { windowWasFull_ = true; }

    /** Returns the factor on the nominal window. */
    double factor() const { return factor_; }

private:
    void evaluate(Millis now);

    double factor_ = 1;
    std::uint32_t samples_ = 0;
    std::uint32_t late_ = 0;
    std::uint32_t responses_ = 0;
    std::uint32_t slow_ = 0;
    bool windowWasFull_ = false;
    Millis evaluatedAt_;
};

} // namespace cuminrail
