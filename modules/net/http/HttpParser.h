#pragma once

#include "core/errors/Reason.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cuminrail {

/** Why received bytes are not an acceptable message. */
enum class HttpProblemKind : std::uint8_t {
    Malformed,
    /** The head allows more than one reading of where the body ends, as in request smuggling. */
    AmbiguousLength,
    HeadTooLarge,
    BodyTooLarge,
    /** Chunk sizes, extensions and trailers that a body of its length does not need. */
    FramingTooLarge,
    /** The connection ended before the message did. */
    Truncated,
    /** A response that only the end of the connection delimits. */
    CloseDelimited,
};

struct HttpProblem
{
    HttpProblemKind kind = HttpProblemKind::Malformed;
    Reason reason;
};

/** Maximum size of a message, in bytes. */
struct HttpLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    /**
        Chunk sizes, extensions and trailers together, in addition to framingPerBodyByte for each
        byte of the body. That is enough for any body in chunks of one byte without extensions.
    */
    std::uint32_t framingBytes = 16 * 1024;
    static constexpr std::uint64_t framingPerBodyByte = 16;
};

/**
    Parses one HTTP/1.1 message incrementally, on top of Boost.Beast's parser.

    Stricter than Beast where two parsers of the same bytes could disagree: rejects repeated or
    combined length headers, transfer codings other than one "chunked", responses without a length,
    status codes outside of 100 to 599, and header lines that begin with a blank, as RFC 9112,
    section 5.2 allows. Trailers are dropped: nothing that was decided by the head may be changed
    after it.
*/
class HttpParser
{
public:
    enum class Kind : std::uint8_t { Request, Response };
    using BodyHook = std::function<void(std::string_view)>;

    /** The hook receives the body's bytes without their framing as they are parsed. */
    HttpParser(Kind kind, const HttpLimits &limits, BodyHook onBody);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /**
        Parses as much as possible and returns the number of bytes consumed; pass the rest again
        together with more. Returns after the head, so that it can be checked before any of the
        body is parsed.
    */
    std::size_t feed(std::string_view bytes);
    /** Returns about how much memory the head takes, also while it is not whole. */
    std::size_t headMemoryBytes() const;
    /** Returns how many bytes of the body were parsed. */
    std::uint64_t bodyBytes() const { return bodyBytes_; }

    /** Call for a response to HEAD, which has no body whatever its headers say. */
    void expectNoBody();
    /** Accepts responses delimited only by an orderly connection close. @see handleEof */
    void allowCloseDelimited() { isCloseDelimitedAllowed_ = true; }
    /** Handles an orderly end of the connection: completes a close-delimited response. */
    void handleEof();

    bool isHeadDone() const;
    /** Returns true when the message is complete. */
    bool isDone() const;
    /** Returns true when the message has a body that is not fully parsed yet. */
    bool isBodyExpected() const { return isHeadDone() && !isDone(); }
    /** Returns whether the head lets the connection go on after the message. */
    bool isKeepAlive() const { return isKeepAlive_; }
    /** Returns the body's length if the head states it. */
    std::optional<std::uint64_t> contentLength() const;
    const std::optional<HttpProblem> &problem() const;

    HttpHead &head();
    const HttpHead &head() const;

private:
    class Impl;
    template<bool IsRequest>
    class BeastImpl;

    /** Whether a body's first chunk has not arrived as far as it can be parsed. */
    bool mustWaitForChunk(std::size_t available) const;
    void checkHead();
    /** Reports a problem if the framing, with bytes that cannot be parsed yet, is too long. */
    void checkFraming(std::size_t unparsed);

    std::unique_ptr<Impl> impl_;
    HttpLimits limits_;
    /** Length of the part of the head that was parsed. */
    std::size_t headBytes_ = 0;
    std::uint64_t bodyBytes_ = 0;
    /** Bytes consumed after the head that are not the body's. */
    std::uint64_t framingBytes_ = 0;
    bool isKeepAlive_ = false;
    bool isCloseDelimitedAllowed_ = false;
};

} // namespace cuminrail
