#include "net/upstream/UpstreamConnection.h"

#include "core/guards/Guards.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>

namespace cuminrail::detail {

namespace {

/** More interim responses than this to one request are no response. */
constexpr std::size_t maxInterimResponses = 8;

} // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool &pool, std::string address)
    : pool_(pool), address_(std::move(address)), socket_(pool.io_),
      deadline_(pool.deadlines_, [this] { onStalled(); })
{ }

void UpstreamConnection::begin(UpstreamRequest request, UpstreamHooks hooks)
{
    ++attempt_;
    request_ = std::move(request);
    hooks_ = std::move(hooks);
    sent_ = 0;
    isWriting_ = false;
    endsAt_ = pool_.deadlines_.now() + request_.timeouts.total;
    strays_ = 0;
    strayBytes_ = 0;
    isPaused_ = false;
    newParser();
    const bool isOpen = state_ == State::Idle;
    state_ = isOpen ? State::Sending : State::Connecting;
    deadline_.setAfter(isOpen ? request_.timeouts.stall : request_.timeouts.connect);
    if (!request_.isProbe) {
        ++requests_;
        if (!request_.identityHeader.empty())
            sentIdentities_.add(request_.requestId);
    }
    if (!isOpen)
        return connect();
    send();
    read();
}

void UpstreamConnection::newParser()
{
    HttpLimits limits;
    limits.headBytes = pool_.limits_.responseHeadBytes;
    limits.bodyBytes = request_.maxBodyBytes;
    limits.framingBytes = pool_.limits_.responseHeadBytes;
    isHeadAccepted_ = false;
    isStray_ = false;
    isSpliced_ = false;
    isSettling_ = false;
    embedded_.reset();
    parser_ = std::make_unique<HttpParser>(HttpParser::Kind::Response, limits,
                                           [this](std::string_view data) { onBody(data); });
    if (request_.isHead)
        parser_->expectNoBody();
    if (request_.allowsEndByClose)
        parser_->allowCloseDelimited();
}

void UpstreamConnection::send()
{
    if (isCutAt(SendPoint::BeforeFirstByte)) {
        boost::asio::post(pool_.io_, [self = shared_from_this(), attempt = attempt_] {
            if (attempt == self->attempt_)
                self->end(UpstreamEndKind::Broken, {self->address_, "cut before sending"});
        });
        return;
    }
    if (pool_.faultHook_)
        return writeSome(request_.wire.size() / 2);
    boost::system::error_code error;
    sent_ = socket_.write_some(boost::asio::buffer(request_.wire), error);
    if (error || sent_ < request_.wire.size())
        return writeSome(request_.wire.size() - sent_);
    state_ = State::Receiving;
    expectWithin(request_.timeouts.firstByte);
}

void UpstreamConnection::writeSome(std::size_t maxBytes)
{
    isWriting_ = true;
    socket_.async_write_some(boost::asio::buffer(request_.wire.data() + sent_, maxBytes),
                             [self = shared_from_this(), attempt = attempt_](
                                 const boost::system::error_code &error, std::size_t size) {
                                 if (attempt == self->attempt_)
                                     self->onSent(error, size);
                             });
}

void UpstreamConnection::onSent(const boost::system::error_code &error, std::size_t size)
{
    isWriting_ = false;
    if (state_ != State::Sending)
        return;
    sent_ += size;
    if (error)
        return end(UpstreamEndKind::Broken, {address_, error.message()});
    expectWithin(request_.timeouts.stall);
    if (sent_ < request_.wire.size()) {
        if (isCutAt(SendPoint::AfterPart))
            return end(UpstreamEndKind::Broken, {address_, "cut while sending"});
        return writeSome(request_.wire.size() - sent_);
    }
    if (isCutAt(SendPoint::AfterLastByte))
        return end(UpstreamEndKind::Broken, {address_, "cut after sending"});
    state_ = State::Receiving;
    expectWithin(request_.timeouts.firstByte);
    if (!input_.empty())
        parse();
}

void UpstreamConnection::read()
{
    if (isReading_ || (isPaused_ && !isSettling_) || state_ == State::Closed)
        return;
    isReading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->onRead(error, size);
        });
}

void UpstreamConnection::onRead(const boost::system::error_code &error, std::size_t size)
{
    isReading_ = false;
    if (state_ == State::Closed)
        return;
    const auto self = shared_from_this();
    handleRead(error, size);
    // Operations that were cancelled keep the connection until the event loop reports them.
    if (state_ == State::Closed)
        freeMemory();
}

void UpstreamConnection::freeMemory()
{
    parser_.reset();
    embedded_.reset();
    input_ = {};
    memory_.setToPart(pool_.responses_, 0);
}

void UpstreamConnection::handleRead(const boost::system::error_code &error, std::size_t size)
{
    if (state_ == State::Idle) {
        // No request is in progress: either the upstream closes, or these bytes belong to a
        // response that its request no longer waits for. The next request must not receive them.
        if (!error)
            noteStray(StrayPlace::Idle, size);
        end(UpstreamEndKind::Broken, {address_, "closed or sent bytes while idle"});
        if (error && error != boost::asio::error::eof)
            pool_.noteIdleLost();
        return;
    }
    if (isSettling_) {
        input_.append(chunk_.data(), size);
        if (!error)
            return complete();
        if (!settleEnd(true))
            end(UpstreamEndKind::Complete, {});
        return;
    }
    if (error == boost::asio::error::eof && state_ == State::Receiving) {
        const bool isRequestReceived = !hasUnacknowledged();
        // Whoever ends its connection before it has received the request has not responded to it.
        if (!isStray_ && isRequestReceived)
            parser_->handleEof();
        isDelimitedByClose_ = parser_->isDone() && isHeadAccepted_;
        if (isDelimitedByClose_ && embedded_
            && (embedded_->hasBareHead() || embedded_->endsInHead()))
            return endSpliced();
        if (isDelimitedByClose_)
            return end(UpstreamEndKind::Complete, {});
    }
    if (error)
        return end(UpstreamEndKind::Broken, {address_, error.message()});
    // More bytes of a part that has begun, such as a line, are no progress until the part is whole.
    if (input_.empty())
        expectWithin(request_.timeouts.stall);
    input_.append(chunk_.data(), size);
    const auto attempt = attempt_;
    if (state_ == State::Receiving)
        parse();
    else if (input_.size() < chunk_.size())
        read();
    if (attempt == attempt_ && !countMemory())
        end(UpstreamEndKind::Malformed, {address_, "responses that are not whole take too much"});
}

bool UpstreamConnection::countMemory()
{
    const std::size_t embeddedBytes = embedded_ ? embedded_->pendingBytes() : 0;
    return memory_.setToPart(pool_.responses_,
                             parser_->headMemoryBytes() + input_.size() + embeddedBytes);
}

void UpstreamConnection::parse()
{
    const auto attempt = attempt_;
    const auto self = shared_from_this();
    while (state_ == State::Receiving && attempt == attempt_) {
        const std::size_t used = parser_->feed(input_);
        if (state_ != State::Receiving || attempt != attempt_)
            return;
        input_.erase(0, used);
        if (isSpliced_)
            return end(UpstreamEndKind::Spliced, {address_, "another response inside the body"});
        if (parser_->problem())
            return end(UpstreamEndKind::Malformed, parser_->problem()->reason);
        if (used > 0)
            expectWithin(request_.timeouts.stall);
        if (parser_->isHeadDone() && !isHeadAccepted_) {
            if (!acceptHead())
                return;
            interimResponses_ = isHeadAccepted_ ? 0 : interimResponses_ + 1;
            if (interimResponses_ > maxInterimResponses)
                return end(UpstreamEndKind::Malformed, {address_, "too many interim responses"});
            continue;
        }
        if (isStray_) {
            if (!readOverStray(used))
                return;
            continue;
        }
        if (parser_->isDone())
            return complete();
        if (used == 0 || input_.empty())
            return read();
    }
}

void UpstreamConnection::complete(bool isSettled)
{
    if (settleEnd(isSettled))
        return;
    if (!input_.empty())
        noteStray(StrayPlace::AfterResponse, input_.size());
    const bool isClean = input_.empty() || !guardEnabled(Guard::DoubtfulConnectionDropped);
    // Only its request tells where a response to HEAD ends, so a late one could not be read over.
    const bool isReusable = isClean && isIdentified_ && !request_.isHead
        && !sentIdentities_.isFull() && parser_->isKeepAlive() && !isCutAt(SendPoint::BeforeReuse);
    if (!isReusable)
        return end(UpstreamEndKind::Complete, {});
    keepIdle(idleTimeout());
}

void UpstreamConnection::keepIdle(Millis timeout)
{
    const UpstreamHooks hooks = std::move(hooks_);
    hooks_ = {};
    state_ = State::Idle;
    isSettling_ = false;
    idleSince_ = pool_.deadlines_.now();
    ++attempt_;
    isPaused_ = false;
    input_.clear();
    memory_.setToPart(pool_.responses_, 0);
    deadline_.setAfter(timeout);
    pool_.keepIdle(shared_from_this());
    read();
    if (hooks.onEnd)
        hooks.onEnd(UpstreamEnd{UpstreamEndKind::Complete, Verdict::Ran, {}, false, requests_});
}

Millis UpstreamConnection::idleTimeout() const
{
    const std::string *keepAlive = parser_->head().find("Keep-Alive");
    const auto at = keepAlive == nullptr ? std::string::npos : keepAlive->find("timeout=");
    if (at == std::string::npos)
        return pool_.limits_.idleTimeout;
    constexpr std::string_view name = "timeout=";
    std::int64_t seconds = 0;
    std::from_chars(keepAlive->data() + at + name.size(), keepAlive->data() + keepAlive->size(),
                    seconds);
    // Closes before the upstream does: a request sent just as it closes would be lost.
    const Millis stated = Millis::seconds(seconds) * 3 / 4;
    return std::min(stated, pool_.limits_.idleTimeout);
}

void UpstreamConnection::end(UpstreamEndKind kind, Reason reason)
{
    if (state_ == State::Closed)
        return;
    const bool isComplete = kind == UpstreamEndKind::Complete;
    const UpstreamEnd report{kind, isComplete ? Verdict::Ran : verdictSoFar(), std::move(reason),
                             isDelimitedByClose_, requests_};
    const UpstreamHooks hooks = std::move(hooks_);
    close();
    if (hooks.onEnd)
        hooks.onEnd(report);
}

Verdict UpstreamConnection::verdictSoFar() const
{
    // The kernel may have taken bytes of a write that has not been reported yet.
    return sent_ == 0 && !isWriting_ ? Verdict::NotRun : Verdict::MayHaveRun;
}

void UpstreamConnection::onStalled()
{
    const auto self = shared_from_this();
    if (state_ == State::Idle)
        return close();
    if (isSettling_)
        return complete(true);
    const bool isOver = pool_.deadlines_.now() >= endsAt_;
    if (isPaused_ && !isOver)
        return deadline_.setAt(endsAt_);
    if (state_ == State::Connecting)
        return end(UpstreamEndKind::ConnectTimeout,
                   {address_, "no connection within the time-out"});
    end(UpstreamEndKind::Silent,
        {address_, isOver ? "not complete in time" : "no progress within the time-out"});
}

void UpstreamConnection::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    if (isSettling_)
        return;
    expectWithin(request_.timeouts.stall);
    read();
}

void UpstreamConnection::cancel()
{
    hooks_ = {};
    close();
}

void UpstreamConnection::close()
{
    if (state_ == State::Closed)
        return;
    const auto self = shared_from_this();
    const bool isMidway = state_ == State::Sending || state_ == State::Receiving;
    state_ = State::Closed;
    ++attempt_;
    deadline_.clear();
    boost::system::error_code ignored;
    if (isMidway) {
        // After an orderly close, bytes delayed by a network partition would still arrive when it
        // heals: the upstream would run a request whose caller was told that it failed. A reset
        // discards them, and tells an upstream at work that nobody waits for the response.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    hooks_ = {};
    pool_.removeConnection(self);
}

void UpstreamConnection::expectWithin(Millis span)
{
    deadline_.setAt(std::min(pool_.deadlines_.now() + span, endsAt_));
}

bool UpstreamConnection::isCutAt(SendPoint point)
{
    return pool_.isCutAt(point, request_);
}

} // namespace cuminrail::detail
