#include "instance/request/UpstreamWire.h"

#include "instance/request/RequestHeaders.h"

namespace cuminrail {

namespace {

constexpr std::size_t usualHeadBytes = 512;

std::string beginWire(const std::string &method, const std::string &target,
                      const std::string &address, std::size_t bodyBytes)
{
    std::string wire;
    wire.reserve(usualHeadBytes + target.size() + bodyBytes);
    wire += method;
    wire += ' ';
    wire += target;
    wire += " HTTP/1.1\r\n";
    appendHeader(wire, "Host", address);
    return wire;
}

/** The customer is named by the instance alone, from the key; what the caller says is left out. */
void appendIdentity(std::string &wire, const RequestPlan &plan, const std::string &attemptId)
{
    appendHeader(wire, "X-Request-Id", attemptId);
    appendHeader(wire, "X-Customer", plan.caller.id.text());
    appendHeader(wire, "X-Priority", priorityNames.name(plan.priority));
}

} // namespace

std::string completionWire(const RequestPlan &plan, const std::string &attemptId,
                           const std::string &address, const std::string &body)
{
    std::string wire = beginWire("POST", plan.upstreamTarget, address, body.size());
    appendIdentity(wire, plan, attemptId);
    appendHeader(wire, "Content-Type", "application/json");
    appendHeader(wire, "Content-Length", std::to_string(body.size()));
    wire += "\r\n";
    wire += body;
    return wire;
}

std::string serviceWire(const RequestPlan &plan, const HttpHead &head, const std::string &attemptId,
                        const std::string &address, const std::string &body)
{
    std::string wire = beginWire(head.method, plan.upstreamTarget, address, body.size());
    appendIdentity(wire, plan, attemptId);
    if (!plan.idempotencyKey.empty())
        appendHeader(wire, "Idempotency-Key", plan.idempotencyKey);
    for (const HttpHeader &header : headersForService(head))
        appendHeader(wire, header.name, header.value);
    const bool isUsuallyBodiless = head.method == "GET" || head.method == "HEAD";
    if (!body.empty() || !isUsuallyBodiless)
        appendHeader(wire, "Content-Length", std::to_string(body.size()));
    wire += "\r\n";
    wire += body;
    return wire;
}

std::string resumeWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address, std::uint64_t nextEvent)
{
    std::string wire = beginWire(
        "GET", "/v1/requests/" + attemptId + "?offset=" + std::to_string(nextEvent), address, 0);
    appendIdentity(wire, plan, attemptId);
    wire += "\r\n";
    return wire;
}

std::string cancelWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address)
{
    std::string wire = beginWire("DELETE", "/v1/requests/" + attemptId, address, 0);
    appendIdentity(wire, plan, attemptId);
    wire += "Content-Length: 0\r\n\r\n";
    return wire;
}

} // namespace cuminrail
