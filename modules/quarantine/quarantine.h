#pragma once

/**
    Which requests are not run any more because upstreams end under them.

    A request is known again by what it asks, whoever sends it and wherever it arrives.

    Depends on core, identity (hashes).
*/

#include "quarantine/fingerprint/RequestFingerprint.h"
