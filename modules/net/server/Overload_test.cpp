#include <doctest/doctest.h>

#include "net/server/HttpServer.h"
#include "net/testing/TestSocket.h"
#include "runtime/threads/IoThread.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using SteadyClock = std::chrono::steady_clock;

/** What the server's thread does for a request; it can serve this many times fewer than come. */
constexpr std::chrono::milliseconds workTime(10);
constexpr int callers = 40;
constexpr std::chrono::milliseconds callerPause(30);
constexpr std::chrono::milliseconds callerPatience(300);
constexpr std::chrono::seconds duration(3);

/** Results of callers that open a new connection for each request. */
struct Counts
{
    std::atomic<int> served{0};
    std::atomic<int> late{0};
    std::atomic<int> closedUnread{0};
    /** Requests that the server's program got. */
    std::atomic<int> read{0};
};

void callInTurn(std::uint16_t port, SteadyClock::time_point end, Counts &counts)
{
    while (SteadyClock::now() < end) {
        const auto began = SteadyClock::now();
        TestSocket socket = TestSocket::connectTo(port);
        socket.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string response = socket.readMessage();
        if (response.empty())
            ++counts.closedUnread;
        else if (SteadyClock::now() - began <= callerPatience)
            ++counts.served;
        else
            ++counts.late;
        std::this_thread::sleep_for(callerPause);
    }
}

} // namespace

// Guards against an instance that gets most new connections, reads them all and answers all late.
TEST_CASE("a server that gets more connections than it can bear closes new ones unread, and serves "
          "in time what it reads")
{
    IoThread thread;
    Counts counts;
    HttpServerHooks hooks;
    hooks.onRequest = [&](const std::shared_ptr<HttpExchange> &exchange) {
        ++counts.read;
        std::this_thread::sleep_for(workTime);
        exchange->respond({200, {}, "ok"});
    };
    hooks.onProblem = [](int status, const Reason &) { return HttpResponse{status, {}, {}}; };
    HttpServerLimits limits;
    limits.maxUnreadAge = Millis(100);
    HttpServer server(thread.io(), thread.deadlines(), limits, hooks,
                      std::make_shared<ServerLoad>());
    Reason reason;
    REQUIRE(server.listen("127.0.0.1", 0, false, &reason));
    thread.start();
    std::vector<std::thread> threads;
    threads.reserve(callers);
    const auto end = SteadyClock::now() + duration;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&] { callInTurn(server.port(), end, counts); });
    for (std::thread &each : threads)
        each.join();
    thread.run([&] { server.closeAll(); });
    CAPTURE(counts.read.load());
    CAPTURE(counts.late.load());
    CHECK(counts.closedUnread > 0);
    CHECK(counts.served >= 0.9 * counts.read);
    // The server is not idle for it: two thirds of what it could do at most.
    const auto possible = std::chrono::milliseconds(duration) / workTime;
    CHECK(counts.served >= 0.66 * static_cast<double>(possible));
}
