#pragma once

/**
    From a caller's key to the customer it belongs to.

    Purpose: hashing keys, finding a key's customer at every request, withdrawing keys ahead of
    the settings. A key itself is held only while its hash is computed.

    Depends on: core, settings, OpenSSL's hashes.
*/

#include "core/keys/BearerToken.h"
#include "identity/keys/KeyHash.h"
#include "identity/keys/KeyRing.h"
