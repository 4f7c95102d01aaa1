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

/** What callers say in headers of their own accord. */
struct CallerWishes
{
    std::optional<Millis> deadline;
    std::optional<Priority> priority;
    /** Empty when not given. */
    std::string idempotencyKey;
};

/** Reads X-Deadline-Ms, X-Priority and Idempotency-Key. Returns nothing with a refusal. */
std::optional<CallerWishes> readCallerWishes(const HttpHead &head, Refusal *refusal);

/**
    Returns the caller's headers that may go on to a plain service.

    Left out are hop-by-hop headers and those that Connection names, whatever could hold the
    caller's key, and every name that the instance itself gives meaning to: a caller could
    otherwise pass for another customer.
*/
std::vector<HttpHeader> headersForService(const HttpHead &head);

/** Returns a service's or engine's answer headers that may go on to the caller. */
std::vector<HttpHeader> headersForCaller(const HttpHead &head);

/** Returns true if the caller's key stands anywhere it would be passed on or logged. */
bool leaksKey(const HttpHead &head, std::string_view body, std::string_view key);

} // namespace cuminrail
