#include "instance/request/UpstreamWire.h"

#include "instance/request/RequestHeaders.h"

namespace cuminrail {

namespace {

constexpr std::size_t typicalHeadBytes = 512;

std::string startRequest(const std::string &method, const std::string &target,
                         const std::string &address, std::size_t bodyBytes)
{
    std::string request;
    request.reserve(typicalHeadBytes + target.size() + bodyBytes);
    request += method;
    request += ' ';
    request += target;
    request += " HTTP/1.1\r\n";
    appendHeader(request, "Host", address);
    return request;
}

/** Sets the customer found from the key; a customer header sent by the caller is ignored. */
void appendIdentity(std::string &request, const RequestPlan &plan, const std::string &attemptId)
{
    appendHeader(request, "X-Request-Id", attemptId);
    appendHeader(request, "X-Customer", plan.caller.id.text());
    appendHeader(request, "X-Priority", priorityNames.name(plan.priority));
}

} // namespace

std::string completionWire(const RequestPlan &plan, const std::string &attemptId,
                           const std::string &address, const std::string &body)
{
    std::string request = startRequest("POST", plan.upstreamTarget, address, body.size());
    appendIdentity(request, plan, attemptId);
    appendHeader(request, "Content-Type", "application/json");
    appendHeader(request, "Content-Length", std::to_string(body.size()));
    request += "\r\n";
    request += body;
    return request;
}

std::string serviceWire(const RequestPlan &plan, const HttpHead &head, const std::string &attemptId,
                        const std::string &address, const std::string &body)
{
    std::string request = startRequest(head.method, plan.upstreamTarget, address, body.size());
    appendIdentity(request, plan, attemptId);
    if (!plan.idempotencyKey.empty())
        appendHeader(request, "Idempotency-Key", plan.idempotencyKey);
    for (const HttpHeader &header : headersForService(head))
        appendHeader(request, header.name, header.value);
    const bool mayOmitLength = head.method == "GET" || head.method == "HEAD";
    if (!body.empty() || !mayOmitLength)
        appendHeader(request, "Content-Length", std::to_string(body.size()));
    request += "\r\n";
    request += body;
    return request;
}

std::string resumeWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address, std::uint64_t nextEvent)
{
    std::string request = startRequest(
        "GET", "/v1/requests/" + attemptId + "?offset=" + std::to_string(nextEvent), address, 0);
    appendIdentity(request, plan, attemptId);
    request += "\r\n";
    return request;
}

std::string cancelWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address)
{
    std::string request = startRequest("DELETE", "/v1/requests/" + attemptId, address, 0);
    appendIdentity(request, plan, attemptId);
    request += "Content-Length: 0\r\n\r\n";
    return request;
}

} // namespace cuminrail
