#include "net/http/HttpParser.h"

#include <doctest/doctest.h>

#include <string>

using namespace cuminrail;

namespace {

/** Parses a head that comes in pieces of this size; returns whether it is refused as malformed. */
bool isMalformed(HttpParser::Kind kind, const std::string &message, std::size_t pieceBytes)
{
    HttpParser parser(kind, HttpLimits(), [](std::string_view) {});
    std::string pending;
    for (std::size_t at = 0; at < message.size() && !parser.problem(); at += pieceBytes) {
        pending += message.substr(at, pieceBytes);
        pending.erase(0, parser.feed(pending));
    }
    return parser.problem() && parser.problem()->kind == HttpProblemKind::Malformed;
}

constexpr std::size_t pieces[] = {1, 7, 16 * 1024};

} // namespace

// Guards against a status line that the receiver of the response cannot parse.
TEST_CASE("a response has a status between 100 and 599")
{
    struct Row
    {
        const char *status;
        bool isValid;
    };
    for (const Row &row :
         {Row{"000", false}, Row{"001", false}, Row{"099", false}, Row{"100", true},
          Row{"200", true}, Row{"299", true}, Row{"404", true}, Row{"599", true}, Row{"600", false},
          Row{"999", false}, Row{"20", false}, Row{"2000", false}}) {
        for (const std::size_t piece : pieces) {
            CAPTURE(std::string(row.status));
            CAPTURE(piece);
            const std::string message =
                std::string("HTTP/1.1 ") + row.status + " Status\r\nContent-Length: 0\r\n\r\n";
            CHECK(isMalformed(HttpParser::Kind::Response, message, piece) == !row.isValid);
        }
    }
}

// Guards against a line that one reader takes for a header and another for a part of a value.
TEST_CASE("a header line that begins with a blank is refused")
{
    struct Row
    {
        const char *lines;
        bool isValid;
    };
    for (const Row &row :
         {Row{"X-One: a\r\nX-Two: b\r\n", true}, Row{"X-One: \r\n", true}, Row{"X-One:\r\n", true},
          Row{"X-One: a b\tc\r\n", true}, Row{" X-One: a\r\n", false},
          Row{"X-One: a\r\n X-Two: b\r\n", false}, Row{"X-One: a\r\n\tX-Two: b\r\n", false},
          Row{"X-One: a\r\n \r\n", false}, Row{"X-One:\r\n a\r\nX-Two: b\r\n", false},
          Row{"X-Two: b\r\nX-One: a\r\n \r\n c\r\n", false}}) {
        for (const std::size_t piece : pieces) {
            CAPTURE(std::string(row.lines));
            CAPTURE(piece);
            CHECK(isMalformed(HttpParser::Kind::Response,
                              std::string("HTTP/1.1 204 No Content\r\n") + row.lines + "\r\n",
                              piece)
                  == !row.isValid);
            CHECK(isMalformed(HttpParser::Kind::Request,
                              std::string("GET / HTTP/1.1\r\n") + row.lines + "\r\n", piece)
                  == !row.isValid);
        }
    }
}
