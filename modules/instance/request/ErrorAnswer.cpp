#include "instance/request/ErrorAnswer.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cuminrail {

namespace {

struct ErrorCodeEntry
{
    ErrorCode code;
    int status;
    std::string_view name;
    std::string_view type;
};

constexpr std::array<ErrorCodeEntry, 22> errorCodeTable{{
    {ErrorCode::InvalidRequest, 400, "invalid_request", "invalid_request_error"},
    {ErrorCode::IdempotencyKeyRequired, 400, "idempotency_key_required", "invalid_request_error"},
    {ErrorCode::InvalidKey, 401, "invalid_key", "authentication_error"},
    {ErrorCode::ModelNotAllowed, 403, "model_not_allowed", "permission_error"},
    {ErrorCode::ModelNotFound, 404, "model_not_found", "invalid_request_error"},
    {ErrorCode::NotFound, 404, "not_found", "invalid_request_error"},
    {ErrorCode::MethodNotAllowed, 405, "method_not_allowed", "invalid_request_error"},
    {ErrorCode::RequestTimeout, 408, "request_timeout", "invalid_request_error"},
    {ErrorCode::InProgress, 409, "in_progress", "conflict_error"},
    {ErrorCode::MayHaveRun, 409, "may_have_run", "conflict_error"},
    {ErrorCode::TooLarge, 413, "too_large", "invalid_request_error"},
    {ErrorCode::IdempotencyKeyReused, 422, "idempotency_key_reused", "conflict_error"},
    {ErrorCode::RateLimited, 429, "rate_limited", "rate_limit_error"},
    {ErrorCode::ConcurrencyLimited, 429, "concurrency_limited", "rate_limit_error"},
    {ErrorCode::UpstreamFailed, 502, "upstream_failed", "server_error"},
    {ErrorCode::Overloaded, 503, "overloaded", "server_error"},
    {ErrorCode::DeadlineUnreachable, 503, "deadline_unreachable", "server_error"},
    {ErrorCode::NoUpstream, 503, "no_upstream", "server_error"},
    {ErrorCode::Stopping, 503, "stopping", "server_error"},
    {ErrorCode::ClaimsUnavailable, 503, "claims_unavailable", "server_error"},
    {ErrorCode::StaleConfiguration, 503, "stale_configuration", "server_error"},
    {ErrorCode::UpstreamTimeout, 504, "upstream_timeout", "server_error"},
}};

const ErrorCodeEntry &entryOf(ErrorCode code)
{
    return errorCodeTable[static_cast<std::size_t>(code)];
}

/** Retry-After is in whole seconds; rounding down would make the caller retry too early. */
std::int64_t roundUpToSeconds(Millis span)
{
    return (span.count() + 999) / 1000;
}

} // namespace

std::string_view errorCodeName(ErrorCode code)
{
    return entryOf(code).name;
}

int errorStatus(ErrorCode code)
{
    return entryOf(code).status;
}

std::string errorBody(const Refusal &refusal)
{
    const ErrorCodeEntry &entry = entryOf(refusal.code);
    nlohmann::json error;
    error["message"] = refusal.message;
    error["type"] = entry.type;
    error["code"] = entry.name;
    error["param"] = refusal.param.empty() ? nlohmann::json() : nlohmann::json(refusal.param);
    // The message may quote bytes sent by the caller, which are not necessarily UTF-8.
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

HttpResponse errorAnswer(const Refusal &refusal, const std::string &requestId)
{
    HttpResponse response;
    response.status = errorStatus(refusal.code);
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"X-Request-Id", requestId});
    response.headers.push_back(
        {"X-Cuminrail-Verdict", std::string(verdictNames.name(refusal.verdict))});
    if (refusal.retryAfter > Millis(0))
        response.headers.push_back(
            {"Retry-After", std::to_string(roundUpToSeconds(refusal.retryAfter))});
    if (refusal.code == ErrorCode::InvalidKey)
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    response.body = errorBody(refusal);
    return response;
}

} // namespace cuminrail
