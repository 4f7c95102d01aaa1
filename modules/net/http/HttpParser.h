#pragma once

#include "core/errors/Reason.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cuminrail {

/** Why bytes are not an acceptable message. */
enum class HttpProblemKind : std::uint8_t {
    Malformed,
    /** More than one reading of where the body ends: what request smuggling lives on. */
    AmbiguousLength,
    HeadTooLarge,
    BodyTooLarge,
    /** The bytes ended before the message did. */
    Truncated,
    /** An answer whose end is marked by nothing but the connection's end. */
    Unframed,
};

struct HttpProblem
{
    HttpProblemKind kind = HttpProblemKind::Malformed;
    Reason lastReason;
};

/** How large a message may be, in bytes. */
struct HttpLimits
{
    std::uint32_t headBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
};

/**
    Reads one HTTP/1.1 message from bytes as they arrive, over Boost.Beast's parser.

    Stricter than Beast where two readers of the same bytes could disagree: repeated or combined
    length headers, transfer codings other than one "chunked", and answers without a length.
*/
class HttpParser
{
public:
    enum class Kind : std::uint8_t { Request, Response };
    using BodyHook = std::function<void(std::string_view)>;

    /** The hook gets the body's bytes, without their framing, as they are parsed. */
    HttpParser(Kind kind, const HttpLimits &limits, BodyHook onBody);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /**
        Parses what it can and returns how many bytes it used up; give the rest again with more.
        Returns after the head so that it can be judged before any of the body is parsed.
    */
    std::size_t feed(std::string_view bytes);

    /** An answer to HEAD has no body, whatever its headers say. */
    void expectNoBody();
    /** Takes answers whose end is marked by the connection's orderly end alone. @see finish */
    void allowEndByClose() { isEndByCloseAllowed_ = true; }
    /** The connection has ended in order: completes an answer that ends so. */
    void finish();

    bool isHeadDone() const;
    /** Returns true when the message is whole. */
    bool isDone() const;
    /** Returns true when the message has a body that is not wholly parsed yet. */
    bool isBodyExpected() const { return isHeadDone() && !isDone(); }
    bool isKeepAlive() const;
    /** Returns the body's length if the head says it. */
    std::optional<std::uint64_t> contentLength() const;
    const std::optional<HttpProblem> &problem() const;

    HttpHead &head();
    const HttpHead &head() const;

private:
    class Impl;
    template<bool IsRequest>
    class BeastImpl;
    std::unique_ptr<Impl> impl_;
    bool isEndByCloseAllowed_ = false;
};

} // namespace cuminrail
