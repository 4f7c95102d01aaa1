#include "net/upstream/UpstreamConnection.h"
#include "runtime/address/Endpoint.h"

#include <boost/asio/post.hpp>

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cuminrail::detail {

namespace {

void setTcpOption(TcpSocket &socket, int name, int value)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
}

} // namespace

void UpstreamConnection::connect()
{
    const auto endpoint = parseRemoteEndpoint(address_);
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
    if (hooks_.onConnected)
        hooks_.onConnected();
    if (request_.isProbe)
        return keepIdle(pool_.limits_.idleTimeout);
    state_ = State::Sending;
    expectWithin(request_.timeouts.stall);
    send();
    read();
}

void UpstreamConnection::applySocketOptions()
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    // By default TCP detects an unresponsive peer after a quarter of an hour, and on idle
    // connections after two hours. A middlebox that dropped the connection's state sends neither
    // FIN nor RST.
    const UpstreamPoolLimits &limits = pool_.limits_;
    setTcpOption(socket_, TCP_KEEPIDLE, static_cast<int>(limits.probeAfter.count() / 1000));
    setTcpOption(socket_, TCP_KEEPINTVL, static_cast<int>(limits.probeEvery.count() / 1000));
    setTcpOption(socket_, TCP_USER_TIMEOUT, static_cast<int>(limits.unacknowledged.count()));
}

bool UpstreamConnection::isStale()
{
    char byte = 0;
    const auto peeked = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool UpstreamConnection::hasUnacknowledged()
{
    int bytes = 0;
    return ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool UpstreamConnection::isUnanswered()
{
    constexpr Millis replyTime(200);
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    const Millis sinceReply(static_cast<std::int64_t>(info.tcpi_last_ack_recv));
    return info.tcpi_probes > 0 && sinceReply > pool_.limits_.probeAfter + replyTime;
}

} // namespace cuminrail::detail
