#pragma once

#include "runtime/threads/IoThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <set>

namespace cuminrail::soak {

/** What a proxy does to connections. */
enum class LinkFault : std::uint8_t {
    None,
    /** Bytes wait before they go on. */
    Delay,
    /** Nothing goes on in either direction, and nobody is told. */
    Silence,
    /** Nothing goes back to the one that connected. */
    OneWay,
};

/**
    A loopback proxy in front of one server, to harm connections from outside the processes.

    Belongs to its event loop's thread.
*/
class FaultProxy
{
public:
    FaultProxy(IoThread &thread, std::uint16_t targetPort);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void setFault(LinkFault fault) { fault_ = fault; }
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

    void accept();
    void pump(const std::shared_ptr<Link> &link, bool isUp);
    void forward(const std::shared_ptr<Link> &link, bool isUp, std::size_t size);
    void end(const std::shared_ptr<Link> &link);

    IoThread &thread_;
    std::uint16_t targetPort_;
    Tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Link>> links_;
    LinkFault fault_ = LinkFault::None;
};

} // namespace cuminrail::soak
