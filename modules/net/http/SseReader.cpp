#include "net/http/SseReader.h"

#include <algorithm>
#include <charconv>

namespace cuminrail {

namespace {

/** The longest bytes that end an event: "\r\n\r\n". */
constexpr std::size_t maxEventEnd = 4;

/** Returns the length of the first complete event, or 0. */
std::size_t firstEventLength(std::string_view bytes)
{
    for (auto at = bytes.find('\n'); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        const std::string_view behind = bytes.substr(at + 1);
        if (behind.substr(0, 1) == "\n")
            return at + 2;
        if (at > 0 && bytes[at - 1] == '\r' && behind.substr(0, 2) == "\r\n")
            return at + 3;
    }
    return 0;
}

std::optional<std::string_view> valueOf(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || line.substr(0, name.size()) != name
        || line[name.size()] != ':')
        return std::nullopt;
    std::string_view value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

} // namespace

SseReader::SseReader(std::function<void(const SseEvent &)> onEvent) : onEvent_(std::move(onEvent))
{ }

bool SseReader::feed(std::string_view bytes)
{
    if (partial_.empty()) {
        const std::size_t used = parseEvents(bytes);
        partial_.assign(bytes.substr(used));
    } else {
        // Only the new bytes are searched, with those before them that may belong to an event's
        // end: an event may arrive in very many parts.
        const std::size_t searched = partial_.size() - std::min(partial_.size(), maxEventEnd);
        partial_.append(bytes);
        if (firstEventLength(std::string_view(partial_).substr(searched)) == 0)
            return isWithinLimit();
        const std::string joined = std::move(partial_);
        partial_.clear();
        const std::size_t used = parseEvents(joined);
        partial_.assign(joined, used, std::string::npos);
    }
    return isWithinLimit();
}

std::size_t SseReader::parseEvents(std::string_view bytes)
{
    std::size_t used = 0;
    for (;;) {
        const std::size_t length = firstEventLength(bytes.substr(used));
        if (length == 0)
            return used;
        parseEvent(bytes.substr(used, length));
        used += length;
    }
}

void SseReader::parseEvent(std::string_view bytes)
{
    SseEvent event;
    event.bytes = bytes;
    bool hasData = false;
    std::size_t begin = 0;
    while (begin < bytes.size()) {
        const auto end = bytes.find('\n', begin);
        std::string_view line = bytes.substr(begin, end - begin);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (const auto data = valueOf(line, "data")) {
            event.data = *data;
            hasData = true;
        }
        if (const auto id = valueOf(line, "id")) {
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(id->data(), id->data() + id->size(), number);
            if (parsed.ptr == id->data() + id->size() && !id->empty())
                event.number = number;
        }
        begin = end + 1;
    }
    const bool isRepeated = event.number && lastNumber_ && *event.number <= *lastNumber_;
    if (isRepeated || (!hasData && !event.number)) {
        eventlessBytes_ += bytes.size();
        return;
    }
    eventlessBytes_ = 0;
    if (event.number)
        lastNumber_ = event.number;
    onEvent_(event);
}

} // namespace cuminrail
