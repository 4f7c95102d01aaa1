#pragma once

/**
    Membership: known instances, failure detection, and urgent facts broadcast to all instances.

    Purpose: instances discover each other from seeds, from the platform's instance list (which lags
    behind) and from each other. Each probes a few neighbours on a hash ring, asks other members for
    indirect probes before it suspects one, and piggybacks updates on its messages. The cost per
    instance grows with the logarithm of their number. docs/MEMBERSHIP.md describes the alternatives
    and gives figures.

    Depends on: core, ports, nlohmann-json.
*/

#include "membership/Membership.h"
#include "membership/facts/FactStore.h"
#include "membership/facts/UrgentFact.h"
#include "membership/gossip/UpdateQueue.h"
#include "membership/measure/MembershipMeasure.h"
#include "membership/measure/VirtualCluster.h"
#include "membership/messages/FrameChannel.h"
#include "membership/messages/MembershipCodec.h"
#include "membership/messages/MembershipMessages.h"
#include "membership/model/Member.h"
#include "membership/model/MemberTable.h"
#include "membership/ring/NeighbourRing.h"
