#pragma once

#include "membership/measure/VirtualCluster.h"

namespace cuminrail {

/** Traffic and propagation times of the membership for one cluster size. */
struct MembershipMeasurement
{
    std::size_t instances = 0;
    /**
        Sent per instance and second in the steady state, including framing: mean, and the busiest
        instance.
    */
    double bytesPerSecond = 0;
    double worstBytesPerSecond = 0;
    double framesPerSecond = 0;
    /** From the start of all instances until each knows all others. */
    Millis convergenceTime;
    /**
        From the broadcast of an urgent fact until half, and until all, of the instances received
        it.
    */
    Millis factMedian;
    Millis factWorst;
    /** From a crash until half, and until all, of the instances have declared the instance dead. */
    Millis crashMedian;
    Millis crashWorst;
    /** Running members that were declared dead, over the whole run. */
    std::uint64_t falseDeadDeclarations = 0;
};

/** Simulates a cluster of the given shape in virtual time; the same seed yields the same result. */
MembershipMeasurement measureMembership(const ClusterShape &shape);

} // namespace cuminrail
