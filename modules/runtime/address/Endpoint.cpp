#include "runtime/address/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace cuminrail {

namespace {

using boost::asio::ip::tcp;

std::optional<std::uint16_t> parsePort(const std::string &text)
{
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return port;
}

std::optional<boost::asio::ip::address> parseHost(const std::string &text)
{
    // The library reads a text only up to its first NUL.
    if (text.find('\0') != std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const bool isBracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (isBracketed) {
        const auto ip = boost::asio::ip::make_address_v6(text.substr(1, text.size() - 2), error);
        return error ? std::nullopt : std::optional<boost::asio::ip::address>(ip);
    }
    const auto ip = boost::asio::ip::make_address_v4(text, error);
    return error ? std::nullopt : std::optional<boost::asio::ip::address>(ip);
}

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto host = parseHost(text.substr(0, colon));
    const auto port = parsePort(text.substr(colon + 1));
    if (!host || !port)
        return std::nullopt;
    return tcp::endpoint(*host, *port);
}

std::optional<tcp::endpoint> parseRemoteEndpoint(const std::string &text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->port() == 0)
        return std::nullopt;
    const auto &ip = endpoint->address();
    const bool isBroadcast = ip.is_v4() && ip.to_v4() == boost::asio::ip::address_v4::broadcast();
    if (ip.is_unspecified() || ip.is_multicast() || isBroadcast)
        return std::nullopt;
    return endpoint;
}

} // namespace cuminrail
