#pragma once

#include "membership/measure/VirtualCluster.h"

namespace cuminrail {

/** What membership costs an instance, and how fast it is, at one size. */
struct MembershipFigures
{
    std::size_t instances = 0;
    /** Sent by one instance in a second at rest, framing included: mean and the busiest one. */
    double bytesPerSecond = 0;
    double worstBytesPerSecond = 0;
    double framesPerSecond = 0;
    /** From the start of all instances until all know all. */
    Millis timeToSettle;
    /** From an urgent fact's broadcast until half, and until all, know it. */
    Millis factMedian;
    Millis factWorst;
    /** From a crash until half, and until all, have declared the instance dead. */
    Millis crashMedian;
    Millis crashWorst;
    /** Members declared dead that were running, over the whole run. */
    std::uint64_t wrongEvictions = 0;
};

/** Runs a cluster of a shape in virtual time and measures; the same seed gives the same figures. */
MembershipFigures measureMembership(const ClusterShape &shape);

} // namespace cuminrail
