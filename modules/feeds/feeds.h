#pragma once

/**
    How an instance stays current with the parts of the store that all instances follow.

    Alone, an instance watches the store itself. Where a failure domain has many instances, the
    first two by rendezvous hashing watch for all: they pass on what their watches bring and tell
    several times a second how fresh their knowledge is. While nobody does, the others take turns,
    so that a store that is down, or that turns the watchers away, is asked by few.

    Depends on core, ports, membership (bounds and encoding of frames).
*/

#include "feeds/follower/FeedFollower.h"
#include "feeds/follower/FeedGroup.h"
#include "feeds/follower/WatchTurn.h"
#include "feeds/messages/FeedMessages.h"
