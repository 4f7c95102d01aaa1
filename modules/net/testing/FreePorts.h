#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <unistd.h>

namespace cuminrail::testing {

/**
    Returns the first of some consecutive free loopback ports, below those that the kernel gives to
    connections: a process that is down for a moment would find its port taken by a connection, or
    by another run.
*/
inline std::uint16_t freePorts(int count = 1)
{
    using Tcp = boost::asio::ip::tcp;
    constexpr int lowest = 10000;
    constexpr int portsOfRun = 100;
    constexpr int runs = 200;
    static int given = 0;
    if (given % portsOfRun + count > portsOfRun)
        given += portsOfRun - given % portsOfRun;
    const int first = lowest + (getpid() % runs) * portsOfRun + given % portsOfRun;
    given += count;
    boost::asio::io_context io;
    for (int i = 0; i < count; ++i) {
        boost::system::error_code error;
        Tcp::acceptor acceptor(io);
        acceptor.open(Tcp::v4(), error);
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        acceptor.bind(
            {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first + i)},
            error);
        if (error)
            return freePorts(count);
    }
    return static_cast<std::uint16_t>(first);
}

} // namespace cuminrail::testing
