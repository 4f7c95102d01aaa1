#include "net/http/HopHeaders.h"

#include <algorithm>
#include <array>

namespace cuminrail {

namespace {

constexpr std::array<std::string_view, 9> hopByHop{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
    "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",
    "Expect"};

} // namespace

std::vector<std::string> connectionHeaderNames(const HttpHead &head)
{
    std::vector<std::string> names;
    for (const HttpHeader &header : head.headers) {
        if (!sameHeaderName(header.name, "Connection"))
            continue;
        std::string name;
        for (const char c : header.value + ",") {
            if (c == ',') {
                names.push_back(std::move(name));
                name.clear();
            } else if (c != ' ' && c != '\t') {
                name += c;
            }
        }
    }
    return names;
}

bool isHopHeader(std::string_view name, const std::vector<std::string> &named)
{
    const auto isSame = [name](std::string_view other) { return sameHeaderName(name, other); };
    return std::any_of(hopByHop.begin(), hopByHop.end(), isSame)
        || std::any_of(named.begin(), named.end(), isSame);
}

void appendHeader(std::string &wire, std::string_view name, std::string_view value)
{
    wire += name;
    wire += ": ";
    wire += value;
    wire += "\r\n";
}

} // namespace cuminrail
