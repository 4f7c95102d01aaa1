#include "standin/proxy/HttpFraming.h"

#include <charconv>

namespace cuminrail {

namespace {

constexpr std::string_view lineEnd = "\r\n";

/** Returns a number, or 0 for text that begins with none. */
std::size_t number(std::string_view text, int base)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, base);
    return value;
}

/** Walks over chunks; appends their data. Returns the length with trailers, 0 while not whole. */
std::size_t walkChunks(std::string_view bytes, std::string *body)
{
    for (std::size_t at = 0;;) {
        const auto end = bytes.find(lineEnd, at);
        if (end == std::string_view::npos)
            return 0;
        if (bytes.substr(at, 1).find_first_of("0123456789abcdefABCDEF") != 0)
            return 0;
        const std::size_t size = number(bytes.substr(at, end - at), 16);
        if (size == 0) {
            if (bytes.substr(end, 4) == "\r\n\r\n")
                return end + 4;
            const auto trailersEnd = bytes.find("\r\n\r\n", end);
            return trailersEnd == std::string_view::npos ? 0 : trailersEnd + 4;
        }
        if (body != nullptr)
            body->append(bytes.substr(end + 2, size));
        at = end + 2 + size + 2;
        if (at > bytes.size() || bytes.substr(at - 2, 2) != lineEnd)
            return 0;
    }
}

} // namespace

std::size_t headLength(std::string_view bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    return end == std::string_view::npos ? 0 : end + 4;
}

std::string headerValue(std::string_view head, std::string_view name)
{
    const std::string line = std::string(lineEnd) + std::string(name) + ": ";
    const auto at = head.substr(0, headLength(head)).find(line);
    if (at == std::string_view::npos)
        return {};
    const auto begin = at + line.size();
    return std::string(head.substr(begin, head.find(lineEnd, begin) - begin));
}

bool isChunked(std::string_view head)
{
    return headerValue(head, "Transfer-Encoding") == "chunked";
}

std::size_t messageLength(std::string_view bytes)
{
    const std::size_t head = headLength(bytes);
    if (head == 0)
        return 0;
    if (isChunked(bytes)) {
        const std::size_t chunks = walkChunks(bytes.substr(head), nullptr);
        return chunks == 0 ? 0 : head + chunks;
    }
    const std::string length = headerValue(bytes, "Content-Length");
    if (length.empty() && bytes.substr(0, 5) == "HTTP/" && bytes.substr(9, 3) != "204")
        return 0;
    const std::size_t whole = head + number(length, 10);
    return bytes.size() < whole ? 0 : whole;
}

std::string bodyOf(std::string_view message)
{
    const std::size_t head = headLength(message);
    if (head == 0)
        return {};
    const std::string_view rest = message.substr(head);
    if (!isChunked(message))
        return std::string(rest);
    std::string body;
    walkChunks(rest, &body);
    return body;
}

} // namespace cuminrail
