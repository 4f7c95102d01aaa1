#include "net/server/HttpServer.h"
#include "net/testing/TestSocket.h"
#include "runtime/threads/IoThread.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::uint64_t heldBytes = 512 * 1024;
constexpr std::size_t longBytes = std::size_t{2} * 1024 * 1024;

/** A server that responds with "ok", with a long body, or with a stream that ends when it may. */
class MemoryServer
{
public:
    MemoryServer()
    {
        HttpServerHooks hooks;
        hooks.onRequest = [this](const auto &exchange) { onRequest(exchange); };
        hooks.onProblem = [](int status, const Reason &) { return HttpResponse{status, {}, {}}; };
        HttpServerLimits limits;
        limits.heldBytes = heldBytes;
        limits.connections = 16;
        server_ =
            std::make_unique<HttpServer>(thread_.io(), thread_.deadlines(), limits, hooks, load);
        Reason reason;
        if (!server_->listen("127.0.0.1", 0, false, &reason))
            throw std::runtime_error(reason.toString());
        thread_.start();
    }
    ~MemoryServer()
    {
        thread_.stop();
        thread_.join();
        server_->closeAll();
        thread_.runLeftovers();
    }
    MemoryServer(const MemoryServer &) = delete;
    MemoryServer &operator=(const MemoryServer &) = delete;

    TestSocket connect(int receiveBufferBytes = 0) const
    {
        return TestSocket::connectTo(server_->port(), receiveBufferBytes);
    }

    std::shared_ptr<ServerLoad> load = std::make_shared<ServerLoad>();

private:
    void onRequest(const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::string path(exchange->head().path());
        if (path == "/long")
            return exchange->respond({200, {}, std::string(longBytes, 'x')});
        if (path != "/stream")
            return exchange->respond({200, {}, "ok"});
        exchange->beginStream(200, {});
        goOn(exchange, longBytes);
    }

    /** Writes as long as the caller reads, and waits otherwise. */
    static void goOn(const std::shared_ptr<HttpExchange> &exchange, std::size_t left)
    {
        constexpr std::size_t pieceBytes = 8 * 1024;
        while (left > 0) {
            exchange->write(std::string(pieceBytes, 'x'));
            left -= pieceBytes;
            if (exchange->isCongested())
                return exchange->onWritable([exchange, left] { goOn(exchange, left); });
        }
        exchange->finish();
    }

    IoThread thread_{Millis(2)};
    std::unique_ptr<HttpServer> server_;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

template<typename Condition>
bool waitUntil(Condition condition)
{
    for (int i = 0; i < testTimeoutSeconds * 100; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace

// Guards against memory that is counted for callers who have left, until nobody is served.
TEST_CASE("what callers hold is given back when they have been served or have left")
{
    MemoryServer server;
    {
        TestSocket served = server.connect();
        served.send(get("/long"));
        CHECK(served.readMessage().size() > longBytes);
        TestSocket unfinished = server.connect();
        unfinished.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
                        + std::string(90000, 'x'));
        TestSocket unread = server.connect(4096);
        unread.send(get("/long"));
        CHECK(waitUntil([&] { return server.load->heldBytes > 90000; }));
    }
    CHECK(waitUntil([&] { return server.load->connections == 0; }));
    CHECK(server.load->heldBytes == 0);
}

// Guards against small requests that are refused as others hold all memory and do not go on.
TEST_CASE("a small request is served beside callers that hold more than the limit")
{
    MemoryServer server;
    std::vector<TestSocket> holders;
    for (int i = 0; i < 8; ++i) {
        holders.push_back(server.connect(4096));
        holders.back().send(i % 2 == 0
                                ? get("/long")
                                : "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"
                                    + std::string(200000, 'x'));
    }
    CHECK(waitUntil([&] { return server.load->evicted > 0; }));
    CHECK(waitUntil([&] { return server.load->heldBytes <= heldBytes; }));
    TestSocket small = server.connect();
    small.send(get("/x"));
    CHECK(small.readMessage().find("ok") != std::string::npos);
}

// Guards against a stream that waits for ever, as the threshold fell while it was written.
TEST_CASE("a stream goes on when its caller reads again, whatever the others hold by then")
{
    for (const bool isTight : {false, true}) {
        CAPTURE(isTight);
        MemoryServer server;
        TestSocket reader = server.connect(4096);
        reader.send(get("/stream"));
        // The stream is held up before its end.
        REQUIRE(waitUntil([&] { return server.load->heldBytes > 16 * 1024; }));
        const std::uint64_t extra = isTight ? heldBytes * 3 / 4 : 0;
        server.load->heldBytes += extra;
        const std::string response = reader.readMessage();
        CHECK(response.size() > longBytes);
        CHECK(response.substr(response.size() - 5) == "0\r\n\r\n");
        server.load->heldBytes -= extra;
    }
}
