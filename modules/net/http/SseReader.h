#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/** One complete server-sent event: its bytes and the fields that an instance evaluates. */
struct SseEvent
{
    /** All its lines, including the empty line at the end. */
    std::string_view bytes;
    /** The number in its "id:" line, if any. */
    std::optional<std::uint64_t> number;
    /** The value of its "data:" line. */
    std::string_view data;

    bool isDone() const { return data == "[DONE]"; }
};

/**
    Splits a byte stream into complete server-sent events.

    Blocks with neither data nor a number, such as comments, are dropped, and so are events whose
    number is not higher than the one before.

    Only complete events are forwarded to a caller. If the upstream's connection breaks within an
    event, the stream can be resumed at that event's number, and the caller never sees a partial
    event.
*/
class SseReader
{
public:
    /** Maximum size of an event; a longer one is an error. */
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    /** The hook is called for each complete event; its views are valid during the call only. */
    explicit SseReader(std::function<void(const SseEvent &)> onEvent);

    /**
        Parses received bytes. Returns false when more than maxEventBytes came without a new event:
        a longer one, comments, or events that repeat.
    */
    bool feed(std::string_view bytes);

    /** Discards an incomplete event before the stream is resumed, which may begin anew. */
    void discardPartial()
    {
        partial_.clear();
        eventlessBytes_ = 0;
        lastNumber_.reset();
    }

    /** Returns true when bytes of an incomplete event are buffered. */
    bool hasPartial() const { return !partial_.empty(); }
    /** Returns how much memory an incomplete event takes. */
    std::size_t partialBytes() const { return partial_.capacity(); }

private:
    std::size_t parseEvents(std::string_view bytes);
    void parseEvent(std::string_view bytes);
    bool isWithinLimit() const { return eventlessBytes_ + partial_.size() <= maxEventBytes; }

    std::function<void(const SseEvent &)> onEvent_;
    std::string partial_;
    /** Bytes of comments, repeated events and the like since the last event. */
    std::size_t eventlessBytes_ = 0;
    std::optional<std::uint64_t> lastNumber_;
};

} // namespace cuminrail
