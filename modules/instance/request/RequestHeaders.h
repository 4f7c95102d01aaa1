#pragma once

#include "core/time/Millis.h"
#include "instance/request/ErrorAnswer.h"
#include "net/http/HopHeaders.h"
#include "net/http/HttpHead.h"
#include "settings/model/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** Options that a caller may set with request headers. */
struct CallerWishes
{
    std::optional<Millis> deadline;
    std::optional<Priority> priority;
    /** Empty when not given. */
    std::string idempotencyKey;
};

/** Parses X-Deadline-Ms, X-Priority and Idempotency-Key; on error, sets the refusal. */
std::optional<CallerWishes> readCallerWishes(const HttpHead &head, Refusal *refusal);

/**
    Returns the caller's headers that may be forwarded to a plain service.

    Omits hop-by-hop headers, headers listed in Connection, headers that could contain the caller's
    key, and all headers that the instance sets or interprets itself: otherwise a caller could
    impersonate another customer.
*/
std::vector<HttpHeader> headersForService(const HttpHead &head);

/** Returns the response headers of a service or engine that may be forwarded to the caller. */
std::vector<HttpHeader> headersForCaller(const HttpHead &head);

/** Returns true if the caller's key occurs where it would be forwarded or logged. */
bool leaksKey(const HttpHead &head, std::string_view body, std::string_view key);

} // namespace cuminrail
