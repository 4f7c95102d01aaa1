#pragma once

#include "standin/server/Exchange.h"
#include "standin/server/StandinServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cuminrail::standin::detail {

/** One accepted connection, with control of its socket that faults need. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, StandinServer &server, std::uint64_t number);

    void readNext();
    /** Writes bytes; @p done gets false when the connection is gone. */
    void write(std::string wire, std::function<void(bool)> done);
    /** Runs something on this connection after a delay. */
    void after(std::uint32_t delayMs, std::function<void()> action);
    /** The exchange is over: reads the next request, or closes. */
    void finish(bool keepAlive);
    void close();
    void resetConnection();
    std::uint64_t number() const { return number_; }

private:
    void whenReadable();
    bool isControlCall();
    void read();
    void handle();
    void begin(const std::optional<FaultRule> &fault, Record &record);
    void watchCaller();
    void peekCaller();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    Request request_;
    StandinServer &server_;
    std::uint64_t number_;
    std::weak_ptr<Exchange> current_;
};

} // namespace cuminrail::standin::detail
