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
    /** A call of a plain service. */
    Service,
    /** GET /v1/models, answered from settings. */
    ModelList,
};

/** A caller that has shown a valid key. */
struct Caller
{
    KeyHash key;
    CustomerId id;
    CustomerIndex index = noIndex;
};

/** What is known of a request once its head and body have been read and found in order. */
struct RequestPlan
{
    RequestKind kind = RequestKind::Completion;
    Caller caller;
    TeamId team;
    PoolIndex pool = noIndex;
    AdapterIndex adapter = noIndex;
    Priority priority = Priority::Standard;
    /** When the answer is of no use any more. */
    Millis deadline = Millis::never();
    Millis startedAt;
    bool isStream = false;
    /** Running it twice does no harm. */
    bool isIdempotent = true;
    std::string idempotencyKey;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    PrefixChain prefixes;
    /** Of a service: the most that a run may take. */
    Millis serviceTimeout;
    /** What the upstream is asked for: method, path and query. */
    std::string upstreamTarget;
};

/** Finds the customer of a request's key. Returns nothing with a refusal that quotes no key. */
std::optional<Caller> authenticate(const HttpHead &head, const ServingSnapshot &snapshot,
                                   Refusal *refusal);

/** Returns false once a caller's key has been withdrawn, for requests that had to wait. */
bool isKeyStillValid(const Caller &caller, const ServingSnapshot &snapshot);

/**
    Reads and checks the whole request: nothing of it goes further unless this returns a plan.

    @param now  the instant that deadlines count from
*/
std::optional<RequestPlan> planRequest(const HttpHead &head, const std::string &body,
                                       const ServingSnapshot &snapshot, Millis now,
                                       Refusal *refusal);

} // namespace cuminrail
