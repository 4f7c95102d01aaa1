#include "standin/proxy/ResponsePlan.h"

#include "standin/proxy/HttpFraming.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace cuminrail {

namespace {

constexpr Millis slowInterval(50);
constexpr std::size_t fewBytes = 5;

const std::string filler(96, 'a');

/** Returns a head without a header. */
std::string withoutHeader(std::string head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    return at == std::string::npos ? head : head.erase(at, head.find("\r\n", at + 2) - at);
}

/** Returns the head of a response with a line in place of what states the body's length. */
std::string headWith(const std::string &response, const std::string &line)
{
    std::string head = response.substr(0, headLength(response));
    head = withoutHeader(withoutHeader(head, "Content-Length"), "Transfer-Encoding");
    return head.substr(0, head.size() - 2) + line + "\r\n\r\n";
}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + data + "\r\n";
}

/** Returns where the chunks of a stream begin and end, the last empty one left out. */
std::vector<std::pair<std::size_t, std::size_t>> chunksOf(const std::string &response)
{
    std::vector<std::pair<std::size_t, std::size_t>> chunks;
    for (std::size_t at = headLength(response);;) {
        const auto end = response.find("\r\n", at);
        std::size_t size = 0;
        std::from_chars(response.data() + at, response.data() + end, size, 16);
        if (size == 0)
            return chunks;
        chunks.emplace_back(at, end + 2 + size);
        at = end + 2 + size + 2;
    }
}

/** Returns the rest of a plan that begins with a part of a response. */
ResponsePlan cutAfter(const std::string &part, const std::string &second, std::uint64_t random)
{
    if (random % 2 == 0)
        return {part + second, {}, LateMoment::Never, {}, {}, false};
    return {part, second, LateMoment::AfterPause, {}, {}, false};
}

ResponsePlan cutStream(ResponseFault fault, const std::string &response, std::uint64_t random)
{
    const auto chunks = chunksOf(response);
    if (chunks.empty())
        return cutAfter(response, response, random);
    const auto [begin, end] = chunks[random / 2 % chunks.size()];
    const std::size_t data = response.find("\r\n", begin) + 2;
    const std::string half = response.substr(data, (end - data) / 2);
    const std::string part = fault == ResponseFault::CutInEvent
        ? chunk(half)
        : response.substr(begin, data - begin) + half;
    return cutAfter(response.substr(0, begin) + part, response, random);
}

ResponsePlan endless(ResponseFault fault, const std::string &response)
{
    ResponsePlan plan;
    const std::string openHead =
        withoutHeader(withoutHeader(response.substr(0, headLength(response) - 2), "Content-Length"),
                      "Transfer-Encoding");
    const std::string chunkedHead = headWith(response, "Transfer-Encoding: chunked");
    switch (fault) {
    case ResponseFault::EndlessHeadSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    case ResponseFault::EndlessHead:
        plan.now = openHead;
        plan.unit = "X-Filler: " + filler + "\r\n";
        return plan;
    case ResponseFault::EndlessHeadLineSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    case ResponseFault::EndlessHeadLine:
        plan.now = openHead + "X-Filler: ";
        plan.unit = filler;
        return plan;
    case ResponseFault::EndlessInterimSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    case ResponseFault::EndlessInterim:
        plan.unit = "HTTP/1.1 102 Processing\r\n\r\n";
        return plan;
    case ResponseFault::EndlessExtensionSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    case ResponseFault::EndlessExtension:
        plan.now = chunkedHead + "5;name=";
        plan.unit = filler;
        return plan;
    case ResponseFault::EndlessTrailersSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    case ResponseFault::EndlessTrailers:
        plan.now = chunkedHead + chunk(bodyOf(response)) + "0\r\n";
        plan.unit = "X-Filler: " + filler + "\r\n";
        return plan;
    case ResponseFault::EndlessBodySlowly:
    case ResponseFault::EndlessCommentsSlowly:
        plan.interval = slowInterval;
        [[fallthrough]];
    default:
        plan.now = chunkedHead;
        plan.unit = chunk(fault < ResponseFault::EndlessComments ? filler : ":\n");
        return plan;
    }
}

/** Returns a moment by a fault's place in a group of four, of which the first is at once. */
LateMoment momentOf(ResponseFault fault, ResponseFault first)
{
    return static_cast<LateMoment>(static_cast<int>(fault) - static_cast<int>(first));
}

ResponsePlan repeated(const std::string &response, LateMoment when)
{
    if (when == LateMoment::Never)
        return {response + response, {}, when, {}, {}, false};
    return {response, response, when, {}, {}, false};
}

ResponsePlan cutBody(const std::string &response, std::size_t missing, std::uint64_t random)
{
    return cutAfter(response.substr(0, response.size() - missing), response, random);
}

/** Returns a response with the identity alone, whose status promises that nothing was run. */
std::string unstatedRefusal(const std::string &response, std::uint64_t random)
{
    constexpr std::array<const char *, 3> statuses{"503 Service Unavailable",
                                                   "429 Too Many Requests", "408 Request Timeout"};
    return std::string("HTTP/1.1 ") + statuses[random % statuses.size()] + "\r\nRequest-Id: "
        + headerValue(response, "Request-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

std::string anonymous(const std::string &response)
{
    const std::string head = response.substr(0, headLength(response));
    return withoutHeader(head, "Request-Id") + response.substr(head.size());
}

bool canSpoil(ResponseFault fault, std::string_view head)
{
    const std::string_view status = head.substr(0, 12).substr(9);
    if (isOnConnect(fault))
        return false;
    if (isRefusalFault(fault))
        return status == "503";
    const bool isStream = headerValue(head, "Content-Type") == "text/event-stream";
    const bool needsStream = fault == ResponseFault::CutInEvent
        || fault == ResponseFault::CutInChunk || fault >= ResponseFault::EndlessComments;
    const bool needsPlain = (fault >= ResponseFault::CutByOne && fault <= ResponseFault::CutByHalf)
        || fault == ResponseFault::EndlessBody || fault == ResponseFault::EndlessBodySlowly;
    return status == "200" && (isStream ? !needsPlain : !needsStream);
}

ResponsePlan planFor(ResponseFault fault, const std::string &response, std::uint64_t random,
                     const std::string &refusal)
{
    if (isEndless(fault))
        return endless(fault, response);
    const std::string head = response.substr(0, headLength(response));
    const std::string body = response.substr(head.size());
    switch (fault) {
    case ResponseFault::Anonymous:
        return {anonymous(response), {}, LateMoment::Never, {}, {}, false};
    case ResponseFault::AnonymousAfterInterim:
        return {"HTTP/1.1 102 Processing\r\n\r\n" + refusal + response,
                {},
                LateMoment::Never,
                {},
                {},
                false};
    case ResponseFault::UnstatedRefusal:
        return {unstatedRefusal(response, random), {}, LateMoment::Never, {}, {}, false};
    case ResponseFault::AnonymousAtOnce:
    case ResponseFault::AnonymousWhileIdle:
    case ResponseFault::AnonymousBeforeNext:
    case ResponseFault::AnonymousInNextBody:
        return repeated(anonymous(response), momentOf(fault, ResponseFault::AnonymousAtOnce));
    case ResponseFault::RefusalOfResent:
        return repeated(response, LateMoment::OfResent);
    case ResponseFault::SecondBeforeClose:
        return {headWith(response, "Connection: close") + bodyOf(response) + response,
                {},
                LateMoment::Never,
                {},
                {},
                true};
    case ResponseFault::CutByOne:
        return cutBody(response, 1, random);
    case ResponseFault::CutByFew:
        return cutBody(response, fewBytes, random);
    case ResponseFault::CutByHalf:
        return cutBody(response, body.size() / 2, random);
    case ResponseFault::CutInEvent:
    case ResponseFault::CutInChunk:
        return cutStream(fault, response, random);
    default:
        return repeated(response,
                        momentOf(fault,
                                 isRefusalFault(fault) ? ResponseFault::RefusalAtOnce
                                                       : ResponseFault::SecondAtOnce));
    }
}

} // namespace cuminrail
