#include "standin/testing/BlockingHttp.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <chrono>

namespace cuminrail::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned httpVersion = 11;
constexpr std::uint64_t maxAnswerBytes = 256ULL << 20;

using Message = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

Message toMessage(const BlockingRequest &request)
{
    Message message;
    message.version(httpVersion);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, "127.0.0.1");
    message.set(http::field::connection, "close");
    for (const auto &[name, value] : request.headers)
        message.insert(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/** One call on a private io_context; run() returns when it has ended or timed out. */
class Call
{
public:
    explicit Call(const BlockingRequest &request)
        : stream_(context_), message_(toMessage(request)), timeout_(request.timeoutMs)
    {
        parser_.body_limit(maxAnswerBytes);
        parser_.eager(true);
    }

    BlockingAnswer run(std::uint16_t port)
    {
        stream_.expires_after(timeout_);
        stream_.async_connect({asio::ip::address_v4::loopback(), port},
                              [this](beast::error_code error) {
                                  answer_.isConnectFailure = bool(error);
                                  if (!error)
                                      write();
                              });
        context_.run();
        takeAnswer();
        return std::move(answer_);
    }

private:
    void write()
    {
        stream_.expires_after(timeout_);
        http::async_write(stream_, message_, [this](beast::error_code error, std::size_t) {
            if (!error)
                readSome();
        });
    }

    void readSome()
    {
        stream_.expires_after(timeout_);
        http::async_read_some(stream_, buffer_, parser_,
                              [this](beast::error_code error, std::size_t) {
                                  if (!error && !parser_.is_done())
                                      readSome();
                                  else
                                      answer_.isWhole = !error;
                              });
    }

    void takeAnswer()
    {
        if (!parser_.is_header_done())
            return;
        answer_.status = parser_.get().result_int();
        answer_.body = parser_.get().body();
        for (const auto &field : parser_.get()) {
            std::string name(field.name_string());
            for (char &c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            answer_.headers.emplace_back(std::move(name), std::string(field.value()));
        }
    }

    asio::io_context context_{1};
    beast::tcp_stream stream_;
    Message message_;
    std::chrono::milliseconds timeout_;
    beast::flat_buffer buffer_;
    Parser parser_;
    BlockingAnswer answer_;
};

} // namespace

std::string BlockingAnswer::header(const std::string &name) const
{
    for (const auto &entry : headers) {
        if (entry.first == name)
            return entry.second;
    }
    return {};
}

BlockingAnswer callOnce(std::uint16_t port, const BlockingRequest &request)
{
    return Call(request).run(port);
}

} // namespace cuminrail::standin
