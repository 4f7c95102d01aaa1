#include "instance/request/RequestPlan.h"

#include "core/guards/Guards.h"
#include "core/keys/BearerToken.h"
#include "instance/request/CompletionBody.h"
#include "instance/request/RequestHeaders.h"

#include <algorithm>
#include <limits>

namespace cuminrail {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view textPath = "/v1/completions";
constexpr std::string_view modelsPath = "/v1/models";
/** Keys shorter than this are not searched for, as they could occur in text by chance. */
constexpr std::size_t minSearchedKeyLength = 8;

std::nullopt_t refuse(Refusal *refusal, ErrorCode code, std::string message, std::string param = {})
{
    refusal->code = code;
    refusal->message = std::move(message);
    refusal->param = std::move(param);
    return std::nullopt;
}

std::uint32_t estimateTokens(std::size_t bytes)
{
    const std::size_t tokens = bytes / bytesPerToken + 1;
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

/**
    Returns false for a path that a service could interpret differently than the instance does.

    For example, "status/../bookings" would match a route of repeatable calls here, but create a
    booking at the service.
*/
bool isNormalizedPath(std::string_view path)
{
    std::string lower(path);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    for (const char *ambiguous :
         {"//", "/./", "/../", "\\", "%2e", "%2f", "%5c", "%00", "#", ";"}) {
        if (lower.find(ambiguous) != std::string::npos)
            return false;
    }
    const auto endsWith = [&](std::string_view end) {
        return lower.size() >= end.size()
            && lower.compare(lower.size() - end.size(), end.size(), end) == 0;
    };
    return !endsWith("/.") && !endsWith("/..");
}

/** Sets the plan's deadline, priority and idempotency key from the caller's headers. */
bool applyCallerOptions(const HttpHead &head, const ServingSnapshot &snapshot, Millis now,
                        RequestPlan &plan, Refusal *refusal)
{
    const auto options = readCallerWishes(head, refusal);
    if (!options)
        return false;
    if (options->deadline)
        plan.deadline = now + *options->deadline;
    // A customer may lower the priority of its own request, but never raise it.
    const Priority customerPriority = snapshot.routing.priorityOf(plan.caller.index);
    plan.priority = std::max(customerPriority, options->priority.value_or(customerPriority));
    plan.idempotencyKey = options->idempotencyKey;
    return true;
}

bool findModel(const std::string &name, const ServingSnapshot &snapshot, RequestPlan &plan,
               Refusal *refusal)
{
    const RoutingTable &table = snapshot.routing;
    auto pool = table.findModel(name);
    const auto colon = name.find(':');
    if (!pool && colon != std::string::npos) {
        pool = table.findModel(std::string_view(name).substr(0, colon));
        const auto adapter = table.findAdapter(std::string_view(name).substr(colon + 1));
        plan.adapter = adapter.value_or(noIndex);
        if (!adapter)
            pool.reset();
    }
    if (!pool) {
        refuse(refusal, ErrorCode::ModelNotFound, "there is no such model", "model");
        return false;
    }
    if (!table.isAllowed(plan.caller.index, *pool)) {
        refuse(refusal, ErrorCode::ModelNotAllowed, "this customer may not use the model", "model");
        return false;
    }
    plan.pool = *pool;
    return true;
}

std::optional<RequestPlan> planCompletion(CompletionKind kind, RequestPlan plan,
                                          const HttpHead &head, const std::string &body,
                                          const ServingSnapshot &snapshot, Refusal *refusal)
{
    if (head.method != "POST")
        return refuse(refusal, ErrorCode::MethodNotAllowed, "only POST is allowed here");
    Reason reason;
    const auto completion = readCompletionBody(kind, body, &reason);
    if (!completion)
        return refuse(refusal, ErrorCode::InvalidRequest, reason.toString(), reason.where);
    if (!findModel(completion->model, snapshot, plan, refusal))
        return std::nullopt;
    const ModelRules &rules = snapshot.models[plan.pool];
    plan.promptTokens = estimateTokens(completion->promptText.size());
    if (rules.maxPromptTokens > 0 && plan.promptTokens > rules.maxPromptTokens)
        return refuse(refusal, ErrorCode::TooLarge, "the prompt is over the model's limit");
    const bool isLimited =
        completion->maxTokens > 0 && completion->maxTokens < rules.maxOutputTokens;
    plan.maxOutputTokens = isLimited ? completion->maxTokens : rules.maxOutputTokens;
    plan.prefixes =
        prefixChain(snapshot.routing.cacheSeedOf(plan.caller.index), completion->promptText);
    plan.isStream = completion->isStream;
    plan.upstreamTarget = kind == CompletionKind::Chat ? chatPath : textPath;
    return plan;
}

std::optional<RequestPlan> planService(RequestPlan plan, const HttpHead &head,
                                       const ServingSnapshot &snapshot, Refusal *refusal)
{
    if (!isNormalizedPath(head.path()))
        return refuse(refusal, ErrorCode::InvalidRequest, "the path is not in its plain form");
    const auto route = snapshot.routing.findService(head.method, head.path());
    if (!route)
        return refuse(refusal, ErrorCode::NotFound, "there is nothing at this path");
    if (head.method == "CONNECT" || head.method == "TRACE")
        return refuse(refusal, ErrorCode::MethodNotAllowed, "this method is not passed on");
    if (!snapshot.routing.isAllowed(plan.caller.index, route->pool))
        return refuse(refusal, ErrorCode::NotFound, "there is nothing at this path");
    plan.kind = RequestKind::Service;
    plan.pool = route->pool;
    plan.isIdempotent = route->repeatable;
    plan.serviceTimeout = route->timeout;
    if (route->idempotencyKeyRequired && plan.idempotencyKey.empty())
        return refuse(refusal, ErrorCode::IdempotencyKeyRequired,
                      "this call may not be repeated; give it an Idempotency-Key",
                      "Idempotency-Key");
    plan.upstreamTarget = "/";
    plan.upstreamTarget += route->subPath;
    plan.upstreamTarget += head.target.substr(head.path().size());
    return plan;
}

} // namespace

std::optional<Caller> authenticate(const HttpHead &head, const ServingSnapshot &snapshot,
                                   Refusal *refusal)
{
    const auto refuseKey = [&] {
        return refuse(refusal, ErrorCode::InvalidKey, "a valid key is needed", "Authorization");
    };
    const std::string *header = head.find("Authorization");
    if (header == nullptr || head.count("Authorization") != 1)
        return refuseKey();
    const auto key = bearerToken(*header, nullptr);
    if (!key)
        return refuseKey();
    Caller caller;
    caller.key = KeyHash::of(*key);
    const KeyLookup lookup = snapshot.keys.find(caller.key);
    if (lookup.status != KeyStatus::Valid)
        return refuseKey();
    caller.id = *lookup.customer;
    const auto index = snapshot.routing.findCustomer(caller.id);
    if (!index)
        return refuseKey();
    caller.index = *index;
    return caller;
}

bool isKeyStillValid(const Caller &caller, const ServingSnapshot &snapshot)
{
    return !guardEnabled(Guard::KeyCheckedEachRequest)
        || snapshot.keys.find(caller.key).status == KeyStatus::Valid;
}

std::optional<RequestPlan> planRequest(const HttpHead &head, const std::string &body,
                                       const ServingSnapshot &snapshot, Millis now,
                                       Refusal *refusal)
{
    auto caller = authenticate(head, snapshot, refusal);
    if (!caller)
        return std::nullopt;
    const std::string_view key = *bearerToken(*head.find("Authorization"), nullptr);
    if (key.size() >= minSearchedKeyLength && leaksKey(head, body, key))
        return refuse(refusal, ErrorCode::InvalidRequest,
                      "the key may stand in the Authorization header alone");
    RequestPlan plan;
    plan.caller = std::move(*caller);
    plan.team = snapshot.teams[snapshot.routing.teamOf(plan.caller.index)];
    plan.startedAt = now;
    if (!applyCallerOptions(head, snapshot, now, plan, refusal))
        return std::nullopt;
    const std::string_view path = head.path();
    if (path == chatPath)
        return planCompletion(CompletionKind::Chat, std::move(plan), head, body, snapshot, refusal);
    if (path == textPath)
        return planCompletion(CompletionKind::Text, std::move(plan), head, body, snapshot, refusal);
    if (path == modelsPath) {
        if (head.method != "GET")
            return refuse(refusal, ErrorCode::MethodNotAllowed, "only GET is allowed here");
        plan.kind = RequestKind::ModelList;
        return plan;
    }
    return planService(std::move(plan), head, snapshot, refusal);
}

} // namespace cuminrail
