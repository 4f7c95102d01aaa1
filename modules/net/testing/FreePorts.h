#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <unistd.h>

namespace cuminrail::testing {

namespace detail {

/** Ports that only this process gives away, as long as it lives. */
class PortRange
{
public:
    static constexpr int lowest = 10000;
    static constexpr int ranges = 200;
    static constexpr int portsOfRange = 100;
    /** The last one shows that the range is taken. */
    static constexpr int usable = portsOfRange - 1;

    static int first()
    {
        static PortRange range;
        return range.first_;
    }

private:
    PortRange()
    {
        // Process ids of the machine come round, so that two processes may begin at the same range.
        for (int i = 0; i < ranges; ++i) {
            first_ = lowest + (getpid() + i) % ranges * portsOfRange;
            if (claim(static_cast<std::uint16_t>(first_ + usable)))
                return;
        }
    }

    bool claim(std::uint16_t port)
    {
        using Tcp = boost::asio::ip::tcp;
        boost::system::error_code error;
        holder_.open(Tcp::v4(), error);
        holder_.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error)
            return true;
        boost::system::error_code ignored;
        holder_.close(ignored);
        return false;
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor holder_{io_};
    int first_ = lowest;
};

} // namespace detail

/**
    Returns the first of some consecutive free loopback ports, below those that the kernel gives to
    connections: a process that is down for a moment would find its port taken by a connection, or
    by another run.
*/
inline std::uint16_t freePorts(int count = 1)
{
    using Tcp = boost::asio::ip::tcp;
    constexpr int usable = detail::PortRange::usable;
    static int given = 0;
    if (given % usable + count > usable)
        given += usable - given % usable;
    const int first = detail::PortRange::first() + given % usable;
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
