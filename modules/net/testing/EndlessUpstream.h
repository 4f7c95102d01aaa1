#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "net/testing/ScriptedUpstream.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace cuminrail::testing {

/** Which part of a response has no end. */
enum class EndlessPart : std::uint8_t {
    Head,
    HeadLine,
    InterimResponses,
    ChunkExtension,
    Trailers,
    ChunkedBody,
    CloseDelimitedBody,
    /** A body whose stated length is never reached. */
    LongBody,
    /** Server-sent comments and never an event. */
    Comments,
    SingleEvent,
    /** The same event again and again. */
    RepeatedEvent,
};

inline constexpr NameTable<EndlessPart, 11> endlessPartNames{{{
    {EndlessPart::Head, "head"},
    {EndlessPart::HeadLine, "head-line"},
    {EndlessPart::InterimResponses, "interim-responses"},
    {EndlessPart::ChunkExtension, "chunk-extension"},
    {EndlessPart::Trailers, "trailers"},
    {EndlessPart::ChunkedBody, "chunked-body"},
    {EndlessPart::CloseDelimitedBody, "close-delimited-body"},
    {EndlessPart::LongBody, "long-body"},
    {EndlessPart::Comments, "comments"},
    {EndlessPart::SingleEvent, "single-event"},
    {EndlessPart::RepeatedEvent, "repeated-event"},
}}};

enum class SendSpeed : std::uint8_t {
    Fast,
    /** A few bytes at a time. */
    Slow,
};

inline constexpr NameTable<SendSpeed, 2> sendSpeedNames{{{
    {SendSpeed::Fast, "fast"},
    {SendSpeed::Slow, "slow"},
}}};

/** Bytes that begin a response, and bytes that follow again and again. */
struct EndlessResponse
{
    std::string start;
    std::string repeated;
};

/** @param headers  header lines of the final response, each with its line end */
inline EndlessResponse endlessResponse(EndlessPart part, const std::string &headers)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (part) {
    case EndlessPart::Head:
        return {head, "X-More: more\r\n"};
    case EndlessPart::HeadLine:
        return {head + "X-More: ", "more"};
    case EndlessPart::InterimResponses:
        return {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case EndlessPart::ChunkExtension:
        return {chunked + "5;more=", "more"};
    case EndlessPart::Trailers:
        return {chunked + chunk("whole") + "0\r\n", "X-More: more\r\n"};
    case EndlessPart::ChunkedBody:
        return {chunked, chunk("more")};
    case EndlessPart::CloseDelimitedBody:
        return {head + "Connection: close\r\n\r\n", "more"};
    case EndlessPart::LongBody:
        return {head + "Content-Length: 1000000000000\r\n\r\n", "more"};
    case EndlessPart::Comments:
        return {chunked, chunk(": more\n\n")};
    case EndlessPart::SingleEvent:
        return {chunked + chunk("id: 1\ndata: "), chunk("more")};
    case EndlessPart::RepeatedEvent:
        return {chunked, chunk(event(1, "one"))};
    }
    return {};
}

/** How much of an endless response was sent, and for how long. */
struct EndlessRecord
{
    std::atomic<std::uint64_t> bytes{0};
    /** In milliseconds, until the other end closed; -1 while it has not. */
    std::atomic<std::int64_t> cutAfter{-1};
};

/** Sends until the other end closes, or until a time after which a test has failed. */
inline void sendEndlessly(TestSocket &socket, const EndlessResponse &response, SendSpeed speed,
                          EndlessRecord &record, Millis longest = Millis::seconds(6))
{
    constexpr std::size_t blockBytes = 64 * 1024;
    // Spares the memory of a test that fails.
    constexpr std::uint64_t maxFastBytes = 64 * 1024 * 1024;
    constexpr auto pause = std::chrono::milliseconds(20);
    const int bufferBytes = blockBytes;
    setsockopt(socket.handle(), SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
    std::string block = response.repeated;
    while (speed == SendSpeed::Fast && block.size() < blockBytes)
        block += response.repeated;
    const auto begun = std::chrono::steady_clock::now();
    const auto sinceBegun = [&begun] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - begun)
            .count();
    };
    bool isAccepted = socket.send(response.start);
    while (isAccepted && sinceBegun() < longest.count()) {
        isAccepted = socket.send(block);
        record.bytes += block.size();
        if (record.bytes > maxFastBytes)
            block = response.repeated;
        if (block.size() < blockBytes)
            std::this_thread::sleep_for(pause);
    }
    if (!isAccepted)
        record.cutAfter = sinceBegun();
}

} // namespace cuminrail::testing
