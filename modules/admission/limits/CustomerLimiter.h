#pragma once

#include "admission/AdmissionTypes.h"
#include "core/limits/TokenBucket.h"

#include <cstdint>
#include <optional>

namespace cuminrail {

/** The part of a customer's limits that one instance may use, or credit moved between instances. */
struct LocalShare
{
    double requestsPerSecond = 0;
    double concurrentRequests = 0;
    double tokensPerSecond = 0;
};

/** Enforces one customer's limits at one instance: request rate, concurrency, token rate. */
class CustomerLimiter
{
public:
    /** Sets the customer's limits over all instances, which apply in full until setShare(). */
    void configure(const CustomerLimits &limits, Millis burst, Millis now);

    /** Sets the part of each limit that this instance may use. */
    void setShare(const LocalShare &share, Millis now);

    /** Returns the limit that another request would exceed now, or nothing. */
    std::optional<RefusalCode> exceededLimit(Millis now);

    /** Counts a request that starts. */
    void started(double tokens);

    /** Counts the end of a request; @c extraTokens is its use minus the estimate. */
    void finished(double extraTokens);

    /** Returns the time until a request may start, after others with these requests and tokens. */
    Millis wait(double requestsAhead, double tokensAhead, Millis now);

    /** Removes up to this much credit, for another instance. Returns the amount removed. */
    LocalShare takeCredit(const LocalShare &wanted, Millis now);
    void addCredit(const LocalShare &credit, Millis now);

    const LocalShare &share() const { return share_; }
    std::uint32_t running() const { return running_; }

private:
    void apply(Millis now);

    CustomerLimits customerLimits_;
    LocalShare share_;
    Millis burst_;
    TokenBucket requests_;
    TokenBucket tokens_;
    std::uint32_t running_ = 0;
    bool hasLocalShare_ = false;
};

} // namespace cuminrail
