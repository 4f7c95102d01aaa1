#include "standin/proxy/FaultProxy.h"

#include "net/testing/PacketDrop.h"

#include <boost/asio/write.hpp>

#include <chrono>

namespace cuminrail {

namespace {

constexpr std::chrono::milliseconds delay(60);
/** Interval at which a link that keeps bytes looks for the end of the fault. */
constexpr std::chrono::milliseconds holdInterval(5);

} // namespace

FaultProxy::FaultProxy(IoThread &thread, std::uint16_t targetPort)
    : thread_(thread), targetPort_(targetPort), portHolder_(thread.io()), acceptor_(thread.io())
{
    bind(portHolder_);
    port_ = portHolder_.local_endpoint().port();
    openAcceptor();
}

void FaultProxy::bind(Tcp::acceptor &socket)
{
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    const Tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port_);
    socket.open(address.protocol());
    socket.set_option(boost::asio::socket_base::reuse_address(true));
    socket.set_option(ReusePort(true));
    socket.bind(address);
}

void FaultProxy::openAcceptor()
{
    bind(acceptor_);
    acceptor_.listen();
    accept();
}

void FaultProxy::accept()
{
    const auto link = std::make_shared<Link>(thread_.io());
    acceptor_.async_accept(link->caller, [this, link](const boost::system::error_code &error) {
        if (error)
            return;
        accept();
        links_.insert(link);
        if (fault_ == LinkFault::Drop)
            testing::setPacketDrop(link->caller.native_handle(), true);
        const Tcp::endpoint target(boost::asio::ip::address_v4::loopback(), targetPort_);
        link->server.async_connect(target, [this, link](const boost::system::error_code &failed) {
            if (failed)
                return end(link);
            pump(link, true);
            pump(link, false);
        });
    });
}

void FaultProxy::setConnectFault(ConnectFault fault)
{
    if (fault == connectFault_)
        return;
    connectFault_ = fault;
    boost::system::error_code ignored;
    queueFillers_.clear();
    acceptor_.close(ignored);
    if (fault == ConnectFault::None)
        openAcceptor();
    else if (fault == ConnectFault::Hang)
        fillQueue();
    if (fault != ConnectFault::Drop)
        return;
    openAcceptor();
    testing::setPacketDrop(acceptor_.native_handle(), true);
}

void FaultProxy::setFault(LinkFault fault)
{
    const bool isDropping = fault == LinkFault::Drop;
    if (isDropping != (fault_ == LinkFault::Drop)) {
        for (const auto &link : links_)
            testing::setPacketDrop(link->caller.native_handle(), isDropping);
    }
    fault_ = fault;
}

void FaultProxy::fillQueue()
{
    constexpr int fillers = 4;
    const Tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port_);
    bind(acceptor_);
    acceptor_.listen(0);
    for (int i = 0; i < fillers; ++i) {
        queueFillers_.push_back(std::make_shared<Tcp::socket>(thread_.io()));
        const auto filler = queueFillers_.back();
        filler->async_connect(address, [filler](const boost::system::error_code &) {});
    }
}

void FaultProxy::pump(const std::shared_ptr<Link> &link, bool isUp)
{
    Tcp::socket &from = isUp ? link->caller : link->server;
    from.async_read_some(
        boost::asio::buffer(isUp ? link->up : link->down),
        [this, link, isUp](const boost::system::error_code &error, std::size_t size) {
            if (error)
                return end(link);
            const bool isLost =
                fault_ == LinkFault::Silence || (fault_ == LinkFault::OneWay && !isUp);
            // A connection that lost bytes never goes on: it stays silent.
            if (fault_ == LinkFault::Drop)
                hold(link, isUp, size);
            else if (!isLost)
                forward(link, isUp, size);
        });
}

void FaultProxy::hold(const std::shared_ptr<Link> &link, bool isUp, std::size_t size)
{
    if (fault_ != LinkFault::Drop)
        return forward(link, isUp, size);
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread_.io(), holdInterval);
    timer->async_wait([this, timer, link, isUp, size](const boost::system::error_code &) {
        if (links_.count(link) > 0)
            hold(link, isUp, size);
    });
}

void FaultProxy::forward(const std::shared_ptr<Link> &link, bool isUp, std::size_t size)
{
    const auto write = [this, link, isUp, size] {
        Tcp::socket &to = isUp ? link->server : link->caller;
        boost::asio::async_write(
            to, boost::asio::buffer(isUp ? link->up : link->down, size),
            [this, link, isUp](const boost::system::error_code &error, std::size_t) {
                if (error)
                    return end(link);
                pump(link, isUp);
            });
    };
    if (fault_ != LinkFault::Delay)
        return write();
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread_.io(), delay);
    timer->async_wait([timer, write](const boost::system::error_code &) { write(); });
}

void FaultProxy::end(const std::shared_ptr<Link> &link)
{
    boost::system::error_code ignored;
    link->caller.close(ignored);
    link->server.close(ignored);
    links_.erase(link);
}

void FaultProxy::resetAll()
{
    const auto links = links_;
    for (const auto &link : links) {
        boost::system::error_code ignored;
        link->caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        link->server.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        end(link);
    }
}

void FaultProxy::close()
{
    boost::system::error_code ignored;
    queueFillers_.clear();
    acceptor_.close(ignored);
    portHolder_.close(ignored);
    resetAll();
}

} // namespace cuminrail
