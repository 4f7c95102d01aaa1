#pragma once

#include "core/time/Millis.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace cuminrail {

/** Limits on the retries of all instances together. */
struct RetryBounds
{
    /** Retries per first attempt, over the window. */
    double ratio = 0.2;
    Millis window = Millis::seconds(10);
    /** Retries in addition to the ratio, over the window, of all instances together. */
    double extra = 0;
};

/**
    One instance's share of the system-wide retry limit, for each service.

    When upstreams fail under overload, retries by every instance multiply the load on them. No
    coordination is needed to limit that: if each instance keeps its retries below the ratio of its
    own first attempts, all instances together do too. The fixed part of the limit is divided by the
    number of instances.

    With many instances and few requests each, a share is less than one retry, and rounded down the
    shares of all would be nothing. So such an instance has one retry in as many windows as its
    share says, each instance in others.
*/
class RetryAllowance
{
public:
    /** Share of the system's limit that is used, since requests in transit shift between windows.
     */
    static constexpr double safety = 0.6;

    /** @param spreadKey  differs between instances */
    explicit RetryAllowance(RetryBounds bounds, std::uint64_t spreadKey = 0)
        : bounds_(bounds), spreadKey_(spreadKey)
    { }

    void setInstances(std::size_t count) { instances_ = count == 0 ? 1 : count; }
    /** Counts the first attempt of a request. */
    void recordFirstAttempt(const std::string &service, Millis now);
    /** Counts a retry and returns true if the limit allows it; otherwise returns false. */
    bool tryAcquireRetry(const std::string &service, Millis now);

private:
    struct Window
    {
        std::deque<Millis> firstAttempts;
        std::deque<Millis> retries;
    };
    void expire(Window &window, Millis now) const;
    /** Returns the retries that a share allows; one below 1 is reached on average over windows. */
    std::size_t retriesOf(double share, const std::string &service, Millis now) const;

    RetryBounds bounds_;
    std::uint64_t spreadKey_;
    /** Assumed until the other instances are known; more than present systems have. */
    std::size_t instances_ = 16;
    std::unordered_map<std::string, Window> windows_;
};

} // namespace cuminrail
