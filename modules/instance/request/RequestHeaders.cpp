#include "instance/request/RequestHeaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminrail {

namespace {

constexpr std::size_t maxIdempotencyKeyLength = 128;
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;

constexpr std::array<std::string_view, 14> reservedHeaders{
    "Authorization",  "Cookie",          "Cookie2",      "Host",
    "Content-Length", "X-Customer",      "X-Request-Id", "X-Priority",
    "X-Deadline-Ms",  "X-Api-Key",       "Api-Key",      "Forwarded",
    "X-Real-Ip",      "Idempotency-Key",
};

constexpr std::array<std::string_view, 3> reservedPrefixes{"X-Cuminrail-", "X-Forwarded-",
                                                           "Proxy-"};

/** Treats '_' as '-', because some servers treat "X_Customer" as "X-Customer". */
bool sameName(std::string_view left, std::string_view right)
{
    if (left.find('_') == std::string_view::npos)
        return sameHeaderName(left, right);
    std::string normalized(left);
    std::replace(normalized.begin(), normalized.end(), '_', '-');
    return sameHeaderName(normalized, right);
}

template<typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view other) { return sameName(name, other); });
}

bool hasReservedPrefix(std::string_view name)
{
    return std::any_of(
        reservedPrefixes.begin(), reservedPrefixes.end(), [&](std::string_view prefix) {
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
    CallerWishes options;
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
        options.deadline = Millis(value);
    }
    if (const std::string *text = head.find("X-Priority")) {
        options.priority = priorityNames.value(*text);
        if (!options.priority)
            return refuse(refusal, "X-Priority", "must be interactive, standard or batch");
    }
    if (const std::string *text = head.find("Idempotency-Key")) {
        if (text->empty() || text->size() > maxIdempotencyKeyLength || !isPrintable(*text))
            return refuse(refusal, "Idempotency-Key", "must be 1 to 128 printable characters");
        options.idempotencyKey = *text;
    }
    return options;
}

std::vector<HttpHeader> headersForService(const HttpHead &head)
{
    const std::vector<std::string> connectionHeaders = connectionHeaderNames(head);
    std::vector<HttpHeader> forwarded;
    for (const HttpHeader &header : head.headers) {
        const bool isDropped = isHopHeader(header.name, connectionHeaders)
            || contains(reservedHeaders, header.name) || hasReservedPrefix(header.name);
        if (!isDropped)
            forwarded.push_back(header);
    }
    return forwarded;
}

std::vector<HttpHeader> headersForCaller(const HttpHead &head)
{
    const std::vector<std::string> connectionHeaders = connectionHeaderNames(head);
    std::vector<HttpHeader> forwarded;
    for (const HttpHeader &header : head.headers) {
        const bool isDropped = isHopHeader(header.name, connectionHeaders)
            || hasReservedPrefix(header.name) || sameName(header.name, "Content-Length")
            || sameName(header.name, "X-Request-Id") || sameName(header.name, "X-Customer")
            || sameName(header.name, "X-Idempotent-Replay");
        if (!isDropped)
            forwarded.push_back(header);
    }
    return forwarded;
}

bool leaksKey(const HttpHead &head, std::string_view body, std::string_view key)
{
    const auto containsKey = [&](std::string_view text) {
        return text.find(key) != std::string_view::npos;
    };
    if (containsKey(head.target) || containsKey(body))
        return true;
    if (head.target.find('%') != std::string::npos && containsKey(percentDecoded(head.target)))
        return true;
    return std::any_of(head.headers.begin(), head.headers.end(), [&](const HttpHeader &header) {
        return !sameHeaderName(header.name, "Authorization")
            && (containsKey(header.value) || containsKey(header.name));
    });
}

} // namespace cuminrail
