#pragma once

#include "runtime/threads/IoThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace cuminrail {

/** What a proxy does to the bytes of open connections. */
enum class LinkFault : std::uint8_t {
    None,
    /** Bytes are delayed. */
    Delay,
    /** Bytes of both directions are lost. */
    Silence,
    /** Bytes to the end that connected are lost. */
    OneWay,
    /** Packets of both directions are lost; what was not acknowledged is sent again afterwards. */
    Drop,
};

/** What a proxy does to new connections. */
enum class ConnectFault : std::uint8_t {
    None,
    Refuse,
    /** The connection is never established, as if SYN or SYN-ACK were lost. */
    Hang,
    /** The same with packets that are really lost. */
    Drop,
};

/**
    A loopback proxy in front of one server, which harms connections from outside the processes.

    Confined to its event loop's thread.
*/
class FaultProxy
{
public:
    FaultProxy(IoThread &thread, std::uint16_t targetPort);

    std::uint16_t port() const { return port_; }
    void setFault(LinkFault fault);
    void setConnectFault(ConnectFault fault);
    /** Resets all open connections. */
    void resetAll();
    void close();

private:
    using Tcp = boost::asio::ip::tcp;
    struct Link
    {
        explicit Link(boost::asio::io_context &io) : caller(io), server(io) { }
        Tcp::socket caller;
        Tcp::socket server;
        std::array<char, 8192> up{};
        std::array<char, 8192> down{};
    };

    /** Binds a socket to the port, which the kernel may otherwise give to a connection. */
    void bind(Tcp::acceptor &socket);
    void openAcceptor();
    void accept();
    /** Fills the queue of connections that wait for acceptance, so that the kernel drops SYNs. */
    void fillQueue();
    void pump(const std::shared_ptr<Link> &link, bool isUp);
    void forward(const std::shared_ptr<Link> &link, bool isUp, std::size_t size);
    /** Keeps bytes while packets are lost, then forwards them. */
    void hold(const std::shared_ptr<Link> &link, bool isUp, std::size_t size);
    void end(const std::shared_ptr<Link> &link);

    IoThread &thread_;
    std::uint16_t targetPort_;
    std::uint16_t port_ = 0;
    /** Keeps the port while nothing listens. */
    Tcp::acceptor portHolder_;
    Tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Link>> links_;
    std::vector<std::shared_ptr<Tcp::socket>> queueFillers_;
    LinkFault fault_ = LinkFault::None;
    ConnectFault connectFault_ = ConnectFault::None;
};

} // namespace cuminrail
