#include "standin/proxy/HttpFraming.h"
#include "standin/proxy/ResponsePlan.h"

#include <doctest/doctest.h>

using namespace cuminrail;

namespace {

const std::string plain =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\n0123456789";
const std::string stream =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n6\r\nid: 2\n\r\n0\r\n\r\n";
const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\n"
                            "Content-Length: 0\r\n\r\n";

struct FaultCase
{
    ResponseFault fault;
    std::string response;
    /** Parts of it as the other end reads them. */
    std::string body;
    std::string identity;
    LateMoment when;
    std::uint64_t random = 0;
};

} // namespace

// Guards against stand-ins whose second response is no whole one, or comes at another moment.
TEST_CASE("a response that is spoilt reads as its fault says")
{
    const FaultCase cases[] = {
        {ResponseFault::SecondAtOnce, plain, "0123456789", "r1", LateMoment::Never},
        {ResponseFault::SecondWhileIdle, plain, "0123456789", "r1", LateMoment::WhileIdle},
        {ResponseFault::SecondBeforeNext, stream, "id: 1\nid: 2\n", "r1", LateMoment::BeforeNext},
        {ResponseFault::SecondInNextBody, plain, "0123456789", "r1", LateMoment::InNextBody},
        {ResponseFault::RefusalAtOnce, refusal, "", "r1", LateMoment::Never},
        {ResponseFault::RefusalBeforeNext, refusal, "", "r1", LateMoment::BeforeNext},
        {ResponseFault::Anonymous, refusal, "", "", LateMoment::Never},
        {ResponseFault::AnonymousInNextBody, refusal, "", "", LateMoment::InNextBody},
        {ResponseFault::RefusalOfResent, refusal, "", "r1", LateMoment::OfResent},
        {ResponseFault::CutByOne, plain, "012345678H", "r1", LateMoment::Never},
        {ResponseFault::CutByFew, plain, "01234HTTP/", "r1", LateMoment::Never},
        {ResponseFault::CutByHalf, plain, "01234HTTP/", "r1", LateMoment::Never},
        {ResponseFault::CutByHalf, plain, "01234", "r1", LateMoment::AfterPause, 1},
        {ResponseFault::CutInEvent, stream, "id: 1\nid:", "r1", LateMoment::AfterPause, 3},
        {ResponseFault::CutInChunk, stream, "id:HTT", "r1", LateMoment::Never},
        {ResponseFault::CutInEvent, stream, "id:", "r1", LateMoment::Never},
    };
    for (const FaultCase &row : cases) {
        CAPTURE(responseFaultNames.name(row.fault));
        REQUIRE(canSpoil(row.fault, row.response));
        const ResponsePlan plan = planFor(row.fault, row.response, row.random);
        const std::size_t length = messageLength(plan.now);
        CHECK(bodyOf(plan.now.substr(0, length == 0 ? plan.now.size() : length)) == row.body);
        CHECK(headerValue(plan.now, "Request-Id") == row.identity);
        CHECK(plan.when == row.when);
        CHECK(plan.late.empty() == (row.when == LateMoment::Never));
        CHECK((plan.late.empty() || headerValue(plan.late, "Request-Id") == row.identity));
    }
}

// Guards against bytes without end that end after all, as whole messages do.
TEST_CASE("bytes without end are no whole response, however many there are")
{
    for (const auto &entry : responseFaultNames.entries) {
        const ResponseFault fault = entry.first;
        const std::string name(entry.second);
        if (!isEndless(fault))
            continue;
        CAPTURE(name);
        const std::string &response = canSpoil(fault, plain) ? plain : stream;
        const ResponsePlan plan = planFor(fault, response, 0);
        REQUIRE(!plan.unit.empty());
        CHECK((plan.interval > Millis()) == (name.find("-slowly") != std::string::npos));
        std::string bytes = plan.now;
        for (int i = 0; i < 100; ++i)
            bytes += plan.unit;
        CHECK(messageLength(bytes) == 0);
    }
}

// Guards against stand-ins that spoil nothing: the false refusal must not be the request's own.
TEST_CASE("a false refusal states no identity, or not that nothing was run")
{
    const std::string stated = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r2\r\n"
                               "X-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string nameless = anonymous(stated);
    CHECK(headerValue(nameless, "Request-Id").empty());
    CHECK(headerValue(nameless, "X-Unrun") == "1");
    REQUIRE(canSpoil(ResponseFault::AnonymousAfterInterim, plain));
    const ResponsePlan interim = planFor(ResponseFault::AnonymousAfterInterim, plain, 0, nameless);
    CHECK(interim.now == "HTTP/1.1 102 Processing\r\n\r\n" + nameless + plain);
    CHECK_FALSE(canSpoil(ResponseFault::AnonymousOnConnect, plain));
    std::uint64_t random = 0;
    for (const char *status : {"503", "429", "408"}) {
        CAPTURE(std::string(status));
        const std::string response = planFor(ResponseFault::UnstatedRefusal, plain, random++).now;
        CHECK(response.substr(9, 3) == status);
        CHECK(headerValue(response, "Request-Id") == "r1");
        CHECK(messageLength(response) == response.size());
    }
}
