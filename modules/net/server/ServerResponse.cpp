#include "net/http/HopHeaders.h"
#include "net/server/ServerConnection.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminrail::detail {

namespace {

constexpr Millis lingerTime = Millis::seconds(2);
/** An output buffer up to this size is kept for the next response. */
constexpr std::size_t maxKeptBytes = 4 * 1024;
/** Congestion threshold while callers hold more than half of the memory that they may hold. */
constexpr std::size_t tightCongestionBytes = 16 * 1024;

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

/** Appends the status line and headers. */
void appendStatus(std::string &out, int status, const std::vector<HttpHeader> &headers)
{
    out += "HTTP/1.1 ";
    appendNumber(out, static_cast<std::uint64_t>(status), 10);
    out += ' ';
    out += statusPhrase(status);
    out += "\r\n";
    for (const HttpHeader &header : headers)
        appendHeader(out, header.name, header.value);
}

} // namespace

std::string ServerConnection::closingResponse(const HttpResponse &response)
{
    std::string wire;
    appendStatus(wire, response.status, response.headers);
    wire += "Connection: close\r\nContent-Length: ";
    appendNumber(wire, response.body.size(), 10);
    wire += "\r\n\r\n" + response.body;
    return wire;
}

void ServerConnection::appendHead(int status, const std::vector<HttpHeader> &headers)
{
    isKeepAlive_ = isKeepAlive_ && !server_.isClosing_ && !server_.limits_.endsResponsesByClose;
    appendStatus(queue_, status, headers);
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
    const HttpServerLimits &limits = server_.limits_;
    const bool isTight =
        server_.load_->heldBytes.load(std::memory_order_relaxed) > limits.heldBytes / 2;
    const std::size_t threshold =
        isTight ? std::min(limits.congestionBytes, tightCongestionBytes) : limits.congestionBytes;
    const bool isCongested = queue_.size() + output_.size() - written_ > threshold;
    isAwaited_ = isAwaited_ || isCongested;
    return isCongested;
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
    countMemory();
    noteWaiting();
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
    written_ = 0;
    // A long response must not leave its memory to a connection that is idle after it.
    if (output_.capacity() > maxKeptBytes)
        output_ = {};
    output_.clear();
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
    written_ += size;
    flush();
    noteWaiting();
    // The threshold may have changed since the program was told to wait.
    if (!isAwaited_ || isCongested())
        return;
    isAwaited_ = false;
    if (const auto hook = onWritable_)
        hook();
}

void ServerConnection::onAllWritten()
{
    writeDeadline_.clear();
    countMemory();
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
    input_ = {};
    body_ = {};
    headMemory_ = 0;
    countMemory();
    noteWaiting();
    readDeadline_.setAfter(lingerTime);
    readMore();
}

} // namespace cuminrail::detail
