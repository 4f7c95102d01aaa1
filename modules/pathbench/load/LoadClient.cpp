#include "pathbench/load/LoadClient.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace cuminrail::pathbench {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using SteadyClock = std::chrono::steady_clock;

/** What all connections of a client share while a load runs. */
struct LoadState
{
    const std::string *wire = nullptr;
    std::uint32_t left = 0;
    LoadResult result;
};

class LoadConnection
{
public:
    LoadConnection(asio::io_context &io, std::uint16_t port, LoadState &state)
        : endpoint_(asio::ip::address_v4::loopback(), port), socket_(io), state_(state)
    {
        reconnect();
    }

    void next()
    {
        if (state_.left == 0)
            return;
        --state_.left;
        began_ = SteadyClock::now();
        asio::async_write(socket_, asio::buffer(*state_.wire),
                          [this](const boost::system::error_code &error, std::size_t) {
                              if (error)
                                  failed();
                          });
        parser_.emplace();
        http::async_read(
            socket_, buffer_, *parser_,
            [this](const boost::system::error_code &error, std::size_t) { onAnswer(error); });
    }

private:
    void reconnect()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
        buffer_.clear();
        socket_.connect(endpoint_);
        socket_.set_option(asio::ip::tcp::no_delay(true));
    }

    void failed() { socket_.cancel(); }

    void onAnswer(const boost::system::error_code &error)
    {
        if (error || parser_->get().result() != http::status::ok) {
            ++state_.result.failures;
            if (error || !parser_->get().keep_alive())
                reconnect();
        } else {
            const std::chrono::duration<double, std::micro> span = SteadyClock::now() - began_;
            state_.result.latencies.push_back(span.count());
        }
        next();
    }

    asio::ip::tcp::endpoint endpoint_;
    asio::ip::tcp::socket socket_;
    LoadState &state_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    SteadyClock::time_point began_;
};

} // namespace

class LoadClient::Impl
{
public:
    asio::io_context io{1};
    LoadState state;
    std::vector<std::unique_ptr<LoadConnection>> connections;
};

LoadClient::LoadClient(std::uint16_t port, std::uint32_t connections)
    : impl_(std::make_unique<Impl>())
{
    for (std::uint32_t i = 0; i < connections; ++i)
        impl_->connections.push_back(
            std::make_unique<LoadConnection>(impl_->io, port, impl_->state));
}

LoadClient::~LoadClient() = default;

LoadResult LoadClient::run(const std::string &wire, std::uint32_t requests)
{
    LoadState &state = impl_->state;
    state.wire = &wire;
    state.left = requests;
    state.result = {};
    const auto began = SteadyClock::now();
    for (const auto &connection : impl_->connections)
        connection->next();
    impl_->io.restart();
    impl_->io.run();
    state.result.seconds = std::chrono::duration<double>(SteadyClock::now() - began).count();
    return std::move(state.result);
}

double percentile(std::vector<double> &samples, double share)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    return samples[index];
}

} // namespace cuminrail::pathbench
