#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace cuminrail {

/**
    Reads a TCP endpoint from its text: an IPv4 address, or an IPv6 address in brackets, and a port,
    such as "10.0.0.4:8000" or "[fd00::4]:8000".

    Port 0 is accepted, as it stands for any free port where one listens.

    @returns nothing for any other text, names of hosts among them
*/
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/**
    Reads an endpoint that a connection can be made to: the address of a single host, and a port.

    @returns nothing if parseEndpoint() does, and for port 0 and unspecified, broadcast and
    multicast addresses
*/
std::optional<boost::asio::ip::tcp::endpoint> parseRemoteEndpoint(const std::string &text);

} // namespace cuminrail
