#include <doctest/doctest.h>

#include "net/server/HttpServer.h"
#include "net/testing/TestSocket.h"
#include "runtime/threads/IoThread.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

using Respond = std::function<void(HttpExchange &)>;

/** A server whose program responds to each request by a function, on the server's thread. */
class RespondingServer
{
public:
    explicit RespondingServer(const Respond &respond)
    {
        HttpServerHooks hooks;
        hooks.onRequest = [this, respond](const std::shared_ptr<HttpExchange> &exchange) {
            exchanges_.push_back(exchange);
            respond(*exchange);
        };
        hooks.onProblem = [](int status, const Reason &) { return HttpResponse{status, {}, {}}; };
        hooks.onOutOfOrder = [this](const Reason &reason) { faults_.push_back(reason.toString()); };
        server_ =
            std::make_unique<HttpServer>(thread_.io(), thread_.deadlines(), HttpServerLimits(),
                                         hooks, std::make_shared<ServerLoad>());
        Reason reason;
        REQUIRE(server_->listen("127.0.0.1", 0, false, &reason));
        thread_.start();
    }

    ~RespondingServer()
    {
        thread_.stop();
        thread_.join();
        server_->closeAll();
        thread_.runLeftovers();
    }

    RespondingServer(const RespondingServer &) = delete;
    RespondingServer &operator=(const RespondingServer &) = delete;

    std::uint16_t port() const { return server_->port(); }
    std::vector<std::string> faults()
    {
        std::vector<std::string> copy;
        thread_.run([&] { copy = faults_; });
        return copy;
    }
    void closeAll()
    {
        thread_.run([&] { server_->closeAll(); });
    }
    /** Calls a function with the first request's exchange. */
    void withFirst(const Respond &function)
    {
        thread_.run([&] { function(*exchanges_.at(0)); });
    }

private:
    IoThread thread_;
    std::unique_ptr<HttpServer> server_;
    std::vector<std::shared_ptr<HttpExchange>> exchanges_;
    std::vector<std::string> faults_;
};

std::string get(const std::string &version = "HTTP/1.1", const std::string &method = "GET")
{
    return method + " /x " + version + "\r\nHost: h\r\n\r\n";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

const HttpResponse failure{500, {}, "failed"};

void beginWithEvent(HttpExchange &exchange)
{
    exchange.beginStream(200, {});
    exchange.write("event");
}

} // namespace

// Guards against a second head, or bytes after the end, inside a response that the caller reads.
TEST_CASE("a call out of a response's order writes nothing, and the caller sees a break")
{
    struct Row
    {
        const char *name;
        Respond respond;
        /** Number of heads that the caller receives. */
        std::size_t heads;
    };
    const std::string large(8U << 20U, 'x');
    const std::vector<Row> rows{
        {"a whole response in an open one",
         [](HttpExchange &exchange) {
             beginWithEvent(exchange);
             exchange.respond(failure);
         },
         1},
        {"a second beginning",
         [](HttpExchange &exchange) {
             beginWithEvent(exchange);
             exchange.beginStream(500, {});
         },
         1},
        {"an event without a beginning", [](HttpExchange &exchange) { exchange.write("event"); },
         0},
        {"an end without a beginning", [](HttpExchange &exchange) { exchange.finish(); }, 0},
        {"a truncated end without a beginning",
         [](HttpExchange &exchange) { exchange.finishTruncated("event"); }, 0},
        {"a second whole response, while the first is being sent",
         [&](HttpExchange &exchange) {
             exchange.respond({200, {}, large});
             exchange.respond(failure);
         },
         1},
        {"an event after the end, while the response is being sent",
         [&](HttpExchange &exchange) {
             exchange.beginStream(200, {});
             exchange.write(large);
             exchange.finish();
             exchange.write("event");
         },
         1},
        {"a second end, while the response is being sent",
         [&](HttpExchange &exchange) {
             exchange.beginStream(200, {});
             exchange.write(large);
             exchange.finish();
             exchange.finish();
         },
         1},
        {"an event after the end",
         [](HttpExchange &exchange) {
             beginWithEvent(exchange);
             exchange.finish();
             exchange.write("late");
         },
         1},
        {"a second end",
         [](HttpExchange &exchange) {
             beginWithEvent(exchange);
             exchange.finish();
             exchange.finish();
         },
         1},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        RespondingServer server(row.respond);
        TestSocket socket = TestSocket::connectTo(server.port());
        socket.send(get());
        const std::string received = socket.readToEnd();
        CHECK(socket.wasReset());
        CHECK(countOf(received, "HTTP/1.1 ") == row.heads);
        CHECK(countOf(received, "failed") == 0);
        CHECK(countOf(received, "late") == 0);
        CHECK(server.faults().size() == 1);
    }
}

// Guards against a late call that breaks the next request on its connection.
TEST_CASE("a call for a request that is over does not touch the next one")
{
    RespondingServer server([](HttpExchange &exchange) {
        if (exchange.head().method == "GET")
            exchange.respond({200, {}, "first"});
    });
    TestSocket socket = TestSocket::connectTo(server.port());
    socket.send(get());
    CHECK(socket.readMessage().find("first") != std::string::npos);
    // Its head and body are complete, so that the server waits for its program.
    socket.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    server.withFirst([](HttpExchange &exchange) { exchange.respond(failure); });
    CHECK(server.faults().size() == 1);
    CHECK(socket.send(get()));
    CHECK_FALSE(socket.wasReset());
}

TEST_CASE("a caller who left makes no call a fault")
{
    RespondingServer server(beginWithEvent);
    {
        TestSocket socket = TestSocket::connectTo(server.port());
        socket.send(get());
        CHECK(socket.readUntil("event"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    server.withFirst([](HttpExchange &exchange) {
        exchange.write("event");
        exchange.finish();
        exchange.respond(failure);
    });
    CHECK(server.faults().empty());
}

// Guards against a stream that is cut off and looks whole, as only its connection's end marks its
// end.
TEST_CASE("a stream without chunks ends in order only if it is whole")
{
    struct Row
    {
        const char *name;
        std::function<void(RespondingServer &)> end;
        bool isWhole;
    };
    const auto callFirst = [](void (HttpExchange::*call)()) {
        return [call](RespondingServer &server) {
            server.withFirst([call](HttpExchange &exchange) { (exchange.*call)(); });
        };
    };
    for (const Row &row :
         {Row{"finished", callFirst(&HttpExchange::finish), true},
          Row{"broken off", callFirst(&HttpExchange::abort), false},
          Row{"the server stops", [](RespondingServer &server) { server.closeAll(); }, false}}) {
        CAPTURE(std::string(row.name));
        RespondingServer server(beginWithEvent);
        TestSocket socket = TestSocket::connectTo(server.port());
        socket.send(get("HTTP/1.0"));
        CHECK(socket.readUntil("event"));
        row.end(server);
        CHECK(countOf(socket.readToEnd(), "event") == 1);
        CHECK(socket.wasReset() != row.isWhole);
    }
}

// Guards against bytes after a head that callers take for the next response.
TEST_CASE("a response that has no body is followed by the next response")
{
    struct Row
    {
        const char *method;
        int status;
        bool isStream;
    };
    for (const Row &row : {Row{"HEAD", 200, true}, Row{"HEAD", 200, false}, Row{"GET", 204, true},
                           Row{"GET", 204, false}, Row{"GET", 304, true}, Row{"GET", 304, false}}) {
        CAPTURE(std::string(row.method));
        CAPTURE(row.status);
        CAPTURE(row.isStream);
        RespondingServer server([&row](HttpExchange &exchange) {
            if (exchange.head().method == "POST")
                return exchange.respond({200, {}, "next"});
            if (!row.isStream)
                return exchange.respond({row.status, {}, "body"});
            exchange.beginStream(row.status, {});
            exchange.write("body");
            exchange.finish();
        });
        TestSocket socket = TestSocket::connectTo(server.port());
        socket.send(get("HTTP/1.1", row.method)
                    + "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(socket.readUntil("next"));
        const std::string received = socket.input();
        const auto firstEnd = received.find("\r\n\r\n") + 4;
        CHECK(received.compare(firstEnd, 9, "HTTP/1.1 ") == 0);
        CHECK(server.faults().empty());
    }
}
