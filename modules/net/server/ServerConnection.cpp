#include "net/server/ServerConnection.h"

#include "net/server/ServerExchange.h"
#include "runtime/memory/Allocator.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>

namespace cuminrail::detail {

namespace {

/** Maximum number of bytes read ahead while a request is in progress. */
constexpr std::size_t maxReadAheadBytes = 16 * 1024;
/** An idle connection keeps an input buffer up to this size for its next request. */
constexpr std::size_t maxKeptBytes = 4 * 1024;
/** Maximum input discarded after a rejection, so that the caller can read the response. */
constexpr std::size_t maxLingerBytes = 1024 * 1024;

int statusOf(HttpProblemKind kind, const HttpServerLimits &limits)
{
    if (kind == HttpProblemKind::HeadTooLarge)
        return limits.headTooLargeStatus;
    return kind == HttpProblemKind::BodyTooLarge ? 413 : 400;
}

} // namespace

ServerConnection::ServerConnection(HttpServer &server, std::unique_ptr<ByteStream> stream)
    : server_(server), stream_(std::move(stream)), requestMemory_(server.load_),
      buffers_(server.load_), place_{this}, position_(place_.begin()),
      readDeadline_(server.deadlines_, [this] { onReadStalled(); }),
      writeDeadline_(server.deadlines_, [this] { close(); })
{
    server_.load_->connections.fetch_add(1, std::memory_order_relaxed);
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::start()
{
    readDeadline_.setAfter(server_.limits_.headTimeout);
    noteWaiting();
    stream_->handshake([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->state_ == State::Closed)
            return self->close();
        self->beginRequest();
    });
}

bool ServerConnection::waitsForCaller() const
{
    return state_ == State::Idle || state_ == State::Reading || state_ == State::Lingering
        || (isWriting_ && state_ != State::Closed);
}

void ServerConnection::noteWaiting()
{
    const bool isWaiting = waitsForCaller();
    if (isWaiting)
        waitingSince_ = server_.deadlines_.now();
    if (isWaiting || isListed_) {
        auto &from = isListed_ ? server_.waiting_ : place_;
        auto &to = isWaiting ? server_.waiting_ : place_;
        to.splice(to.end(), from, position_);
    }
    isListed_ = isWaiting;
}

void ServerConnection::evict()
{
    if (!waitsForCaller())
        return;
    server_.load_->evicted.fetch_add(1, std::memory_order_relaxed);
    if (state_ == State::Reading && !isWriting_)
        return rejectAndClose(server_.hooks_.onProblem(
            503, {"connection", "closed while it waited, to make room for other callers"}));
    // A response that was begun must not look complete.
    if (state_ == State::Responding || state_ == State::Flushing)
        setResetsOnClose(true);
    close();
}

void ServerConnection::countMemory()
{
    // The upstream is sent a copy of the body. What a long buffer has beyond its content was never
    // written to, and takes no memory.
    const std::size_t unused = std::min(body_.capacity() - body_.size(), longBufferBytes);
    requestMemory_.set(headMemory_ + 2 * body_.size() + unused);
    buffers_.set(input_.capacity() + output_.capacity() + queue_.capacity());
    if (server_.load_->heldBytes.load(std::memory_order_relaxed) > server_.limits_.heldBytes)
        server_.requestMemory();
}

bool ServerConnection::rejectForMemory()
{
    const HttpServerLimits &limits = server_.limits_;
    const std::uint64_t held = server_.load_->heldBytes.load(std::memory_order_relaxed);
    const bool isFull = held > limits.heldBytes + limits.heldBytes / 8;
    if (!requestMemory_.isCountedApart() && !isFull
        && (held <= limits.heldBytes || heldBytes() <= limits.heldShare()))
        return false;
    if (isServedAlone())
        return false;
    rejectAndClose(server_.hooks_.onProblem(
        503, {"memory", "requests and responses in progress have reached the memory limit"}));
    return true;
}

bool ServerConnection::isServedAlone()
{
    const std::uint64_t limit = server_.limits_.heldBytes;
    const std::uint64_t own = requestMemory_.bytes();
    // A body as long as the limit, its copy, and a head.
    const std::uint64_t most = 2 * limit + limit / 8;
    if (own <= limit / 2 || own > most || !requestMemory_.countApart())
        return false;
    return server_.load_->heldBytes.load(std::memory_order_relaxed) <= limit / 2;
}

void ServerConnection::beginRequest()
{
    state_ = State::Idle;
    ++requestNumber_;
    isHeadAccepted_ = false;
    isHeadMethod_ = false;
    version_ = 11;
    body_ = {};
    headMemory_ = 0;
    if (input_.empty() && input_.capacity() > maxKeptBytes)
        input_ = {};
    parser_ = std::make_unique<HttpParser>(
        HttpParser::Kind::Request, server_.limits_.message,
        [this](std::string_view data) { body_.append(data.data(), data.size()); });
    readDeadline_.setAfter(server_.limits_.idleTimeout);
    countMemory();
    noteWaiting();
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
        countMemory();
        // Pipelined input is buffered up to this limit; the rest stays in the kernel's buffer.
        if (input_.size() < maxReadAheadBytes)
            readMore();
        return;
    }
    const std::uint64_t bodyBefore = parser_->bodyBytes();
    parse();
    if (state_ == State::Reading && parser_->bodyBytes() > bodyBefore)
        extendReadDeadline();
}

void ServerConnection::extendReadDeadline()
{
    // Framing is no progress: a caller could send it for ever.
    const HttpServerLimits &limits = server_.limits_;
    const auto received = static_cast<std::int64_t>(parser_->bodyBytes());
    const Millis stallDeadline = server_.deadlines_.now() + limits.bodyStallTimeout;
    const Millis bodyDeadline =
        bodyStartedAt_ + limits.bodyTimeout + Millis(received / limits.minBodyBytesPerMilli);
    readDeadline_.setAt(std::min(stallDeadline, bodyDeadline));
    noteWaiting();
}

void ServerConnection::parse()
{
    if (state_ == State::Idle) {
        state_ = State::Reading;
        // One deadline for the whole head: a caller that sends single bytes could otherwise occupy
        // its connection forever.
        readDeadline_.setAfter(server_.limits_.headTimeout);
        noteWaiting();
    }
    while (state_ == State::Reading) {
        const std::size_t used = parser_->feed(input_);
        input_.erase(0, used);
        if (parser_->problem())
            return rejectMalformed(*parser_->problem());
        if (parser_->isHeadDone() && !isHeadAccepted_)
            headMemory_ = parser_->head().memoryBytes();
        countMemory();
        if (rejectForMemory())
            return;
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
    noteWaiting();
    if (input_.size() < maxReadAheadBytes)
        readMore();
    if (state_ != State::Responding)
        return;
    const auto exchange =
        std::make_shared<ServerExchange>(shared_from_this(), std::move(parser_->head()),
                                         std::move(body_), std::move(requestMemory_));
    headMemory_ = 0;
    server_.hooks_.onRequest(exchange);
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
    server_.load_->connections.fetch_sub(1, std::memory_order_relaxed);
    requestMemory_.set(0);
    buffers_.set(0);
    noteWaiting();
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
