#include "net/server/ServerConnection.h"

#include "net/server/ServerExchange.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminrail::detail {

namespace {

/** Maximum number of bytes read ahead while a request is in progress. */
constexpr std::size_t maxReadAheadBytes = 16 * 1024;
/** Maximum input discarded after a rejection, so that the caller can read the response. */
constexpr std::size_t maxLingerBytes = 1024 * 1024;
constexpr Millis lingerTime = Millis::seconds(2);

int statusOf(HttpProblemKind kind, const HttpServerLimits &limits)
{
    if (kind == HttpProblemKind::HeadTooLarge)
        return limits.headTooLargeStatus;
    return kind == HttpProblemKind::BodyTooLarge ? 413 : 400;
}

/** Whether responses with this status consist of their head alone. */
bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

void appendNumber(std::string &out, std::uint64_t number, int base)
{
    std::array<char, 24> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, base).ptr;
    out.append(text.data(), end);
}

} // namespace

ServerConnection::ServerConnection(HttpServer &server, std::unique_ptr<ByteStream> stream)
    : server_(server), stream_(std::move(stream)), reservation_(server.load_),
      readDeadline_(server.deadlines_, [this] { onReadStalled(); }),
      writeDeadline_(server.deadlines_, [this] { close(); })
{
    server_.load_->connections.fetch_add(1, std::memory_order_relaxed);
}

ServerConnection::~ServerConnection()
{
    server_.load_->connections.fetch_sub(1, std::memory_order_relaxed);
}

void ServerConnection::start()
{
    readDeadline_.setAfter(server_.limits_.headTimeout);
    stream_->handshake([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->state_ == State::Closed)
            return self->close();
        self->beginRequest();
    });
}

void ServerConnection::refuse(const HttpResponse &response)
{
    stream_->handshake(
        [self = shared_from_this(), response](const boost::system::error_code &error) {
            if (error)
                return self->close();
            self->rejectAndClose(response);
        });
}

void ServerConnection::beginRequest()
{
    state_ = State::Idle;
    ++requestNumber_;
    isHeadAccepted_ = false;
    isHeadMethod_ = false;
    version_ = 11;
    bodyReceived_ = 0;
    body_.clear();
    reservation_.release();
    exceedsBodyLimit_ = false;
    parser_ = std::make_unique<HttpParser>(
        HttpParser::Kind::Request, server_.limits_.message, [this](std::string_view data) {
            body_.append(data.data(), data.size());
            exceedsBodyLimit_ = !reservation_.reserve(data.size(), server_.limits_.allBodyBytes);
        });
    readDeadline_.setAfter(server_.limits_.idleTimeout);
    if (input_.empty())
        readMore();
    else
        parse();
}

void ServerConnection::readMore()
{
    if (isReading_ || state_ == State::Closed)
        return;
    isReading_ = true;
    stream_->readSome(boost::asio::buffer(chunk_),
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t size) { self->onRead(error, size); });
}

void ServerConnection::onRead(const boost::system::error_code &error, std::size_t size)
{
    isReading_ = false;
    if (state_ == State::Closed)
        return;
    if (error)
        return close();
    if (state_ == State::Lingering) {
        lingeredBytes_ += size;
        return lingeredBytes_ > maxLingerBytes ? close() : readMore();
    }
    input_.append(chunk_.data(), size);
    if (state_ == State::Responding || state_ == State::Flushing) {
        // Pipelined input is buffered up to this limit; the rest stays in the kernel's buffer.
        if (input_.size() < maxReadAheadBytes)
            readMore();
        return;
    }
    extendReadDeadline(size);
    parse();
}

void ServerConnection::extendReadDeadline(std::size_t received)
{
    const HttpServerLimits &limits = server_.limits_;
    if (state_ == State::Idle) {
        // One deadline for the whole head: a caller that sends single bytes could otherwise occupy
        // its connection forever.
        readDeadline_.setAfter(limits.headTimeout);
        return;
    }
    if (!isHeadAccepted_)
        return;
    bodyReceived_ += static_cast<std::int64_t>(received);
    const Millis stallDeadline = server_.deadlines_.now() + limits.bodyStallTimeout;
    const Millis bodyDeadline =
        bodyStartedAt_ + limits.bodyTimeout + Millis(bodyReceived_ / limits.minBodyBytesPerMilli);
    readDeadline_.setAt(std::min(stallDeadline, bodyDeadline));
}

void ServerConnection::parse()
{
    if (state_ == State::Idle) {
        state_ = State::Reading;
        readDeadline_.setAfter(server_.limits_.headTimeout);
    }
    while (state_ == State::Reading) {
        const std::size_t used = parser_->feed(input_);
        input_.erase(0, used);
        if (parser_->problem())
            return rejectMalformed(*parser_->problem());
        if (exceedsBodyLimit_)
            return rejectAndClose(server_.hooks_.onProblem(
                503, {"body", "request bodies in progress have reached the memory limit"}));
        if (parser_->isHeadDone() && !isHeadAccepted_) {
            checkHead();
            continue;
        }
        if (parser_->isDone())
            return onRequestComplete();
        if (used == 0 || input_.empty())
            return readMore();
    }
}

void ServerConnection::checkHead()
{
    const HttpHead &head = parser_->head();
    isKeepAlive_ = parser_->isKeepAlive();
    isHeadMethod_ = head.method == "HEAD";
    version_ = head.version;
    const bool isTargetPlain = !head.target.empty() && head.target[0] == '/';
    const std::size_t hosts = head.count("Host");
    if (!isTargetPlain || hosts > 1 || (head.version == 11 && hosts == 0))
        return rejectAndClose(server_.hooks_.onProblem(
            400, {isTargetPlain ? "Host" : "target", "must be given once, in origin form"}));
    auto rejection = server_.hooks_.onHead ? server_.hooks_.onHead(head) : std::nullopt;
    if (rejection) {
        // The connection can be reused only if no unread body is left on it.
        if (parser_->isDone()) {
            state_ = State::Responding;
            return respond(*rejection);
        }
        return rejectAndClose(*rejection);
    }
    isHeadAccepted_ = true;
    bodyStartedAt_ = server_.deadlines_.now();
    readDeadline_.setAfter(server_.limits_.bodyStallTimeout);
    const std::string *expect = head.find("Expect");
    if (expect != nullptr && parser_->isBodyExpected() && sameHeaderName(*expect, "100-continue")) {
        queue_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void ServerConnection::onRequestComplete()
{
    state_ = State::Responding;
    readDeadline_.clear();
    if (input_.size() < maxReadAheadBytes)
        readMore();
    if (state_ == State::Responding)
        server_.hooks_.onRequest(
            std::make_shared<ServerExchange>(shared_from_this(), std::move(parser_->head()),
                                             std::move(body_), std::move(reservation_)));
}

void ServerConnection::rejectMalformed(const HttpProblem &problem)
{
    rejectAndClose(
        server_.hooks_.onProblem(statusOf(problem.kind, server_.limits_), problem.reason));
}

void ServerConnection::rejectAndClose(const HttpResponse &response)
{
    isKeepAlive_ = false;
    state_ = State::Responding;
    respond(response);
}

void ServerConnection::onReadStalled()
{
    const auto self = shared_from_this();
    if (state_ == State::Reading)
        return rejectAndClose(
            server_.hooks_.onProblem(408, {"request", "not received within the time limit"}));
    close();
}

void ServerConnection::appendHead(int status, const std::vector<HttpHeader> &headers)
{
    isKeepAlive_ = isKeepAlive_ && !server_.isClosing_ && !server_.limits_.endsResponsesByClose;
    queue_ += "HTTP/1.1 ";
    appendNumber(queue_, static_cast<std::uint64_t>(status), 10);
    queue_ += ' ';
    queue_ += statusPhrase(status);
    queue_ += "\r\n";
    for (const HttpHeader &header : headers) {
        queue_ += header.name;
        queue_ += ": ";
        queue_ += header.value;
        queue_ += "\r\n";
    }
    if (!isKeepAlive_)
        queue_ += "Connection: close\r\n";
    else if (version_ < 11)
        queue_ += "Connection: keep-alive\r\n";
}

void ServerConnection::reportOutOfOrder(const char *call)
{
    server_.load_->outOfOrder.fetch_add(1, std::memory_order_relaxed);
    if (server_.hooks_.onOutOfOrder)
        server_.hooks_.onOutOfOrder({call, "is out of the response's order"});
}

void ServerConnection::rejectLateCall(const char *call)
{
    if (state_ == State::Closed)
        return;
    reportOutOfOrder(call);
    if (state_ == State::Idle)
        reset();
}

bool ServerConnection::isInOrder(bool needsOpenStream, const char *call)
{
    if (state_ == State::Responding && isStreamOpen_ == needsOpenStream)
        return true;
    // Nobody gets anything of a response whose caller has left.
    if (state_ != State::Closed) {
        reportOutOfOrder(call);
        reset();
    }
    return false;
}

void ServerConnection::respond(const HttpResponse &response)
{
    if (!isInOrder(false, "respond"))
        return;
    appendHead(response.status, response.headers);
    const bool isBodiless = hasNoBody(response.status);
    if (!isBodiless && !server_.limits_.endsResponsesByClose) {
        queue_ += "Content-Length: ";
        appendNumber(queue_, response.body.size(), 10);
        queue_ += "\r\n";
    }
    queue_ += "\r\n";
    if (!isBodiless && !isHeadMethod_)
        queue_ += response.body;
    isChunked_ = false;
    endResponse();
}

void ServerConnection::beginStream(int status, const std::vector<HttpHeader> &headers)
{
    if (!isInOrder(false, "beginStream"))
        return;
    isStreamOpen_ = true;
    isBodiless_ = isHeadMethod_ || hasNoBody(status);
    isChunked_ = !isBodiless_ && version_ >= 11 && !server_.limits_.endsResponsesByClose;
    // HTTP/1.0 has no chunked coding; closing the connection ends the stream there.
    const bool endsByClose = !isBodiless_ && !isChunked_;
    isKeepAlive_ = isKeepAlive_ && !endsByClose;
    // Until the stream's end, its connection must not end in order, not even with this process.
    if (endsByClose)
        setResetsOnClose(true);
    appendHead(status, headers);
    if (isChunked_)
        queue_ += "Transfer-Encoding: chunked\r\n";
    queue_ += "\r\n";
    flush();
}

void ServerConnection::write(std::string_view data)
{
    if (!isInOrder(true, "write") || data.empty() || isBodiless_)
        return;
    if (isChunked_) {
        appendNumber(queue_, data.size(), 16);
        queue_ += "\r\n";
    }
    queue_ += data;
    if (isChunked_)
        queue_ += "\r\n";
    flush();
}

void ServerConnection::finish()
{
    if (!isInOrder(true, "finish"))
        return;
    if (isChunked_)
        queue_ += "0\r\n\r\n";
    endResponse();
}

void ServerConnection::endResponse()
{
    isStreamOpen_ = false;
    isChunked_ = false;
    state_ = State::Flushing;
    readDeadline_.clear();
    clearHooks();
    flush();
}

void ServerConnection::abort()
{
    if (state_ == State::Responding)
        reset();
}

void ServerConnection::reset()
{
    clearHooks();
    // Reset instead of an orderly close: over HTTP/1.0, or to a careless client, the orderly close
    // of a truncated stream would look like the end of the response.
    setResetsOnClose(true);
    close();
}

void ServerConnection::setResetsOnClose(bool resets)
{
    boost::system::error_code ignored;
    stream_->socket().set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

void ServerConnection::finishTruncated(std::string_view finalData)
{
    if (!isInOrder(true, "finishTruncated"))
        return;
    write(finalData);
    isKeepAlive_ = false;
    endResponse();
}

bool ServerConnection::isCongested() const
{
    return queue_.size() + output_.size() - written_ > server_.limits_.congestionBytes;
}

void ServerConnection::flush()
{
    if (isWriting_ || state_ == State::Closed)
        return;
    moveQueueToOutput();
    if (output_.empty())
        return onAllWritten();
    boost::system::error_code error;
    written_ += stream_->tryWrite(unsent(), error);
    if (error)
        return closeLater();
    moveQueueToOutput();
    if (output_.empty())
        return onAllWritten();
    isWriting_ = true;
    writeDeadline_.setAfter(server_.limits_.writeStallTimeout);
    stream_->writeSome(
        unsent(),
        [self = shared_from_this()](const boost::system::error_code &failed, std::size_t size) {
            self->onWritten(failed, size);
        });
}

boost::asio::const_buffer ServerConnection::unsent() const
{
    return {output_.data() + written_, output_.size() - written_};
}

void ServerConnection::moveQueueToOutput()
{
    if (written_ < output_.size())
        return;
    output_.clear();
    written_ = 0;
    output_.swap(queue_);
}

void ServerConnection::closeLater()
{
    // Deferred: closing at once would end the request during a call of its responder.
    isWriting_ = true;
    boost::asio::post(server_.io_, [self = shared_from_this()] { self->close(); });
}

void ServerConnection::onWritten(const boost::system::error_code &error, std::size_t size)
{
    isWriting_ = false;
    if (state_ == State::Closed)
        return;
    if (error)
        return close();
    const bool wasCongested = isCongested();
    written_ += size;
    flush();
    if (wasCongested && !isCongested() && onWritable_) {
        const auto hook = onWritable_;
        hook();
    }
}

void ServerConnection::onAllWritten()
{
    writeDeadline_.clear();
    if (state_ == State::Flushing)
        onResponseFlushed();
}

void ServerConnection::onResponseFlushed()
{
    if (!isKeepAlive_ || server_.isClosing_)
        return linger();
    if (input_.empty())
        return beginRequest();
    // Pipelined requests are started from the event loop, to avoid recursion for each of them.
    boost::asio::post(server_.io_, [self = shared_from_this()] {
        if (self->state_ == State::Flushing)
            self->beginRequest();
    });
}

void ServerConnection::linger()
{
    // Closing with unread bytes in the kernel resets the connection, and the reset can overtake
    // the response: the caller would see a broken connection instead of the reason.
    state_ = State::Lingering;
    setResetsOnClose(false);
    boost::system::error_code ignored;
    stream_->socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
    input_.clear();
    readDeadline_.setAfter(lingerTime);
    readMore();
}

void ServerConnection::clearHooks()
{
    onWritable_ = nullptr;
    onCallerDisconnected_ = nullptr;
}

void ServerConnection::close()
{
    if (state_ == State::Closed)
        return;
    const auto self = shared_from_this();
    state_ = State::Closed;
    readDeadline_.clear();
    writeDeadline_.clear();
    boost::system::error_code ignored;
    stream_->socket().close(ignored);
    const auto left = onCallerDisconnected_;
    clearHooks();
    server_.connections_.erase(self);
    if (left)
        left();
}

} // namespace cuminrail::detail
