#include "net/server/ServerConnection.h"

#include "net/server/ServerExchange.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cuminrail::detail {

namespace {

/** Maximum number of bytes read ahead while a request is in progress. */
constexpr std::size_t maxReadAheadBytes = 16 * 1024;
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
