#include "core/json/JsonText.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr std::string_view blanks = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/** Returns the position after a string that begins at a quote; the text's size if it has no end. */
std::size_t afterString(std::string_view text, std::size_t quote)
{
    std::size_t at = quote + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return std::min(at + 1, text.size());
}

std::string_view unquoted(std::string_view text)
{
    const bool isQuoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    return isQuoted ? text.substr(1, text.size() - 2) : text;
}

bool isOpening(char c)
{
    return c == '{' || c == '[';
}

bool isClosing(char c)
{
    return c == '}' || c == ']';
}

} // namespace

std::size_t jsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    for (std::size_t at = 0; at < text.size();) {
        if (text[at] == '"') {
            at = afterString(text, at);
            continue;
        }
        if (isOpening(text[at]))
            deepest = std::max(deepest, ++depth);
        else if (isClosing(text[at]) && depth > 0)
            --depth;
        ++at;
    }
    return deepest;
}

std::optional<std::vector<JsonSlice>> splitJson(std::string_view text)
{
    text = trimmed(text);
    if (text.size() < 2 || !isOpening(text.front()))
        return std::nullopt;
    const bool hasNames = text.front() == '{';
    std::vector<JsonSlice> slices;
    std::string_view name;
    bool isNamed = !hasNames;
    std::size_t depth = 1;
    std::size_t begin = 1;
    for (std::size_t at = 1; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            at = afterString(text, at);
            continue;
        }
        depth += isOpening(c) ? 1 : 0;
        depth -= isClosing(c) ? 1 : 0;
        const std::string_view value = trimmed(text.substr(begin, at - begin));
        if (depth == 1 && c == ':' && !isNamed) {
            name = unquoted(value);
            isNamed = true;
            begin = at + 1;
        } else if (depth == 0 || (depth == 1 && c == ',')) {
            if (!value.empty() && isNamed)
                slices.push_back({name, value});
            isNamed = !hasNames;
            begin = at + 1;
        }
        ++at;
        if (depth == 0)
            return at == text.size() ? std::optional(std::move(slices)) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace cuminrail
