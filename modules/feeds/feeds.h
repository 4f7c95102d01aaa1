#pragma once

/**
    Replication of the parts of the store that every instance follows.

    A single instance watches the store itself. Where a failure domain has many instances, the first
    two by rendezvous hashing watch on behalf of all: they distribute the changes that their watches
    return and announce several times a second how current they are. While nobody does so, the other
    instances try in turn, so that a store that is down, or that refuses the watchers, receives few
    calls.

    Depends on core, ports, membership (bounds and encoding of frames).
*/

#include "feeds/follower/FeedFollower.h"
#include "feeds/follower/FeedGroup.h"
#include "feeds/follower/WatchCoordinator.h"
#include "feeds/messages/FeedMessages.h"
