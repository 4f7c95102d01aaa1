#include "net/http/EmbeddedHead.h"

#include "net/http/HttpHead.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** What a status line begins with, whatever its minor version. */
constexpr std::string_view statusLineStart = "HTTP/1.";
/** "HTTP/1.1 200" */
constexpr std::size_t statusLineBytes = 12;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/** Returns where a status line begins or, at the end of the bytes, may begin; npos if nowhere. */
std::size_t findStart(std::string_view bytes, std::size_t from)
{
    for (auto at = bytes.find(statusLineStart.front(), from); at != std::string_view::npos;
         at = bytes.find(statusLineStart.front(), at + 1)) {
        const std::string_view here = bytes.substr(at, statusLineStart.size());
        if (here == statusLineStart.substr(0, here.size()))
            return at;
    }
    return std::string_view::npos;
}

bool isStatusLine(std::string_view line)
{
    return line.size() >= statusLineBytes && isDigit(line[7]) && line[8] == ' '
        && std::all_of(line.begin() + 9, line.begin() + statusLineBytes, isDigit);
}

std::string_view withoutBlanks(std::string_view text)
{
    const auto isBlank = [](char character) { return character == ' ' || character == '\t'; };
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

/** Takes the first line with its line end off the bytes; nothing without a line end. */
bool takeLine(std::string_view &bytes, std::string_view &line)
{
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos)
        return false;
    line = bytes.substr(0, end);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    bytes.remove_prefix(end + 1);
    return true;
}

} // namespace

EmbeddedHead::EmbeddedHead(std::string identityHeader,
                           std::function<bool(std::string_view)> isKnown)
    : identityHeader_(std::move(identityHeader)), isKnown_(std::move(isKnown))
{ }

bool EmbeddedHead::feed(std::string_view bytes)
{
    if (pending_.empty()) {
        const auto start = findStart(bytes, 0);
        if (start == std::string_view::npos)
            return false;
        bytes.remove_prefix(start);
    }
    pending_.append(bytes);
    while (!pending_.empty()) {
        const Match result = match();
        if (result == Match::Found)
            return true;
        if (result == Match::Incomplete && pending_.size() <= maxHeadBytes)
            return false;
        dropUntilNextStart(1);
    }
    return false;
}

bool EmbeddedHead::endsInHead() const
{
    return isStatusLine(pending_);
}

EmbeddedHead::Behind EmbeddedHead::examineBehind(std::string_view bytes) const
{
    if (hasBareHead_)
        return bytes.empty() ? Behind::Unknown : Behind::Head;
    const std::string joined = pending_ + std::string(bytes);
    Behind result = Behind::NoHead;
    for (auto at = findStart(joined, 0); at < pending_.size(); at = findStart(joined, at + 1)) {
        const std::string_view here = std::string_view(joined).substr(at);
        if (isStatusLine(here))
            return bytes.empty() ? Behind::Unknown : Behind::Head;
        if (here.size() < statusLineBytes)
            result = Behind::Unknown;
    }
    return result;
}

EmbeddedHead::Match EmbeddedHead::match()
{
    std::string_view rest = pending_;
    std::string_view line;
    if (!takeLine(rest, line)) {
        const bool canBeStatusLine = pending_.size() < statusLineBytes || isStatusLine(pending_);
        return canBeStatusLine ? Match::Incomplete : Match::None;
    }
    return isStatusLine(line) ? matchFields(rest) : Match::None;
}

EmbeddedHead::Match EmbeddedHead::matchFields(std::string_view lines)
{
    std::string_view line;
    bool isBare = true;
    while (takeLine(lines, line)) {
        hasBareHead_ = hasBareHead_ || (line.empty() && isBare);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return Match::None;
        if (!sameHeaderName(line.substr(0, colon), identityHeader_))
            continue;
        if (isKnownIdentity(line.substr(colon + 1)))
            return Match::Found;
        isBare = false;
    }
    return Match::Incomplete;
}

bool EmbeddedHead::isKnownIdentity(std::string_view text)
{
    const std::string_view value = withoutBlanks(text);
    if (!isKnown_(value))
        return false;
    identity_ = value;
    return true;
}

void EmbeddedHead::dropUntilNextStart(std::size_t from)
{
    const auto next = findStart(pending_, from);
    pending_.erase(0, std::min(next, pending_.size()));
}

} // namespace cuminrail
