#include "core/random/Random.h"
#include "net/http/HttpParser.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>

using namespace cuminrail;

namespace {

constexpr std::uint32_t framingBytes = 256;

/** What a program learns of one message. */
struct Outcome
{
    std::string body;
    std::size_t headers = 0;
    bool isDone = false;
    std::optional<HttpProblemKind> problem;

    /** Whether bytes that are still needed could lead both to the same end. */
    bool agreesWith(const Outcome &other) const
    {
        if (isDone && other.isDone)
            return body == other.body && headers == other.headers;
        return !(isDone && other.problem) && !(problem && other.isDone);
    }
};

/** Returns the next piece's length for the bytes that are left. */
using PieceHook = std::function<std::size_t(std::size_t left)>;

/** Parses as a connection does: what can't be parsed yet waits for the bytes after it. */
Outcome parse(HttpParser::Kind kind, const std::string &message, const PieceHook &pieceBytes)
{
    HttpLimits limits;
    limits.headBytes = 512;
    limits.bodyBytes = 256;
    limits.framingBytes = framingBytes;
    Outcome outcome;
    HttpParser parser(kind, limits, [&outcome](std::string_view data) { outcome.body += data; });
    std::string pending;
    const auto isOver = [&parser] { return parser.isDone() || parser.problem(); };
    for (std::size_t at = 0; at < message.size() && !isOver();) {
        const std::size_t size = pieceBytes(message.size() - at);
        pending += message.substr(at, size);
        at += size;
        std::size_t used = 1;
        while (used > 0 && !pending.empty() && !isOver()) {
            used = parser.feed(pending);
            pending.erase(0, used);
        }
    }
    outcome.isDone = parser.isDone() && !parser.problem();
    outcome.headers = parser.head().headers.size();
    if (parser.problem())
        outcome.problem = parser.problem()->kind;
    return outcome;
}

template<std::size_t Size>
std::string anyOf(const std::array<const char *, Size> &texts, const RandomHook &random)
{
    return texts[random() % Size];
}

/** Returns a message that is nearly one, with parts that parsers have treated differently. */
std::string anyMessage(HttpParser::Kind kind, const RandomHook &random)
{
    constexpr std::array<const char *, 8> headers{"Transfer-Encoding: chunked\r\n",
                                                  "Content-Length: 5\r\n",
                                                  "Content-Length: 0\r\n",
                                                  "Connection: close\r\n",
                                                  "a:\r\n",
                                                  "X: y \r\n z\r\n",
                                                  "Expect: 100-continue\r\n",
                                                  ": x\r\n"};
    constexpr std::array<const char *, 14> bodies{
        "5\r\nhello\r\n", "1\r\nx\r\n", "0\r\n",    "\r\n",    "0\r\n\r\n", "1;a=b\r\nx\r\n", "00",
        "5;a=\"\r\n\"",   "ffffffff",   "X: y\r\n", "hello\n", "-1\r\n",    "0;x\r\n",        "g"};
    std::string message = kind == HttpParser::Kind::Request ? "POST /x HTTP/1.1\r\nHost: h\r\n"
                                                            : "HTTP/1.1 200 OK\r\n";
    if (random() % 4 != 0)
        message += headers[0];
    for (std::uint64_t i = random() % 3; i > 0; --i)
        message += anyOf(headers, random);
    message += "\r\n";
    for (std::uint64_t i = random() % 8; i > 0; --i)
        message += anyOf(bodies, random);
    for (std::uint64_t i = random() % 4 == 0 ? 1 + random() % 3 : 0; i > 0; --i)
        message[random() % message.size()] = static_cast<char>(random() % 256);
    return message;
}

} // namespace

// Guards against a process that bytes end, and against input that means something else in pieces.
TEST_CASE("any bytes are parsed alike, however they are divided")
{
    constexpr std::uint64_t rounds = 20000;
    for (const HttpParser::Kind kind : {HttpParser::Kind::Request, HttpParser::Kind::Response}) {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            const RandomHook random = seededRandom(seed);
            const std::string message = anyMessage(kind, random);
            const Outcome whole = parse(kind, message, [](std::size_t left) { return left; });
            const Outcome bytes = parse(kind, message, [](std::size_t) { return 1; });
            const Outcome pieces = parse(kind, message, [&random](std::size_t left) {
                return 1 + random() % std::min<std::size_t>(left, 9);
            });
            CAPTURE(seed);
            CAPTURE(message);
            CHECK(bytes.agreesWith(whole));
            CHECK(pieces.agreesWith(whole));
        }
    }
}
