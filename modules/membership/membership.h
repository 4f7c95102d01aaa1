#pragma once

/**
    Which instances there are, whether they answer, and urgent facts told to all of them.

    Purpose: instances learn of each other from seeds, the platform's lagging list and each other.
    Each probes a few neighbours on a ring of hashes, asks others to confirm a silence before it
    is believed, and passes news on with its messages. Cost per instance grows with the logarithm
    of their number. docs/MEMBERSHIP.md says what was weighed and measured.

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
