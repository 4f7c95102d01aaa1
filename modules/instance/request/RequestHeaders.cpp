#include "instance/request/RequestHeaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminrail {

namespace {

constexpr std::size_t maxIdempotencyKey = 128;
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;

constexpr std::array<std::string_view, 14> ownOrSecret{
    "Authorization",  "Cookie",          "Cookie2",      "Host",
    "Content-Length", "X-Customer",      "X-Request-Id", "X-Priority",
    "X-Deadline-Ms",  "X-Api-Key",       "Api-Key",      "Forwarded",
    "X-Real-Ip",      "Idempotency-Key",
};

constexpr std::array<std::string_view, 3> ownPrefixes{"X-Cuminrail-", "X-Forwarded-", "Proxy-"};

/** Some servers take "X_Customer" for "X-Customer"; so both count as the same name here. */
bool sameName(std::string_view left, std::string_view right)
{
    if (left.find('_') == std::string_view::npos)
        return sameHeaderName(left, right);
    std::string dashed(left);
    std::replace(dashed.begin(), dashed.end(), '_', '-');
    return sameHeaderName(dashed, right);
}

template<typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view other) { return sameName(name, other); });
}

bool hasOwnPrefix(std::string_view name)
{
    return std::any_of(ownPrefixes.begin(), ownPrefixes.end(), [&](std::string_view prefix) {
        return name.size() >= prefix.size() && sameName(name.substr(0, prefix.size()), prefix);
    });
}

std::string percentDecoded(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const char *const digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
            out += static_cast<char>(byte);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::nullopt_t refuse(Refusal *refusal, std::string_view header, std::string message)
{
    refusal->code = ErrorCode::InvalidRequest;
    refusal->param = header;
    refusal->message = std::string(header) + " " + std::move(message);
    return std::nullopt;
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
}

} // namespace

std::optional<CallerWishes> readCallerWishes(const HttpHead &head, Refusal *refusal)
{
    CallerWishes wishes;
    for (const std::string_view name : {"X-Deadline-Ms", "X-Priority", "Idempotency-Key"}) {
        if (head.count(name) > 1)
            return refuse(refusal, name, "is given twice");
    }
    if (const std::string *text = head.find("X-Deadline-Ms")) {
        std::int64_t value = 0;
        const char *const end = text->data() + text->size();
        const auto parsed = std::from_chars(text->data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0 || value > maxDeadlineMs)
            return refuse(refusal, "X-Deadline-Ms", "must be 1 to 86400000 milliseconds");
        wishes.deadline = Millis(value);
    }
    if (const std::string *text = head.find("X-Priority")) {
        wishes.priority = priorityNames.value(*text);
        if (!wishes.priority)
            return refuse(refusal, "X-Priority", "must be interactive, standard or batch");
    }
    if (const std::string *text = head.find("Idempotency-Key")) {
        if (text->empty() || text->size() > maxIdempotencyKey || !isPrintable(*text))
            return refuse(refusal, "Idempotency-Key", "must be 1 to 128 printable characters");
        wishes.idempotencyKey = *text;
    }
    return wishes;
}

std::vector<HttpHeader> headersForService(const HttpHead &head)
{
    const std::vector<std::string> named = connectionHeaderNames(head);
    std::vector<HttpHeader> passed;
    for (const HttpHeader &header : head.headers) {
        const bool isKept = isHopHeader(header.name, named) || contains(ownOrSecret, header.name)
            || hasOwnPrefix(header.name);
        if (!isKept)
            passed.push_back(header);
    }
    return passed;
}

std::vector<HttpHeader> headersForCaller(const HttpHead &head)
{
    const std::vector<std::string> named = connectionHeaderNames(head);
    std::vector<HttpHeader> passed;
    for (const HttpHeader &header : head.headers) {
        const bool isKept = isHopHeader(header.name, named) || hasOwnPrefix(header.name)
            || sameName(header.name, "Content-Length") || sameName(header.name, "X-Request-Id")
            || sameName(header.name, "X-Customer") || sameName(header.name, "X-Idempotent-Replay");
        if (!isKept)
            passed.push_back(header);
    }
    return passed;
}

bool leaksKey(const HttpHead &head, std::string_view body, std::string_view key)
{
    const auto holds = [&](std::string_view text) {
        return text.find(key) != std::string_view::npos;
    };
    if (holds(head.target) || holds(body))
        return true;
    if (head.target.find('%') != std::string::npos && holds(percentDecoded(head.target)))
        return true;
    return std::any_of(head.headers.begin(), head.headers.end(), [&](const HttpHeader &header) {
        return !sameHeaderName(header.name, "Authorization")
            && (holds(header.value) || holds(header.name));
    });
}

} // namespace cuminrail
