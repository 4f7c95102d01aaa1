#include "CrowdCase.h"
#include "net/testing/TestSocket.h"

#include <array>
#include <chrono>
#include <thread>

using namespace cuminrail;
using namespace cuminrail::testing;
using platform::ClientScript;
using platform::SiteLimits;

namespace {

/** The beginning of a caller's request, up to the headers that say how long its body is. */
std::string requestHead(const std::string &path)
{
    return "POST " + path
        + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: crowd-1\r\n"
          "Authorization: Bearer key-north\r\nDeadline-Ms: 3000\r\n";
}

std::string chunkedHead()
{
    return requestHead("/safe/x") + "Transfer-Encoding: chunked\r\n\r\n";
}

ClientScript endless(const std::string &start, const std::string &repeated,
                     std::uint64_t repeatedBytes)
{
    ClientScript script;
    script.start = start;
    script.repeated = repeated;
    script.repeatedBytes = repeatedBytes;
    return script;
}

/** A request whose head and body are whole but for the body's last byte. */
ClientScript heldBack(std::uint64_t bodyBytes)
{
    return endless(requestHead("/safe/x") + "Content-Length: " + std::to_string(bodyBytes)
                       + "\r\n\r\n",
                   "x", bodyBytes - 1);
}

/** A head of many headers that are as short as can be, before a body that never comes. */
ClientScript shortHeaders(std::uint64_t headerBytes)
{
    const std::string start = requestHead("/safe/x") + "Content-Length: 5\r\n";
    constexpr std::uint64_t room = 64;
    ClientScript script = endless(start, "a:\r\n", (headerBytes - start.size() - room) / 4 * 4);
    script.end = "\r\n";
    return script;
}

ClientScript only(const std::string &text)
{
    ClientScript script;
    script.start = text;
    return script;
}

ClientScript unread(ClientScript script)
{
    script.isReading = false;
    script.receiveBufferBytes = 4096;
    return script;
}

std::string wholeRequest(const std::string &path)
{
    return requestHead(path) + "Content-Length: 5\r\n\r\nhello";
}

/** A whole request whose head and body are as long as the limits allow. */
std::string largestRequest(const SiteLimits &limits, bool isChunked)
{
    const std::string length = isChunked
        ? "Transfer-Encoding: chunked\r\n"
        : "Content-Length: " + std::to_string(limits.bodyBytes) + "\r\n";
    std::string head = requestHead("/safe/x") + length;
    constexpr std::size_t room = 64;
    while (head.size() + room < limits.headerBytes)
        head += "a:\r\n";
    const std::string body(limits.bodyBytes, 'x');
    if (!isChunked)
        return head + "\r\n" + body;
    constexpr std::size_t chunkBytes = 16 * 1024;
    std::string chunks;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes)
        chunks += "4000\r\n" + body.substr(at, chunkBytes) + "\r\n";
    return head + "\r\n" + chunks + "0\r\n\r\n";
}

/** Servers answer paths below "/safe/long" with a long response. */
platform::ScriptedRun longResponses(const HttpHead &head)
{
    return head.target.rfind("/safe/long", 0) == 0
        ? platform::standinRun(head, std::string(megabyte, 'x'))
        : platform::ScriptedRun();
}

/** Few descriptors, and clients that may take long for their next byte. */
SiteLimits fewDescriptors()
{
    SiteLimits limits;
    limits.descriptors = 300;
    return limits;
}

/** What eight clients send of one request must stay near what a request may be. */
constexpr std::uint64_t maxSentOfFraming = 32 * megabyte;
constexpr std::uint64_t endlessBytes = 16 * megabyte;
constexpr std::size_t endlessClients = 8;

void checkEndlessFraming(const std::string &start, const std::string &repeated, Door door)
{
    CrowdCase each;
    each.crowds = {{endlessClients, endless(start, repeated, endlessBytes), door}};
    each.maxSentBytes = maxSentOfFraming;
    checkCrowds(each);
}

} // namespace

// Guards against a process that keeps trailers until its memory is used up.
TEST_CASE("trailers without an end")
{
    checkEndlessFraming(chunkedHead() + "5\r\nhello\r\n0\r\n", "X-More: more\r\n", Door::Callers);
}

// Guards against a process that keeps a chunk's extension until its memory is used up.
TEST_CASE("a chunk extension without an end")
{
    checkEndlessFraming(chunkedHead() + "5;more=", "more", Door::Callers);
}

// Guards against a process that keeps the digits of a chunk's size until its memory is used up.
TEST_CASE("a chunk size without an end")
{
    checkEndlessFraming(chunkedHead(), "0", Door::Callers);
}

// Guards against a process that is kept busy by a body that is framing almost alone.
TEST_CASE("chunks of one byte with long extensions")
{
    const std::string extension = "1;more=" + std::string(std::size_t{12} * 1024, 'm');
    checkEndlessFraming(chunkedHead(), extension + "\r\nx\r\n", Door::Callers);
}

// Guards against heads that take many times their length in memory.
TEST_CASE("heads of many short headers whose bodies never come")
{
    CrowdCase each;
    each.limits.headerBytes = 64 * 1024;
    each.crowds = {{64, shortHeaders(each.limits.headerBytes)}};
    checkCrowds(each);
}

// Guards against bodies that take more than their part of the memory, and lock other callers out.
TEST_CASE("bodies whose last byte never comes")
{
    CrowdCase each;
    each.crowds = {{64, heldBack(each.limits.bodyBytes)}};
    checkCrowds(each);
}

// Guards against bodies of which one alone takes more than the part of the memory for all.
TEST_CASE("bodies as long as a quarter of the memory, whose last byte never comes")
{
    CrowdCase each;
    each.limits.bodyBytes = each.limits.memoryMb * megabyte / 4;
    each.crowds = {{16, heldBack(each.limits.bodyBytes)}};
    checkCrowds(each);
}

// Guards against responses that are kept for callers who do not read them.
TEST_CASE("long responses that nobody reads")
{
    CrowdCase each;
    each.script = longResponses;
    // A few at a time, as the instance gives responses that come in together an eighth of it.
    each.crowds = std::vector<Crowd>(6, Crowd{16, unread(only(wholeRequest("/safe/long")))});
    checkCrowds(each);
}

// Guards against input that is kept while a request before it is in progress.
TEST_CASE("requests behind one that is not answered yet")
{
    CrowdCase each;
    each.crowds = {
        {64, unread(endless(wholeRequest("/once/x"), wholeRequest("/safe/x"), megabyte))}};
    checkCrowds(each);
}

// Guards against connections that take the descriptors of upstreams, the store and links.
TEST_CASE("more connections than the limit, with half a head each")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{320, only("POST /safe/x HTTP/1.1\r\nHost: ")}};
    checkCrowds(each);
}

// Guards against clients that keep others out by connections on which nothing happens any more.
TEST_CASE("idle connections that each carried one request")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{200, only(wholeRequest("/safe/x"))}};
    checkCrowds(each);
}

// Guards against clients that keep others out by connections that never say anything.
TEST_CASE("connections that say nothing")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{200, only("")}};
    checkCrowds(each);
}

// Guards against clients that keep others out by bodies that never end.
TEST_CASE("connections that keep a small body back")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{200, heldBack(64)}};
    checkCrowds(each);
}

// Guards against a second door through which the descriptors of all others are taken.
TEST_CASE("silent connections to the readiness port")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{320, only(""), Door::Readiness}};
    checkCrowds(each);
}

// Guards against a second door through which the descriptors of all others are taken.
TEST_CASE("silent connections to the admin port")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{320, only(""), Door::Admin}};
    checkCrowds(each);
}

// Guards against a second door through which the descriptors of all others are taken.
TEST_CASE("silent connections to the port for links")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{320, only(""), Door::Links}};
    checkCrowds(each);
}

// Guards against a second door through which the descriptors of all others are taken.
TEST_CASE("silent connections to the port for carried requests")
{
    CrowdCase each;
    each.limits = fewDescriptors();
    each.crowds = {{320, only(""), Door::Carriage}};
    checkCrowds(each);
}

// Guards against a second door through which the memory is used up.
TEST_CASE("trailers without an end to the readiness port")
{
    checkEndlessFraming(chunkedHead() + "0\r\n", "X-More: more\r\n", Door::Readiness);
}

// Guards against a second door through which the memory is used up.
TEST_CASE("long bodies to the readiness port")
{
    CrowdCase each;
    each.crowds = {{endlessClients, heldBack(8 * megabyte), Door::Readiness}};
    checkCrowds(each);
}

// Guards against a second door through which the memory is used up.
TEST_CASE("long bodies to the admin port")
{
    CrowdCase each;
    each.crowds = {{endlessClients, heldBack(8 * megabyte), Door::Admin}};
    checkCrowds(each);
}

// Guards against pages of the state that are kept for callers who do not read them.
TEST_CASE("pages of the admin port that nobody reads")
{
    CrowdCase each;
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    each.crowds = {{64, unread(endless(request, request, 64 * request.size())), Door::Admin}};
    checkCrowds(each);
}

// Guards against a handshake of a link that is kept until the memory is used up.
TEST_CASE("a link's handshake without an end")
{
    checkEndlessFraming("GET / HTTP/1.1\r\nHost: x\r\n", "X-More: more\r\n", Door::Links);
}

// Guards against limits that each hold for one connection and together exceed the memory.
TEST_CASE("held heads, bodies, pipelined requests and unread responses at once")
{
    CrowdCase each;
    each.script = longResponses;
    each.limits.headerBytes = 32 * 1024;
    each.crowds = {
        {32, shortHeaders(each.limits.headerBytes)},
        {32, heldBack(each.limits.bodyBytes)},
        {32, unread(endless(wholeRequest("/once/x"), wholeRequest("/safe/x"), megabyte))},
        {32, unread(only(wholeRequest("/safe/long")))},
    };
    checkCrowds(each);
}

// The same with the limits of a usual site. By hand, as the crowd is not small: --no-skip, and some
// 8,000 descriptors for the test itself.
TEST_CASE("as many connections as a site takes, with all kinds at once" * doctest::skip())
{
    CrowdCase each;
    each.script = longResponses;
    each.limits.memoryMb = 260;
    each.limits.descriptors = 4100;
    each.crowds = {
        {400, shortHeaders(each.limits.headerBytes)},
        {400, heldBack(each.limits.bodyBytes)},
        {400, unread(endless(wholeRequest("/once/x"), wholeRequest("/safe/x"), megabyte))},
        {400, unread(only(wholeRequest("/safe/long")))},
    };
    checkCrowds(each);
}

// Guards against limits on what all callers hold that a single request inside the limits meets.
TEST_CASE("the largest request inside the limits, alone")
{
    struct Row
    {
        const char *name;
        std::uint64_t bodyBytes;
        bool isChunked;
    };
    constexpr std::array<Row, 4> rows{{
        {"an eighth of the memory, with a length", 8 * megabyte, false},
        {"an eighth of the memory, in chunks", 8 * megabyte, true},
        {"a quarter of the memory, with a length", 16 * megabyte, false},
        {"a quarter of the memory, in chunks", 16 * megabyte, true},
    }};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        SiteLimits limits;
        limits.bodyBytes = row.bodyBytes;
        platform::GatewaySite site(limits);
        REQUIRE(site.start(CUMINRAIL_GATEWAY));
        const platform::UsageMonitor monitor(site.pid(), site.ports());
        TestSocket socket = TestSocket::connectTo(site.callersPort());
        REQUIRE(socket.send(largestRequest(limits, row.isChunked)));
        const std::string response = socket.readMessage();
        CAPTURE(response.substr(0, 300));
        CHECK(response.rfind("HTTP/1.1 200", 0) == 0);
        CHECK(monitor.peakMemoryBytes() <= limits.memoryMb * megabyte);
        MESSAGE("peak " << monitor.peakMemoryBytes() / megabyte << " MB");
        CHECK(site.answersOrdinaryRequest());
    }
}

// Guards against a parser that ends the process when the last chunk comes in pieces.
TEST_CASE("a body without content whose only chunk comes byte by byte")
{
    platform::GatewaySite site((SiteLimits()));
    REQUIRE(site.start(CUMINRAIL_GATEWAY));
    TestSocket socket = TestSocket::connectTo(site.callersPort());
    REQUIRE(socket.send(chunkedHead()));
    for (const char *byte : {"0", "\r", "\n", "\r", "\n"}) {
        // Until the process has read all that was sent, so that each byte is read by itself.
        constexpr std::chrono::milliseconds interval(20);
        do {
            std::this_thread::sleep_for(interval);
        } while (platform::processUsage(site.pid(), site.ports()).unreadBytes > 0);
        REQUIRE(site.isRunning());
        REQUIRE(socket.send(byte));
    }
    CHECK(socket.readMessage().rfind("HTTP/1.1 200", 0) == 0);
    CHECK(site.isRunning());
    CHECK(site.answersOrdinaryRequest());
}

// Guards against requests that leave something behind when their callers give up.
TEST_CASE("requests that are given up again and again")
{
    platform::GatewaySite site((SiteLimits()));
    REQUIRE(site.start(CUMINRAIL_GATEWAY));
    REQUIRE(site.answersOrdinaryRequest());
    const ClientScript scripts[] = {
        only(wholeRequest("/once/x")),
        only(wholeRequest("/safe/x")),
        heldBack(64 * 1024),
        only(requestHead("/safe/x") + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"),
        only("POST /stream/x HTTP/1.0\r\nHost: soak.example\r\nRequest-Id: crowd-1\r\n"
             "Authorization: Bearer key-north\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n"
             "hello"),
        endless(wholeRequest("/once/x"), wholeRequest("/safe/x"), 64 * 1024),
    };
    const platform::ProcessUsage before = platform::processUsage(site.pid(), site.ports());
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        for (const ClientScript &script : scripts) {
            platform::ClientCrowd crowd(site.callersPort(), 16, script);
            crowd.run();
        }
    }
    CHECK(site.answersOrdinaryRequest());
    REQUIRE(site.isRunning());
    const platform::ProcessUsage after = platform::processUsage(site.pid(), site.ports());
    // Connections to upstreams that are kept for later requests.
    constexpr std::size_t keptConnections = 64;
    CHECK(after.descriptors <= before.descriptors + keptConnections);
    CHECK(after.memoryBytes() <= before.memoryBytes() + 16 * megabyte);
}
