#include "instance/request/ErrorAnswer.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cuminrail {

namespace {

struct ErrorRow
{
    ErrorCode code;
    int status;
    std::string_view name;
    std::string_view type;
};

constexpr std::array<ErrorRow, 22> errorRows{{
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

const ErrorRow &rowOf(ErrorCode code)
{
    return errorRows[static_cast<std::size_t>(code)];
}

/** Retry-After counts whole seconds; rounding down would call the caller back too early. */
std::int64_t wholeSeconds(Millis span)
{
    return (span.count() + 999) / 1000;
}

} // namespace

std::string_view errorCodeName(ErrorCode code)
{
    return rowOf(code).name;
}

int errorStatus(ErrorCode code)
{
    return rowOf(code).status;
}

std::string errorBody(const Refusal &refusal)
{
    const ErrorRow &row = rowOf(refusal.code);
    nlohmann::json error;
    error["message"] = refusal.message;
    error["type"] = row.type;
    error["code"] = row.name;
    error["param"] = refusal.param.empty() ? nlohmann::json() : nlohmann::json(refusal.param);
    // Parts of a caller's bytes may be quoted in the message and need not be UTF-8.
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

HttpResponse errorAnswer(const Refusal &refusal, const std::string &requestId)
{
    HttpResponse answer;
    answer.status = errorStatus(refusal.code);
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.headers.push_back({"X-Request-Id", requestId});
    answer.headers.push_back(
        {"X-Cuminrail-Verdict", std::string(verdictNames.name(refusal.verdict))});
    if (refusal.retryAfter > Millis(0))
        answer.headers.push_back({"Retry-After", std::to_string(wholeSeconds(refusal.retryAfter))});
    if (refusal.code == ErrorCode::InvalidKey)
        answer.headers.push_back({"WWW-Authenticate", "Bearer"});
    answer.body = errorBody(refusal);
    return answer;
}

} // namespace cuminrail
