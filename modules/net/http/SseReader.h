#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/** One whole server-sent event, as its bytes and what an instance reads of it. */
struct SseEvent
{
    /** All its lines and the empty one that ends it. */
    std::string_view bytes;
    /** The number of its "id:" line, if it has one. */
    std::optional<std::uint64_t> number;
    /** The value of its "data:" line. */
    std::string_view data;

    bool isDone() const { return data == "[DONE]"; }
};

/**
    Cuts a stream of server-sent events into whole events as bytes arrive.

    Only whole events go on to a caller. If the upstream breaks off within one, the stream can be
    resumed at the event's number, and the caller never sees half of it.
*/
class SseReader
{
public:
    /** An event longer than this is no sensible event. */
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    /** The hook is called for each whole event; its views live as long as the call. */
    explicit SseReader(std::function<void(const SseEvent &)> onEvent);

    /** Takes bytes as they came. Returns false when an event is too long. */
    bool feed(std::string_view bytes);

    /** Drops half an event, before the stream is resumed. */
    void restart() { partial_.clear(); }

    /** Returns true when bytes of an unfinished event are held. */
    bool hasPartial() const { return !partial_.empty(); }

private:
    std::size_t takeEvents(std::string_view bytes);
    void takeEvent(std::string_view bytes);

    std::function<void(const SseEvent &)> onEvent_;
    std::string partial_;
};

} // namespace cuminrail
