#pragma once

#include "platform/client/PlatformClient.h"
#include "ports/store/ObjectStore.h"

namespace cuminrail {

/**
    Returns the platform's object API at an address ("10.0.0.1:9000").

    A write without a whole answer is Unavailable only if not a byte of it was sent, else Unknown.
    The client must outlive the hooks' use.
*/
ObjectStore makeHttpObjectStore(PlatformClient &client, const std::string &address);

} // namespace cuminrail
