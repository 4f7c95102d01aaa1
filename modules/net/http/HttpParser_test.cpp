#include "net/http/HttpParser.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminrail;

namespace {

constexpr std::uint32_t framingBytes = 1024;

struct Parsed
{
    std::string body;
    std::vector<std::string> headerNames;
    bool isDone = false;
    bool isKeepAlive = false;
    std::optional<HttpProblemKind> problem;
    /** Most bytes that waited for the rest of a part. */
    std::size_t mostPending = 0;
};

std::string startLine(HttpParser::Kind kind)
{
    return kind == HttpParser::Kind::Request ? "POST /x HTTP/1.1\r\nHost: h\r\n"
                                             : "HTTP/1.1 200 OK\r\n";
}

/** Parses a message that comes in pieces of this size. */
Parsed parse(HttpParser::Kind kind, const std::string &message, std::size_t pieceBytes)
{
    HttpLimits limits;
    limits.framingBytes = framingBytes;
    Parsed parsed;
    HttpParser parser(kind, limits,
                      [&parsed](std::string_view data) { parsed.body += std::string(data); });
    std::string pending;
    for (std::size_t at = 0; at < message.size() && !parser.problem(); at += pieceBytes) {
        pending += message.substr(at, pieceBytes);
        const bool isHead = !parser.isHeadDone();
        pending.erase(0, parser.feed(pending));
        if (isHead && parser.isHeadDone() && !parser.problem())
            pending.erase(0, parser.feed(pending));
        parsed.mostPending = std::max(parsed.mostPending, pending.size());
    }
    for (const HttpHeader &header : parser.head().headers)
        parsed.headerNames.push_back(header.name);
    parsed.isDone = parser.isDone();
    parsed.isKeepAlive = parser.isKeepAlive();
    if (parser.problem())
        parsed.problem = parser.problem()->kind;
    return parsed;
}

constexpr HttpParser::Kind kinds[] = {HttpParser::Kind::Request, HttpParser::Kind::Response};
constexpr std::size_t pieces[] = {1, 7, 16 * 1024};

std::string repeat(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

} // namespace

// Guards against a message whose framing is kept or read without an end.
TEST_CASE("framing that a body does not need has a bound")
{
    const std::string rows[] = {
        "0\r\n" + repeat("X-More: more\r\n", 1000),
        "0\r\nX-More: " + repeat("more", 1000),
        "5;more=" + repeat("more", 1000),
        repeat("0", 4000),
        repeat("1;more=" + repeat("m", 200) + "\r\nx\r\n", 100),
    };
    for (const auto kind : kinds) {
        for (const std::string &row : rows) {
            for (const std::size_t piece : pieces) {
                const Parsed parsed = parse(
                    kind, startLine(kind) + "Transfer-Encoding: chunked\r\n\r\n" + row, piece);
                CAPTURE(row.substr(0, 20));
                CAPTURE(piece);
                REQUIRE(parsed.problem.has_value());
                CHECK(*parsed.problem == HttpProblemKind::FramingTooLarge);
                CHECK(parsed.mostPending <= framingBytes + piece);
            }
        }
    }
}

// Guards against a caller inside the limits that is refused for the size of its chunks.
TEST_CASE("a body in chunks of one byte is accepted, whatever its length")
{
    for (const auto kind : kinds) {
        for (const char *chunk : {"1\r\nx\r\n", "00000001\r\nx\r\n"}) {
            constexpr std::size_t bodyBytes = 5000;
            const Parsed parsed = parse(kind,
                                        startLine(kind) + "Transfer-Encoding: chunked\r\n\r\n"
                                            + repeat(chunk, bodyBytes) + "0\r\n\r\n",
                                        11);
            CHECK_FALSE(parsed.problem.has_value());
            CHECK(parsed.isDone);
            CHECK(parsed.body.size() == bodyBytes);
        }
    }
}

// Guards against headers that are added, or changed in meaning, behind the check of the head.
TEST_CASE("trailers change nothing that the head said")
{
    const std::string rows[] = {"X-Any: 1\r\n",
                                "Host: other\r\n",
                                "Connection: close\r\n",
                                "Connection: Request-Id\r\n",
                                "Authorization: Bearer other\r\n",
                                "Keep-Alive: timeout=1\r\n"};
    for (const auto kind : kinds) {
        for (const std::string &row : rows) {
            for (const std::size_t piece : pieces) {
                const std::string head = startLine(kind) + "Transfer-Encoding: chunked\r\n\r\n";
                std::string message = head + "5\r\nhello\r\n0\r\n";
                const Parsed plain = parse(kind, message + "\r\n", piece);
                message += row;
                message += "\r\n";
                const Parsed parsed = parse(kind, message, piece);
                CAPTURE(row);
                CAPTURE(piece);
                CHECK_FALSE(parsed.problem.has_value());
                CHECK(parsed.isDone);
                CHECK(parsed.body == "hello");
                CHECK(parsed.headerNames == plain.headerNames);
                CHECK(parsed.isKeepAlive);
            }
        }
    }
}

// Guards against a second length behind the body, which another reader might believe.
TEST_CASE("a length or a transfer coding in a trailer ends no message differently")
{
    for (const auto kind : kinds) {
        for (const char *row : {"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"}) {
            const Parsed parsed = parse(kind,
                                        startLine(kind) + "Transfer-Encoding: chunked\r\n\r\n"
                                            + "5\r\nhello\r\n0\r\n" + row + "\r\n",
                                        16 * 1024);
            CAPTURE(row);
            CHECK(parsed.body == "hello");
            CHECK((parsed.isDone || parsed.problem.has_value()));
        }
    }
}
