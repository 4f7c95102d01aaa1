#pragma once

#include "admission/AdmissionTypes.h"
#include "core/limits/TokenBucket.h"

#include <cstdint>
#include <optional>

namespace cuminrail {

/** The part of a customer's limits that one instance may use, or credit that moves with it. */
struct LocalShare
{
    double requestsPerSecond = 0;
    double concurrentRequests = 0;
    double tokensPerSecond = 0;
};

/** One customer's limits at one instance: rate, concurrency, tokens. */
class CustomerLimiter
{
public:
    /** Takes the whole limits; all of them may be used here until setShare(). */
    void configure(const CustomerLimits &whole, Millis burst, Millis now);

    /** Sets the part of each limit that may be used here. */
    void setShare(const LocalShare &share, Millis now);

    /** Returns the limit that holds a request back now, or nothing. */
    std::optional<RefusalCode> heldBackBy(Millis now);

    /** A request starts. */
    void started(double tokens);

    /** It is over; @c tokensMore is what it used beyond the estimate, negative for less. */
    void finished(double tokensMore);

    /** Returns how long until a request may start, were @c ahead others with these tokens first. */
    Millis wait(double ahead, double tokensAhead, Millis now);

    /** Takes up to this much saved credit out, for another instance. Returns what was there. */
    LocalShare takeCredit(const LocalShare &wanted, Millis now);
    void addCredit(const LocalShare &credit, Millis now);

    const LocalShare &share() const { return share_; }
    std::uint32_t running() const { return running_; }

private:
    void apply(Millis now);

    CustomerLimits whole_;
    LocalShare share_;
    Millis burst_;
    TokenBucket requests_;
    TokenBucket tokens_;
    std::uint32_t running_ = 0;
    bool shared_ = false;
};

} // namespace cuminrail
