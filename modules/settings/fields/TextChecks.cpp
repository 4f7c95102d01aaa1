#include "settings/fields/TextChecks.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace cuminrail::detail {

namespace {

constexpr std::size_t kMaxIdentifier = 64;
constexpr std::size_t kMaxVersion = 128;
constexpr std::size_t kMaxPath = 256;
constexpr std::size_t kMaxLabel = 200;
constexpr int kMaxPort = 65535;

bool isLower(char c)
{
    return c >= 'a' && c <= 'z';
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isAlnum(char c)
{
    return isLower(c) || isDigit(c) || (c >= 'A' && c <= 'Z');
}

template<typename Predicate>
bool consistsOf(std::string_view text, Predicate predicate)
{
    return std::all_of(text.begin(), text.end(), predicate);
}

std::optional<int> smallNumber(std::string_view text, int maximum)
{
    if (text.empty() || text.size() > 5 || !consistsOf(text, isDigit))
        return std::nullopt;
    if (text.size() > 1 && text[0] == '0')
        return std::nullopt;
    int number = 0;
    for (const char c : text)
        number = number * 10 + (c - '0');
    return number <= maximum ? std::optional<int>(number) : std::nullopt;
}

bool isIpv4(std::string_view text)
{
    int parts = 0;
    while (true) {
        const auto dot = text.find('.');
        if (!smallNumber(text.substr(0, dot), 255))
            return false;
        ++parts;
        if (dot == std::string_view::npos)
            return parts == 4;
        text.remove_prefix(dot + 1);
    }
}

bool isIpv6(std::string_view text)
{
    const auto isPart = [](char c) {
        return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F') || c == ':';
    };
    return text.size() >= 2 && text.size() <= 39 && consistsOf(text, isPart)
        && text.find(':') != std::string_view::npos;
}

bool isPathCharacter(char c)
{
    return isAlnum(c) || std::string_view("/-._~").find(c) != std::string_view::npos;
}

bool isPath(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxPath && text.front() == '/'
        && consistsOf(text, isPathCharacter) && text.find("//") == std::string_view::npos
        && text.find("/.") == std::string_view::npos;
}

bool isLeapYear(int year)
{
    return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
}

int daysIn(int year, int month)
{
    if (month == 2)
        return isLeapYear(year) ? 29 : 28;
    return month == 4 || month == 6 || month == 9 || month == 11 ? 30 : 31;
}

} // namespace

std::optional<std::string> checkIdentifier(const std::string &text)
{
    const auto isAllowed = [](char c) { return isLower(c) || isDigit(c) || c == '-'; };
    if (text.empty() || text.size() > kMaxIdentifier || !consistsOf(text, isAllowed))
        return "must be 1 to 64 lower-case letters, digits and '-'";
    return std::nullopt;
}

std::optional<std::string> checkVersion(const std::string &text)
{
    const auto isAllowed = [](char c) {
        return isAlnum(c) || std::string_view("._-").find(c) != std::string::npos;
    };
    if (text.empty() || text.size() > kMaxVersion || !consistsOf(text, isAllowed))
        return "must be 1 to 128 letters, digits, '.', '_' and '-'";
    return std::nullopt;
}

std::optional<std::string> checkAddress(const std::string &text)
{
    const std::string problem = "must be an IP number and a port, such as \"10.0.0.4:8000\"";
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return problem;
    const std::string_view host(text.data(), colon);
    const auto port = smallNumber(std::string_view(text).substr(colon + 1), kMaxPort);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const bool isHost = isBracketed ? isIpv6(host.substr(1, host.size() - 2)) : isIpv4(host);
    if (!isHost || !port || *port == 0)
        return problem;
    return std::nullopt;
}

std::optional<std::string> checkServicePrefix(const std::string &text)
{
    if (!isPath(text) || text.size() < 2 || text.back() != '/')
        return "must be a path that starts and ends with '/'";
    if (text.rfind("/v1/", 0) == 0)
        return "must not be below /v1/, where the models are";
    return std::nullopt;
}

std::optional<std::string> checkServicePath(const std::string &text)
{
    if (!isPath(text))
        return "must be a path that starts with '/'";
    return std::nullopt;
}

std::optional<std::string> checkMethod(const std::string &text)
{
    static constexpr std::string_view methods[] = {"GET", "HEAD",  "OPTIONS", "POST",
                                                   "PUT", "PATCH", "DELETE"};
    if (std::find(std::begin(methods), std::end(methods), text) == std::end(methods))
        return "must be GET, HEAD, OPTIONS, POST, PUT, PATCH or DELETE";
    return std::nullopt;
}

std::optional<std::string> checkSha256(const std::string &text)
{
    const auto isHex = [](char c) { return isDigit(c) || (c >= 'a' && c <= 'f'); };
    if (text.size() != 64 || !consistsOf(text, isHex))
        return "must be 64 lower-case hexadecimal digits";
    return std::nullopt;
}

std::optional<std::string> checkDate(const std::string &text)
{
    const std::string problem = "must be a day such as \"2026-12-24\"";
    if (text.size() != 10 || text[4] != '-' || text[7] != '-')
        return problem;
    const std::string digits = text.substr(0, 4) + text.substr(5, 2) + text.substr(8, 2);
    if (!consistsOf(digits, isDigit))
        return problem;
    const int year = std::stoi(digits.substr(0, 4));
    const int month = std::stoi(digits.substr(4, 2));
    const int day = std::stoi(digits.substr(6, 2));
    if (month < 1 || month > 12 || day < 1 || day > daysIn(year, month))
        return problem;
    return std::nullopt;
}

std::optional<std::string> checkLabel(const std::string &text)
{
    const auto isPrintable = [](char c) { return static_cast<unsigned char>(c) >= 0x20; };
    if (text.size() > kMaxLabel || !consistsOf(text, isPrintable))
        return "must be at most 200 printable characters";
    return std::nullopt;
}

} // namespace cuminrail::detail
