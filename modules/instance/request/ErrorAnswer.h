#pragma once

#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "net/server/HttpExchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrail {

/** The stable codes of docs/INTERFACES.md. */
enum class ErrorCode : std::uint8_t {
    InvalidRequest,
    IdempotencyKeyRequired,
    InvalidKey,
    ModelNotAllowed,
    ModelNotFound,
    NotFound,
    MethodNotAllowed,
    RequestTimeout,
    InProgress,
    MayHaveRun,
    TooLarge,
    IdempotencyKeyReused,
    RateLimited,
    ConcurrencyLimited,
    UpstreamFailed,
    Overloaded,
    DeadlineUnreachable,
    NoUpstream,
    Stopping,
    ClaimsUnavailable,
    StaleConfiguration,
    UpstreamTimeout,
};

/** Returns a code's name as it stands in the error body: "invalid_request". */
std::string_view errorCodeName(ErrorCode code);
/** Returns the HTTP status that goes with a code. */
int errorStatus(ErrorCode code);

/** A request that ends in an error. */
struct Refusal
{
    ErrorCode code = ErrorCode::InvalidRequest;
    std::string message;
    /** The field or header at fault, or empty. */
    std::string param = {};
    Verdict verdict = Verdict::NotRun;
    /** When coming back makes sense; zero for no such hint. */
    Millis retryAfter{0};
};

/** Returns the error body in the customary shape. */
std::string errorBody(const Refusal &refusal);

/** Returns the whole answer, with identity, verdict and Retry-After. */
HttpResponse errorAnswer(const Refusal &refusal, const std::string &requestId);

} // namespace cuminrail
