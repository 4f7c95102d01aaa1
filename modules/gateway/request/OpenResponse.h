#pragma once

#include "net/http/HttpHead.h"

#include <string>
#include <vector>

namespace cuminrail {

/**
    A streamed response of which the caller has received the head and at least one event.

    Whatever another upstream or a carrier sends for the same request can only be the rest of it.
   The caller keeps the head that it has.
*/
class OpenResponse
{
public:
    /** Takes the status and headers that the caller has received. */
    OpenResponse(int status, const std::vector<HttpHeader> &headers);

    /**
        Returns why a response with this head is not the rest of this one, for logs; an empty text
       if it is.

        Its other headers may differ: they describe the upstream, not the events.
    */
    std::string mismatch(int status, const std::vector<HttpHeader> &headers) const;

private:
    int status_;
    std::string mediaType_;
};

} // namespace cuminrail
