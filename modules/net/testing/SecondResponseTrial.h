#pragma once

#include "net/testing/PoolClient.h"
#include "net/testing/ScriptedUpstream.h"

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cuminrail::testing {

/** Larger than what the sockets of both ends hold. */
inline constexpr std::size_t largeBodyBytes = 8U << 20U;

/** When the second response to request "a" arrives; request "b" is the next one. */
enum class Moment : std::uint8_t {
    /** In one write with the first response. */
    RightBehind,
    Idle,
    /** While the next request is taken to a connection. */
    Taken,
    /** Before the response to "b". */
    Late,
    /** The same, in parts. */
    LateInParts,
    /** While the body of "b" is sent. */
    Sending,
    /** The same as late, after the first response came before the end of the body of "a". */
    AfterEarly,
    /** After an interim response to "b". */
    AfterInterim,
    /** Between two chunks of the response to "b". */
    BetweenChunks,
};

inline constexpr NameTable<Moment, 9> momentNames{{{
    {Moment::RightBehind, "right behind the first one"},
    {Moment::Idle, "while the connection is idle"},
    {Moment::Taken, "while the next request takes the connection"},
    {Moment::Late, "late"},
    {Moment::LateInParts, "late, in parts"},
    {Moment::Sending, "while the next body is sent"},
    {Moment::AfterEarly, "late, after an early response"},
    {Moment::AfterInterim, "after the next request's interim response"},
    {Moment::BetweenChunks, "between the next response's chunks"},
}}};

/** A request together with its upstream's response. */
struct Exchange
{
    const char *name;
    std::string method = "POST";
    /** The request carries its identity. */
    bool isIdentified = true;
    bool isEchoRequired = false;
    std::string status = "200 OK";
    /** The response bears the request's identity. */
    bool echoes = true;
    bool isChunked = false;

    bool hasBody() const
    {
        return method != "HEAD" && status != "204 No Content" && status != "304 Not Modified";
    }
};

inline Exchange withStatus(const char *name, const std::string &status, bool echoes = true)
{
    Exchange exchange{name};
    exchange.status = status;
    exchange.echoes = echoes;
    return exchange;
}

inline Exchange plain()
{
    return {"plain"};
}

inline Exchange guaranteedEcho()
{
    Exchange exchange{"plain, of an engine that guarantees the echo"};
    exchange.isEchoRequired = true;
    return exchange;
}

inline Exchange headOnly()
{
    return {"HEAD", "HEAD"};
}

inline Exchange chunked()
{
    Exchange exchange{"chunked"};
    exchange.isChunked = true;
    return exchange;
}

/** A call such as the release of a handle: no identity there and back. */
inline Exchange call(const char *name, const std::string &status)
{
    Exchange exchange = withStatus(name, status, false);
    exchange.isIdentified = false;
    return exchange;
}

inline std::vector<Exchange> echoed()
{
    return {plain(),
            guaranteedEcho(),
            withStatus("refusal", "503 Service Unavailable"),
            headOnly(),
            withStatus("no content", "204 No Content"),
            withStatus("not modified", "304 Not Modified"),
            chunked()};
}

inline std::vector<Exchange> unidentified()
{
    return {withStatus("refusal without identity", "503 Service Unavailable", false),
            withStatus("limit without identity", "429 Too Many Requests", false),
            withStatus("plain without identity", "200 OK", false), call("call", "200 OK"),
            call("refused call", "503 Service Unavailable")};
}

inline std::string bodyOf(const Exchange &exchange, const std::string &id)
{
    return exchange.hasBody() ? "for " + id : std::string();
}

/** Returns the response up to its body's middle, and the rest. */
inline std::pair<std::string, std::string> halves(const Exchange &exchange, const std::string &id)
{
    std::string head = "HTTP/1.1 " + exchange.status + "\r\n";
    if (exchange.echoes)
        head += "X-Request-Id: " + id + "\r\n";
    const std::string body = "for " + id;
    if (exchange.isChunked)
        return {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, 2)),
                chunk(body.substr(2)) + chunk("")};
    if (exchange.status != "204 No Content")
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return {head + "\r\n", bodyOf(exchange, id)};
}

inline std::string responseOf(const Exchange &exchange, const std::string &id)
{
    const auto [first, second] = halves(exchange, id);
    return first + second;
}

inline UpstreamRequest requestOf(const Exchange &exchange, const std::string &address,
                                 const std::string &id, std::size_t bodyBytes = 4)
{
    UpstreamRequest request;
    request.address = address;
    request.isEchoRequired = exchange.isEchoRequired;
    request.isHead = exchange.method == "HEAD";
    request.wire = exchange.method + " /run HTTP/1.1\r\nHost: x\r\nX-Name: " + id + "\r\n";
    request.requestId = exchange.isIdentified ? id : "";
    if (exchange.isIdentified)
        request.wire += "X-Request-Id: " + id + "\r\n";
    else
        request.identityHeader = "";
    request.wire +=
        "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    return request;
}

/**
    An upstream that responds to request "a" and then once more at a moment, and once to all others.
    The second response may be of another kind, or missing.
*/
class SecondResponseTrial
{
public:
    SecondResponseTrial(Moment moment, Exchange first, std::optional<Exchange> second,
                        Exchange next)
        : moment_(moment), first_(std::move(first)), second_(std::move(second)),
          next_(std::move(next)),
          upstream_([this](ScriptedUpstream::Connection &connection) { serve(connection); })
    { }

    /** Sends "a", then "b"; returns what "b" got. */
    PoolResult run(PoolClient &client)
    {
        const std::size_t bytes = moment_ == Moment::AfterEarly ? largeBodyBytes : 4;
        const PoolResult own = client.call(requestOf(first_, upstream_.address(), "a", bytes));
        CHECK(own.body == bodyOf(first_, "a"));
        if (moment_ == Moment::Idle) {
            mayRepeat_.set();
            hasRepeated_.wait();
            for (int i = 0; i < 40 && client.idle() > 0; ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        if (moment_ == Moment::Taken)
            mayRepeat_.set();
        return client.call(requestOf(next_, upstream_.address(), "b",
                                     moment_ == Moment::Sending ? largeBodyBytes : 4));
    }

    PoolResult runAnother(PoolClient &client)
    {
        return client.call(requestOf(plain(), upstream_.address(), "c"));
    }

private:
    void serve(ScriptedUpstream::Connection &connection)
    {
        if (connection.number == 1) {
            serveFirst(connection);
            serveNext(connection);
        }
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const std::string id = request.header("X-Name");
            connection.socket.send(responseOf(id == "b" ? next_ : plain(), id));
        }
    }

    void serveFirst(ScriptedUpstream::Connection &connection)
    {
        const std::string own = responseOf(first_, "a");
        if (moment_ == Moment::AfterEarly) {
            connection.socket.readUntil("\r\n\r\n");
            connection.socket.send(own);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            connection.read();
            return;
        }
        connection.read();
        connection.socket.send(moment_ == Moment::RightBehind ? own + repeated() : own);
        if (moment_ != Moment::Idle && moment_ != Moment::Taken)
            return;
        mayRepeat_.wait();
        connection.socket.send(repeated());
        hasRepeated_.set();
    }

    void serveNext(ScriptedUpstream::Connection &connection)
    {
        if (moment_ < Moment::Late)
            return;
        if (moment_ == Moment::Sending && connection.socket.readUntil("\r\n\r\n")) {
            connection.socket.send(repeated());
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        // Request "b" may have been sent over another connection.
        const std::string id = request.header("X-Name");
        const auto [begin, end] = halves(id == "b" ? next_ : plain(), id);
        if (moment_ == Moment::BetweenChunks) {
            connection.socket.send(begin + repeated());
            connection.socket.send(end);
            return;
        }
        if (moment_ == Moment::AfterInterim)
            connection.socket.send("HTTP/1.1 100 Continue\r\n\r\n");
        if (moment_ == Moment::LateInParts)
            sendInParts(connection);
        else if (moment_ != Moment::Sending)
            connection.socket.send(repeated());
        connection.socket.send(begin + end);
    }

    void sendInParts(ScriptedUpstream::Connection &connection) const
    {
        const std::string bytes = repeated();
        for (std::size_t at = 0; at < bytes.size(); at += 16) {
            connection.socket.send(bytes.substr(at, 16));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::string repeated() const { return second_ ? responseOf(*second_, "a") : ""; }

    const Moment moment_;
    const Exchange first_;
    const std::optional<Exchange> second_;
    const Exchange next_;
    Signal mayRepeat_;
    Signal hasRepeated_;
    ScriptedUpstream upstream_;
};

} // namespace cuminrail::testing
