#include "net/upstream/UpstreamConnection.h"

#include "core/guards/Guards.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <cerrno>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminrail::detail {

namespace {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    unsigned port = 0;
    const char *const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error || parsed.ptr != end || port == 0 || port > 65535)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

void setTcpOption(TcpSocket &socket, int name, int value)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
}

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
    isPaused_ = false;
    newParser();
    const bool isOpen = state_ == State::Idle;
    state_ = isOpen ? State::Sending : State::Connecting;
    deadline_.setAfter(isOpen ? request_.timeouts.stall : request_.timeouts.connect);
    if (!isOpen)
        return connect();
    send();
    read();
}

void UpstreamConnection::newParser()
{
    HttpLimits limits;
    limits.headBytes = pool_.limits_.answerHeadBytes;
    limits.bodyBytes = std::numeric_limits<std::uint64_t>::max();
    isHeadAccepted_ = false;
    parser_ = std::make_unique<HttpParser>(HttpParser::Kind::Response, limits,
                                           [this](std::string_view data) {
                                               if (hooks_.onBody)
                                                   hooks_.onBody(data);
                                           });
    if (request_.isHead)
        parser_->expectNoBody();
    if (request_.allowsEndByClose)
        parser_->allowEndByClose();
}

void UpstreamConnection::connect()
{
    const auto endpoint = parseEndpoint(address_);
    const bool isCut = isCutAt(SendPoint::BeforeConnect);
    if (!endpoint || isCut) {
        boost::asio::post(pool_.io_, [self = shared_from_this(), attempt = attempt_] {
            if (attempt == self->attempt_)
                self->end(UpstreamEndKind::ConnectFailed, {self->address_, "cannot connect"});
        });
        return;
    }
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](const boost::system::error_code &error) {
                              self->onConnected(error);
                          });
}

void UpstreamConnection::onConnected(const boost::system::error_code &error)
{
    if (state_ != State::Connecting)
        return;
    if (error)
        return end(UpstreamEndKind::ConnectFailed, {address_, error.message()});
    applySocketOptions();
    if (request_.isProbe)
        return keepIdle(pool_.limits_.idleTimeout);
    state_ = State::Sending;
    deadline_.setAfter(request_.timeouts.stall);
    send();
    read();
}

void UpstreamConnection::applySocketOptions()
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    // By default TCP notices after a quarter of an hour that nobody answers any more, and idle
    // connections after two hours. Something between the two ends that forgot the connection
    // sends neither an end nor a reset.
    const UpstreamPoolLimits &limits = pool_.limits_;
    setTcpOption(socket_, TCP_KEEPIDLE, static_cast<int>(limits.probeAfter.count() / 1000));
    setTcpOption(socket_, TCP_KEEPINTVL, static_cast<int>(limits.probeEvery.count() / 1000));
    setTcpOption(socket_, TCP_KEEPCNT, limits.probes);
    setTcpOption(socket_, TCP_USER_TIMEOUT, static_cast<int>(limits.unacknowledged.count()));
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
        return sendRest(request_.wire.size() / 2);
    boost::system::error_code error;
    sent_ = socket_.write_some(boost::asio::buffer(request_.wire), error);
    if (error || sent_ < request_.wire.size())
        return sendRest(request_.wire.size() - sent_);
    state_ = State::Receiving;
    deadline_.setAfter(request_.timeouts.firstByte);
}

void UpstreamConnection::sendRest(std::size_t atMost)
{
    socket_.async_write_some(boost::asio::buffer(request_.wire.data() + sent_, atMost),
                             [self = shared_from_this(), attempt = attempt_](
                                 const boost::system::error_code &error, std::size_t size) {
                                 if (attempt == self->attempt_)
                                     self->onSent(error, size);
                             });
}

void UpstreamConnection::onSent(const boost::system::error_code &error, std::size_t size)
{
    if (state_ != State::Sending)
        return;
    sent_ += size;
    if (error)
        return end(UpstreamEndKind::Broken, {address_, error.message()});
    deadline_.setAfter(request_.timeouts.stall);
    if (sent_ < request_.wire.size()) {
        if (isCutAt(SendPoint::AfterPart))
            return end(UpstreamEndKind::Broken, {address_, "cut while sending"});
        return sendRest(request_.wire.size() - sent_);
    }
    if (isCutAt(SendPoint::AfterLastByte))
        return end(UpstreamEndKind::Broken, {address_, "cut after sending"});
    state_ = State::Receiving;
    deadline_.setAfter(request_.timeouts.firstByte);
    if (!input_.empty())
        parse();
}

void UpstreamConnection::read()
{
    if (isReading_ || isPaused_ || state_ == State::Closed)
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
    if (state_ == State::Idle) {
        // Nothing was asked: either the upstream closes, or these are bytes of an answer that
        // its request no longer waits for. The next request must not get them.
        return end(UpstreamEndKind::Broken, {address_, "closed or spoke while idle"});
    }
    if (error == boost::asio::error::eof && state_ == State::Receiving) {
        parser_->finish();
        if (parser_->isDone() && isHeadAccepted_)
            return end(UpstreamEndKind::Complete, {});
    }
    if (error)
        return end(UpstreamEndKind::Broken, {address_, error.message()});
    input_.append(chunk_.data(), size);
    deadline_.setAfter(request_.timeouts.stall);
    if (state_ == State::Receiving)
        parse();
    else if (input_.size() < chunk_.size())
        read();
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
        if (parser_->problem())
            return end(UpstreamEndKind::Malformed, parser_->problem()->lastReason);
        if (parser_->isHeadDone() && !isHeadAccepted_) {
            if (!acceptHead())
                return;
            continue;
        }
        if (parser_->isDone())
            return complete();
        if (used == 0 || input_.empty())
            return read();
    }
}

bool UpstreamConnection::acceptHead()
{
    HttpHead &head = parser_->head();
    if (head.status >= 100 && head.status < 200) {
        if (head.status == 101) {
            end(UpstreamEndKind::Malformed, {address_, "switches protocols unasked"});
            return false;
        }
        newParser();
        return true;
    }
    // An answer that came late to an earlier request, or that the upstream crossed with another
    // caller's, is whole and well-formed. Only its identity tells that it is not ours.
    const std::string *echo = head.find(request_.identityHeader);
    const bool isOurs = echo == nullptr
        ? !request_.isEchoRequired
        : head.count(request_.identityHeader) == 1 && *echo == request_.requestId;
    if (!isOurs && guardEnabled(Guard::AnswerIdentityChecked)) {
        end(UpstreamEndKind::WrongIdentity, {address_, "answers another request"});
        return false;
    }
    isHeadAccepted_ = true;
    if (isCutAt(SendPoint::AfterAnswerHead)) {
        end(UpstreamEndKind::Broken, {address_, "cut after the answer's head"});
        return false;
    }
    const auto attempt = attempt_;
    if (hooks_.onHead)
        hooks_.onHead(head);
    return attempt == attempt_ && state_ == State::Receiving;
}

void UpstreamConnection::complete()
{
    const bool isClean = input_.empty() || !guardEnabled(Guard::DoubtfulConnectionDropped);
    const bool isReusable = isClean && parser_->isKeepAlive() && !isCutAt(SendPoint::BeforeReuse);
    if (!isReusable)
        return end(UpstreamEndKind::Complete, {});
    keepIdle(idleTime());
}

void UpstreamConnection::keepIdle(Millis keepFor)
{
    const UpstreamHooks hooks = std::move(hooks_);
    hooks_ = {};
    state_ = State::Idle;
    idleSince_ = pool_.deadlines_.now();
    ++attempt_;
    isPaused_ = false;
    input_.clear();
    deadline_.setAfter(keepFor);
    pool_.keepIdle(shared_from_this());
    read();
    if (hooks.onEnd)
        hooks.onEnd(UpstreamEnd{UpstreamEndKind::Complete, Verdict::Ran, {}});
}

Millis UpstreamConnection::idleTime() const
{
    const std::string *keepAlive = parser_->head().find("Keep-Alive");
    const auto at = keepAlive == nullptr ? std::string::npos : keepAlive->find("timeout=");
    if (at == std::string::npos)
        return pool_.limits_.idleTimeout;
    constexpr std::string_view name = "timeout=";
    std::int64_t seconds = 0;
    std::from_chars(keepAlive->data() + at + name.size(), keepAlive->data() + keepAlive->size(),
                    seconds);
    // A request sent just as the upstream closes would be lost with the connection.
    const Millis stated = Millis::seconds(seconds) * 3 / 4;
    return std::min(stated, pool_.limits_.idleTimeout);
}

void UpstreamConnection::end(UpstreamEndKind kind, Reason reason)
{
    if (state_ == State::Closed)
        return;
    const bool isComplete = kind == UpstreamEndKind::Complete;
    const UpstreamEnd report{kind, isComplete ? Verdict::Ran : verdictSoFar(), std::move(reason)};
    const UpstreamHooks hooks = std::move(hooks_);
    close();
    if (hooks.onEnd)
        hooks.onEnd(report);
}

Verdict UpstreamConnection::verdictSoFar() const
{
    return sent_ == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
}

void UpstreamConnection::onStalled()
{
    const auto self = shared_from_this();
    if (state_ == State::Idle)
        return close();
    if (isPaused_)
        return;
    if (state_ == State::Connecting)
        return end(UpstreamEndKind::ConnectTimeout, {address_, "no connection in time"});
    end(UpstreamEndKind::Silent, {address_, "no progress in time"});
}

bool UpstreamConnection::isStale()
{
    char byte = 0;
    const auto peeked = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void UpstreamConnection::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    deadline_.setAfter(request_.timeouts.stall);
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
        // After an orderly close, bytes that a partition holds up would still arrive when it
        // heals: the upstream would run what its caller was told has failed. A reset drops them,
        // and tells an upstream at work that nobody waits any more.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    hooks_ = {};
    pool_.forget(self);
}

bool UpstreamConnection::isCutAt(SendPoint point)
{
    return pool_.isCutAt(point, request_);
}

} // namespace cuminrail::detail
