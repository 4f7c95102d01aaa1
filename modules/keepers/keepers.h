#pragma once

/**
    Which instance keeps the state of a key that all instances ask about.

    Books of engines and customers' quotas both live in the memory of one instance each. All
    instances work out alike which one that is, and pass over one that does not answer.

    Depends on core, ports.
*/

#include "keepers/ranking/KeeperRanking.h"
