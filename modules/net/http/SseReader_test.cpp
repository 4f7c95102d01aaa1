#include "net/http/SseReader.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace cuminrail;

namespace {

/** Returns the data of the events in these bytes, each followed by a bar. */
std::string eventsIn(std::string_view bytes)
{
    std::string found;
    SseReader reader([&found](const SseEvent &event) { found += std::string(event.data) + "|"; });
    reader.feed(bytes);
    return found;
}

} // namespace

// Guards against comments that count as events, so that a stream seems to make progress.
TEST_CASE("a block is an event if it has data or a number")
{
    struct Row
    {
        const char *bytes;
        const char *events;
    };
    for (const Row &row : {
             Row{"id: 1\ndata: a\n\ndata: b\n\n", "a|b|"},
             Row{"id: 1\r\ndata: a\r\n\r\n", "a|"},
             Row{"id: 1\n\n", "|"},
             Row{"data:\n\n", "|"},
             Row{": comment\n\n", ""},
             Row{":\n\n:\n\ndata: a\n\n", "a|"},
             Row{": comment\ndata: a\n\n", "a|"},
             Row{"retry: 10\n\n", ""},
             Row{"\n\n\n\n", ""},
             Row{"data: a\n", ""},
         }) {
        CAPTURE(std::string(row.bytes));
        CHECK(eventsIn(row.bytes) == row.events);
    }
}

// Guards against readers that accept bytes forever without an event.
TEST_CASE("only so many bytes are accepted without an event")
{
    struct Row
    {
        const char *start;
        const char *repeated;
        bool isAccepted;
    };
    for (const Row &row : {
             Row{"", "data: a\n\n", true},
             Row{"", "data: a\n\n: comment\n\n", true},
             Row{"", ": comment\n\n", false},
             Row{"", ": comment\n", false},
             Row{"data: ", "more", false},
             Row{"", "id: 1\n\n", false},
             Row{"", "id: 1\ndata: a\n\n", false},
             Row{"id: 2\n\n", "id: 1\ndata: a\n\n", false},
             Row{"", "id: 1\ndata: a\n\ndata: b\n\n", true},
         }) {
        CAPTURE(std::string(row.repeated));
        SseReader reader([](const SseEvent &) {});
        std::string block;
        while (block.size() < 64 * 1024)
            block += row.repeated;
        bool isAccepted = reader.feed(row.start);
        for (std::size_t fed = 0; isAccepted && fed < 2 * SseReader::maxEventBytes;
             fed += block.size())
            isAccepted = reader.feed(block);
        CHECK(isAccepted == row.isAccepted);
    }
}

// Guards against readers that look through all of a long event again for each of its parts.
TEST_CASE("a long event in small parts is read in time proportional to its length")
{
    std::size_t length = 0;
    SseReader reader([&length](const SseEvent &event) { length = event.data.size(); });
    constexpr std::size_t parts = SseReader::maxEventBytes / 4 - 16;
    reader.feed("data: ");
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < parts; ++i)
        reader.feed("more");
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    reader.feed("\r");
    reader.feed("\n\r");
    reader.feed("\n");
    CHECK(length == parts * 4);
    CHECK(took.count() < 2);
}

// Guards against readers that look through the rest of what has arrived again for each event.
TEST_CASE("many events at once are read in time proportional to their length")
{
    for (const std::string end : {"\n\n", "\r\n\r\n"}) {
        CAPTURE(end);
        constexpr std::size_t count = 200000;
        std::string block;
        for (std::size_t i = 0; i < count; ++i)
            block += "id: " + std::to_string(i) + end;
        std::size_t events = 0;
        SseReader reader([&events](const SseEvent &) { ++events; });
        const auto begun = std::chrono::steady_clock::now();
        CHECK(reader.feed(block));
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
        CHECK(events == count);
        CHECK(took.count() < 2);
    }
}

// Guards against events that the caller gets twice, and against a resumed stream that is dropped.
TEST_CASE("an event whose number does not rise is dropped, until the stream is resumed")
{
    std::string found;
    SseReader reader([&found](const SseEvent &event) { found += std::string(event.data) + "|"; });
    reader.feed("id: 2\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: c\n\ndata: d\n\n");
    CHECK(found == "a|d|");
    reader.discardPartial();
    reader.feed("id: 1\ndata: e\n\nid: 2\ndata: f\n\nid: 4\ndata: g\n\n");
    CHECK(found == "a|d|e|f|g|");
}
