#pragma once

#include "core/ids/Indexes.h"
#include "core/time/Millis.h"
#include "identity/keys/KeyHash.h"
#include "instance/request/ErrorAnswer.h"
#include "instance/serving/ServingSnapshot.h"
#include "routing/prefix/PrefixChain.h"

#include <optional>
#include <string>

namespace cuminrail {

enum class RequestKind : std::uint8_t {
    Completion,
    /** A call to a plain service. */
    Service,
    /** GET /v1/models, served from the settings. */
    ModelList,
};

/** An authenticated caller. */
struct Caller
{
    KeyHash key;
    CustomerId id;
    CustomerIndex index = noIndex;
};

/** The properties of a request whose head and body have been parsed and validated. */
struct RequestPlan
{
    RequestKind kind = RequestKind::Completion;
    Caller caller;
    TeamId team;
    PoolIndex pool = noIndex;
    AdapterIndex adapter = noIndex;
    Priority priority = Priority::Standard;
    /** The moment after which the response is of no use to the caller. */
    Millis deadline = Millis::never();
    Millis startedAt;
    bool isStream = false;
    /** True if the request may safely run more than once. */
    bool isIdempotent = true;
    std::string idempotencyKey;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    PrefixChain prefixes;
    /** For a service call: the maximum duration of one run. */
    Millis serviceTimeout;
    /** Request target sent to the upstream: path and query. */
    std::string upstreamTarget;
};

/** Finds the customer of a request's key. On failure, sets a refusal that quotes no key. */
std::optional<Caller> authenticate(const HttpHead &head, const ServingSnapshot &snapshot,
                                   Refusal *refusal);

/** Returns false once a caller's key has been revoked; checked for requests that waited. */
bool isKeyStillValid(const Caller &caller, const ServingSnapshot &snapshot);

/**
    Parses and validates the whole request; nothing of it is forwarded unless a plan is returned.

    @param now  the start time that deadlines are relative to
*/
std::optional<RequestPlan> planRequest(const HttpHead &head, const std::string &body,
                                       const ServingSnapshot &snapshot, Millis now,
                                       Refusal *refusal);

} // namespace cuminrail
