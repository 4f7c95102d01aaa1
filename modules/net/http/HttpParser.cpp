#include "net/http/HttpParser.h"

#include "core/http/HttpStatus.h"

#include <boost/beast/http/basic_parser.hpp>

namespace cuminrail {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using BeastString = boost::beast::string_view;

/** Common interface of Beast's request and response parsers. */
class HttpParser::Impl
{
public:
    virtual ~Impl() = default;
    virtual std::size_t put(std::string_view bytes, ErrorCode &error) = 0;
    virtual bool isHeadDone() const = 0;
    virtual bool isDone() const = 0;
    virtual bool isKeepAlive() const = 0;
    virtual bool isCloseDelimited() const = 0;
    virtual void skipBody() = 0;
    virtual void putEof(ErrorCode &error) = 0;
    virtual void parseBodyEagerly() = 0;
    virtual bool isChunked() const = 0;
    virtual std::optional<std::uint64_t> contentLength() const = 0;

    HttpHead head;
    HttpParser::BodyHook onBody;
    std::optional<HttpProblem> problem;
    bool isHeadChecked = false;
};

template<bool IsRequest>
class HttpParser::BeastImpl final : public HttpParser::Impl, private http::basic_parser<IsRequest>
{
public:
    explicit BeastImpl(const HttpLimits &limits)
    {
        this->header_limit(limits.headBytes);
        this->body_limit(limits.bodyBytes);
    }

    std::size_t put(std::string_view bytes, ErrorCode &error) override
    {
        return Parser::put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    }
    bool isHeadDone() const override { return this->is_header_done(); }
    bool isDone() const override { return this->is_done(); }
    bool isKeepAlive() const override { return this->keep_alive(); }
    bool isCloseDelimited() const override { return this->need_eof() && !this->is_done(); }
    void skipBody() override { this->skip(true); }
    void putEof(ErrorCode &error) override { this->put_eof(error); }
    void parseBodyEagerly() override { this->eager(true); }
    bool isChunked() const override { return this->chunked(); }
    std::optional<std::uint64_t> contentLength() const override
    {
        const auto length = this->content_length();
        return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }

private:
    using Parser = http::basic_parser<IsRequest>;

    // NOLINTBEGIN(readability-identifier-naming): the names are Beast's.
    void on_request_impl(http::verb, BeastString method, BeastString target, int version,
                         ErrorCode &) override
    {
        head.method.assign(method.data(), method.size());
        head.target.assign(target.data(), target.size());
        head.version = version;
    }
    void on_response_impl(int status, BeastString, int version, ErrorCode &error) override
    {
        // Beast takes any three digits. Others than these have no meaning that could be passed on.
        if (!isHttpStatus(static_cast<std::uint64_t>(status)))
            error = http::error::bad_status;
        head.status = status;
        head.version = version;
    }
    void on_field_impl(http::field, BeastString name, BeastString value, ErrorCode &) override
    {
        // Beast reports trailers as fields, too.
        if (isHeadChecked)
            return;
        head.headers.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    void on_header_impl(ErrorCode &) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override { }
    std::size_t on_body_impl(BeastString body, ErrorCode &) override
    {
        onBody({body.data(), body.size()});
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, BeastString, ErrorCode &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, BeastString body, ErrorCode &) override
    {
        onBody({body.data(), body.size()});
        return body.size();
    }
    void on_finish_impl(ErrorCode &) override { }
    // NOLINTEND(readability-identifier-naming)
};

namespace {

HttpProblemKind problemKind(const ErrorCode &error)
{
    if (error == http::error::header_limit)
        return HttpProblemKind::HeadTooLarge;
    if (error == http::error::body_limit)
        return HttpProblemKind::BodyTooLarge;
    if (error == http::error::bad_content_length || error == http::error::bad_transfer_encoding)
        return HttpProblemKind::AmbiguousLength;
    return HttpProblemKind::Malformed;
}

/** Returns true if a line of a head continues the one before it, which Beast consumes together. */
bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos
        || head.find("\n\t") != std::string_view::npos;
}

/** Returns a problem if two parsers could derive different body lengths from this head. */
std::optional<HttpProblem> lengthProblem(const HttpHead &head)
{
    const std::size_t lengths = head.count("Content-Length");
    const std::size_t codings = head.count("Transfer-Encoding");
    if (lengths > 1 || codings > 1 || lengths + codings > 1)
        return HttpProblem{HttpProblemKind::AmbiguousLength,
                           {"Content-Length", "body length stated more than once"}};
    if (lengths == 1 && head.find("Content-Length")->find(',') != std::string::npos)
        return HttpProblem{HttpProblemKind::AmbiguousLength,
                           {"Content-Length", "must be one number, not a list"}};
    if (codings == 1 && !sameHeaderName(*head.find("Transfer-Encoding"), "chunked"))
        return HttpProblem{HttpProblemKind::AmbiguousLength,
                           {"Transfer-Encoding", "only \"chunked\" is supported"}};
    if (codings == 1 && head.version < 11)
        return HttpProblem{HttpProblemKind::AmbiguousLength,
                           {"Transfer-Encoding", "not allowed in HTTP/1.0"}};
    return std::nullopt;
}

} // namespace

HttpParser::HttpParser(Kind kind, const HttpLimits &limits, BodyHook onBody) : limits_(limits)
{
    if (kind == Kind::Request)
        impl_ = std::make_unique<BeastImpl<true>>(limits);
    else
        impl_ = std::make_unique<BeastImpl<false>>(limits);
    impl_->onBody = [this, hook = std::move(onBody)](std::string_view data) {
        bodyBytes_ += data.size();
        hook(data);
    };
}

HttpParser::~HttpParser() = default;

std::size_t HttpParser::feed(std::string_view bytes)
{
    const std::uint64_t bodyBefore = bodyBytes_;
    const bool isBody = impl_->isHeadChecked;
    if (isBody && mustWaitForChunk(bytes.size()))
        return 0;
    std::size_t used = 0;
    while (used < bytes.size() && !isDone() && !impl_->problem) {
        ErrorCode error;
        const std::size_t consumed = impl_->put(bytes.substr(used), error);
        if (!impl_->isHeadChecked && hasFoldedLine(bytes.substr(used, consumed))) {
            impl_->problem =
                HttpProblem{HttpProblemKind::Malformed, {"header", "a line begins with a blank"}};
            break;
        }
        used += consumed;
        headBytes_ += impl_->isHeadChecked ? 0 : consumed;
        if (error == http::error::need_more)
            break;
        if (error) {
            impl_->problem = HttpProblem{problemKind(error), {"message", error.message()}};
            break;
        }
        if (isHeadDone() && !impl_->isHeadChecked) {
            checkHead();
            break;
        }
    }
    if (isBody) {
        framingBytes_ += used - (bodyBytes_ - bodyBefore);
        checkFraming(isDone() ? 0 : bytes.size() - used);
    }
    return used;
}

bool HttpParser::mustWaitForChunk(std::size_t available) const
{
    // Beast ends the process by an assertion if it is called again with less after "0\r\n".
    constexpr std::size_t shortestChunks = std::string_view("0\r\n\r\n").size();
    return impl_->isChunked() && framingBytes_ == 0 && available < shortestChunks;
}

void HttpParser::checkHead()
{
    impl_->isHeadChecked = true;
    isKeepAlive_ = impl_->isKeepAlive();
    impl_->problem = lengthProblem(impl_->head);
    if (!impl_->problem && impl_->isCloseDelimited() && !isCloseDelimitedAllowed_)
        impl_->problem =
            HttpProblem{HttpProblemKind::CloseDelimited,
                        {"message", "neither length nor chunked coding delimits the body"}};
    impl_->parseBodyEagerly();
}

void HttpParser::checkFraming(std::size_t unparsed)
{
    const std::uint64_t allowed =
        limits_.framingBytes + bodyBytes_ * HttpLimits::framingPerBodyByte;
    if (!impl_->problem && framingBytes_ + unparsed > allowed)
        impl_->problem = HttpProblem{HttpProblemKind::FramingTooLarge,
                                     {"message", "too much framing for its body"}};
}

std::size_t HttpParser::headMemoryBytes() const
{
    return headBytes_ + impl_->head.headers.capacity() * sizeof(HttpHeader);
}

void HttpParser::handleEof()
{
    if (!isCloseDelimitedAllowed_ || !isHeadDone() || isDone() || !impl_->isCloseDelimited())
        return;
    ErrorCode error;
    impl_->putEof(error);
    if (error)
        impl_->problem = HttpProblem{HttpProblemKind::Truncated, {"message", error.message()}};
}

void HttpParser::expectNoBody()
{
    impl_->skipBody();
}

bool HttpParser::isHeadDone() const
{
    return impl_->isHeadDone();
}

bool HttpParser::isDone() const
{
    return impl_->isDone();
}

std::optional<std::uint64_t> HttpParser::contentLength() const
{
    return impl_->contentLength();
}

const std::optional<HttpProblem> &HttpParser::problem() const
{
    return impl_->problem;
}

HttpHead &HttpParser::head()
{
    return impl_->head;
}

const HttpHead &HttpParser::head() const
{
    return impl_->head;
}

} // namespace cuminrail
