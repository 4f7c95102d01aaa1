#pragma once

#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "net/server/HttpExchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrail {

/** The stable error codes that docs/INTERFACES.md specifies. */
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

/** Returns a code's name as written in the error body, e.g. "invalid_request". */
std::string_view errorCodeName(ErrorCode code);
/** Returns the HTTP status of a code. */
int errorStatus(ErrorCode code);

/** The error that a request ends with. */
struct Refusal
{
    ErrorCode code = ErrorCode::InvalidRequest;
    std::string message;
    /** The invalid field or header, or empty. */
    std::string param = {};
    Verdict verdict = Verdict::NotRun;
    /** Delay after which the caller should retry; zero for no Retry-After header. */
    Millis retryAfter{0};
};

/** Returns the JSON error body: message, type, code and param. */
std::string errorBody(const Refusal &refusal);

/** Returns the complete response, with request id, verdict and Retry-After headers. */
HttpResponse errorAnswer(const Refusal &refusal, const std::string &requestId);

} // namespace cuminrail
