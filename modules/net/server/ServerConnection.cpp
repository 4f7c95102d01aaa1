#include "net/server/ServerConnection.h"

#include "net/server/ServerExchange.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminrail::detail {

namespace {

/** The most that is read ahead of a request in progress. */
constexpr std::size_t readAhead = 16 * 1024;
/** What is read and dropped after a refusal, so that the caller gets to see the answer. */
constexpr std::size_t lingerBytes = 1024 * 1024;
constexpr Millis lingerTime = Millis::seconds(2);

int statusOf(HttpProblemKind kind, const HttpServerLimits &limits)
{
    if (kind == HttpProblemKind::HeadTooLarge)
        return limits.headTooLargeStatus;
    return kind == HttpProblemKind::BodyTooLarge ? 413 : 400;
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

void ServerConnection::refuse(const HttpAnswer &answer)
{
    stream_->handshake([self = shared_from_this(), answer](const boost::system::error_code &error) {
        if (error)
            return self->close();
        self->refuseAndClose(answer);
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
    isOverBudget_ = false;
    parser_ = std::make_unique<HttpParser>(
        HttpParser::Kind::Request, server_.limits_.message, [this](std::string_view data) {
            body_.append(data.data(), data.size());
            isOverBudget_ = !reservation_.add(data.size(), server_.limits_.allBodyBytes);
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
        lingered_ += size;
        return lingered_ > lingerBytes ? close() : readMore();
    }
    input_.append(chunk_.data(), size);
    if (state_ == State::Answering || state_ == State::Flushing) {
        // The next request came early. It waits here; what lies beyond waits in the kernel.
        if (input_.size() < readAhead)
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
        // One time for the whole head: a caller that sends a byte now and then would otherwise
        // hold its connection for ever.
        readDeadline_.setAfter(limits.headTimeout);
        return;
    }
    if (!isHeadAccepted_)
        return;
    bodyReceived_ += static_cast<std::int64_t>(received);
    const Millis stalled = server_.deadlines_.now() + limits.bodyStallTimeout;
    const Millis atLatest =
        bodyStarted_ + limits.bodyTimeout + Millis(bodyReceived_ / limits.slowestBytesPerMilli);
    readDeadline_.setAt(std::min(stalled, atLatest));
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
            return problemAnswer(*parser_->problem());
        if (isOverBudget_)
            return refuseAndClose(server_.hooks_.onProblem(
                503, {"body", "there is no room for it now; other requests fill it"}));
        if (parser_->isHeadDone() && !isHeadAccepted_) {
            judgeHead();
            continue;
        }
        if (parser_->isDone())
            return requestComplete();
        if (used == 0 || input_.empty())
            return readMore();
    }
}

void ServerConnection::judgeHead()
{
    const HttpHead &head = parser_->head();
    keepsOpen_ = parser_->isKeepAlive();
    isHeadMethod_ = head.method == "HEAD";
    version_ = head.version;
    const bool isTargetPlain = !head.target.empty() && head.target[0] == '/';
    const std::size_t hosts = head.count("Host");
    if (!isTargetPlain || hosts > 1 || (head.version == 11 && hosts == 0))
        return refuseAndClose(server_.hooks_.onProblem(
            400, {isTargetPlain ? "Host" : "target", "must be given once, in origin form"}));
    auto refusal = server_.hooks_.onHead ? server_.hooks_.onHead(head) : std::nullopt;
    if (refusal) {
        // With its body unread the connection cannot go on; without one it can.
        if (parser_->isDone()) {
            state_ = State::Answering;
            return respond(*refusal);
        }
        return refuseAndClose(*refusal);
    }
    isHeadAccepted_ = true;
    bodyStarted_ = server_.deadlines_.now();
    readDeadline_.setAfter(server_.limits_.bodyStallTimeout);
    const std::string *expect = head.find("Expect");
    if (expect != nullptr && parser_->isBodyExpected() && sameHeaderName(*expect, "100-continue")) {
        queue_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void ServerConnection::requestComplete()
{
    state_ = State::Answering;
    readDeadline_.clear();
    if (input_.size() < readAhead)
        readMore();
    if (state_ == State::Answering)
        server_.hooks_.onRequest(
            std::make_shared<ServerExchange>(shared_from_this(), std::move(parser_->head()),
                                             std::move(body_), std::move(reservation_)));
}

void ServerConnection::problemAnswer(const HttpProblem &problem)
{
    refuseAndClose(
        server_.hooks_.onProblem(statusOf(problem.kind, server_.limits_), problem.lastReason));
}

void ServerConnection::refuseAndClose(const HttpAnswer &answer)
{
    keepsOpen_ = false;
    state_ = State::Answering;
    respond(answer);
}

void ServerConnection::onReadStalled()
{
    const auto self = shared_from_this();
    if (state_ == State::Reading)
        return refuseAndClose(server_.hooks_.onProblem(408, {"request", "came too slowly"}));
    close();
}

void ServerConnection::appendHead(int status, const std::vector<HttpHeader> &headers)
{
    keepsOpen_ = keepsOpen_ && !server_.isClosing_;
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
    if (!keepsOpen_)
        queue_ += "Connection: close\r\n";
    else if (version_ < 11)
        queue_ += "Connection: keep-alive\r\n";
}

void ServerConnection::respond(const HttpAnswer &answer)
{
    if (state_ != State::Answering)
        return;
    appendHead(answer.status, answer.headers);
    const bool isBodiless = answer.status == 204 || answer.status == 304;
    if (!isBodiless) {
        queue_ += "Content-Length: ";
        appendNumber(queue_, answer.body.size(), 10);
        queue_ += "\r\n";
    }
    queue_ += "\r\n";
    if (!isBodiless && !isHeadMethod_)
        queue_ += answer.body;
    isChunked_ = false;
    finish();
}

void ServerConnection::beginStream(int status, const std::vector<HttpHeader> &headers)
{
    if (state_ != State::Answering)
        return;
    isChunked_ = version_ >= 11;
    // HTTP/1.0 has no chunks: there the connection's end ends the stream.
    keepsOpen_ = keepsOpen_ && isChunked_;
    appendHead(status, headers);
    if (isChunked_)
        queue_ += "Transfer-Encoding: chunked\r\n";
    queue_ += "\r\n";
    flush();
}

void ServerConnection::write(std::string_view data)
{
    if (state_ != State::Answering || data.empty())
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
    if (state_ != State::Answering)
        return;
    if (isChunked_)
        queue_ += "0\r\n\r\n";
    isChunked_ = false;
    state_ = State::Flushing;
    readDeadline_.clear();
    dropHooks();
    flush();
}

void ServerConnection::abort()
{
    if (state_ != State::Answering)
        return;
    dropHooks();
    // A reset instead of an orderly end: over HTTP/1.0 or a careless client the orderly end of a
    // cut stream would read as the end of the answer.
    boost::system::error_code ignored;
    stream_->socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void ServerConnection::finishCut(std::string_view lastWords)
{
    if (state_ != State::Answering)
        return;
    write(lastWords);
    isChunked_ = false;
    keepsOpen_ = false;
    finish();
}

bool ServerConnection::isCongested() const
{
    return queue_.size() + output_.size() - written_ > server_.limits_.congestionBytes;
}

void ServerConnection::flush()
{
    if (isWriting_ || state_ == State::Closed)
        return;
    takeQueue();
    if (output_.empty())
        return allWritten();
    boost::system::error_code error;
    written_ += stream_->tryWrite(unsent(), error);
    if (error)
        return failLater();
    takeQueue();
    if (output_.empty())
        return allWritten();
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

void ServerConnection::takeQueue()
{
    if (written_ < output_.size())
        return;
    output_.clear();
    written_ = 0;
    output_.swap(queue_);
}

void ServerConnection::failLater()
{
    // Not at once: whoever is answering would find its request gone in the middle of a call.
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

void ServerConnection::allWritten()
{
    writeDeadline_.clear();
    if (state_ == State::Flushing)
        answerFlushed();
}

void ServerConnection::answerFlushed()
{
    if (!keepsOpen_ || server_.isClosing_)
        return linger();
    if (input_.empty())
        return beginRequest();
    // Requests sent ahead are begun from the loop, or each would be a level on the stack.
    boost::asio::post(server_.io_, [self = shared_from_this()] {
        if (self->state_ == State::Flushing)
            self->beginRequest();
    });
}

void ServerConnection::linger()
{
    // Closing with unread bytes in the kernel resets the connection, and the reset can overtake
    // the answer: the caller would see a broken connection instead of why it was refused.
    state_ = State::Lingering;
    boost::system::error_code ignored;
    stream_->socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
    input_.clear();
    readDeadline_.setAfter(lingerTime);
    readMore();
}

void ServerConnection::dropHooks()
{
    onWritable_ = nullptr;
    onCallerLeft_ = nullptr;
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
    const auto left = onCallerLeft_;
    dropHooks();
    server_.connections_.erase(self);
    if (left)
        left();
}

} // namespace cuminrail::detail
