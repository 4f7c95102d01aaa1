#pragma once

#include "gateway/request/RelayContext.h"

namespace cuminrail {

/**
    Applies what an upstream states of itself in a response, whatever the response is to: a caller's
    request, a prefill, or a call of the instance itself. Responses of another upstream at the same
    address state nothing of this one.
*/
void recordStatements(RelayContext &context, const UpstreamRecord &upstream,
                      const ResponseTraits &traits);

} // namespace cuminrail
