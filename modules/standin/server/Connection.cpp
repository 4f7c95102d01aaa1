#include "standin/server/Connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace cuminrail::standin::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t maxBodyBytes = 64ULL << 20;
constexpr std::uint32_t maxHeadBytes = 256U << 10;
constexpr std::size_t peekedBytes = 32;

Record toRecord(const Request &request, std::uint64_t connection, std::int64_t atMs)
{
    Record record;
    record.atMs = atMs;
    record.connection = connection;
    record.method = std::string(request.method_string());
    record.target = std::string(request.target());
    for (const auto &field : request) {
        std::string name(field.name_string());
        for (char &c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        record.headers.emplace_back(std::move(name), std::string(field.value()));
    }
    record.body = request.body();
    return record;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, StandinServer &server, std::uint64_t number)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), server_(server), number_(number)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Connection::readNext()
{
    if (buffer_.size() > 0) {
        read();
        return;
    }
    socket_.async_wait(asio::socket_base::wait_read,
                       [self = shared_from_this()](boost::system::error_code error) {
                           if (!error)
                               self->whenReadable();
                       });
}

bool Connection::isControlCall()
{
    std::array<char, peekedBytes> bytes{};
    const ssize_t count =
        ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (count <= 0)
        return true; // closed: the ordinary read notices it
    const std::string_view text(bytes.data(), static_cast<std::size_t>(count));
    return text.find(" /standin/") != std::string_view::npos;
}

void Connection::whenReadable()
{
    if (!isControlCall()) {
        const auto fault = server_.faults().hitUnread();
        if (fault && fault->kind == FaultKind::Down) {
            close();
            return;
        }
        if (fault) {
            // Silence for good: the connection stays open, unread, as long as the process lives.
            timer_.expires_after(std::chrono::hours(24));
            timer_.async_wait([self = shared_from_this()](boost::system::error_code) {});
            return;
        }
    }
    read();
}

void Connection::read()
{
    parser_.emplace();
    parser_->body_limit(maxBodyBytes);
    parser_->header_limit(maxHeadBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                         if (error)
                             self->close();
                         else
                             self->handle();
                     });
}

void Connection::handle()
{
    request_ = parser_->release();
    const std::string target(request_.target());
    if (target.rfind("/standin/", 0) == 0) {
        static thread_local Record unrecorded;
        begin(std::nullopt, unrecorded);
        return;
    }
    Record &record = server_.recorder().add(toRecord(request_, number_, server_.nowMs()));
    const auto instance = request_["X-Instance"];
    const auto method = request_.method_string();
    const auto fault = server_.faults().hit({std::string_view(method.data(), method.size()), target,
                                             std::string_view(instance.data(), instance.size())});
    if (fault && fault->kind == FaultKind::Down) {
        record.ending = Ending::Cut;
        close();
        return;
    }
    if (fault && fault->kind == FaultKind::Silent) {
        record.ending = Ending::Stalled;
        timer_.expires_after(std::chrono::hours(24));
        timer_.async_wait([self = shared_from_this()](boost::system::error_code) {});
        return;
    }
    if (fault && fault->kind == FaultKind::Slow) {
        after(fault->delayMs, [this, &record] { begin(std::nullopt, record); });
        return;
    }
    begin(fault, record);
}

void Connection::begin(const std::optional<FaultRule> &fault, Record &record)
{
    const auto exchange =
        std::make_shared<Exchange>(shared_from_this(), std::move(request_), record, fault);
    current_ = exchange;
    watchCaller();
    if (fault && fault->kind == FaultKind::Refuse)
        exchange->answerText(fault->status, R"({"error":{"message":"refused","code":"refused"}})",
                             "application/json");
    else
        server_.handle(exchange);
}

void Connection::watchCaller()
{
    if (buffer_.size() > 0)
        return;
    socket_.async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this(), watched = current_](boost::system::error_code error) {
            const auto exchange = watched.lock();
            if (!error && exchange && exchange == self->current_.lock())
                self->peekCaller();
        });
}

void Connection::peekCaller()
{
    char byte = 0;
    const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const auto exchange = current_.lock();
    if (count > 0 || !exchange)
        return;
    exchange->callerLeft();
    close();
}

void Connection::write(std::string wire, std::function<void(bool)> done)
{
    const auto text = std::make_shared<std::string>(std::move(wire));
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text, done = std::move(done)](
                          boost::system::error_code error, std::size_t) { done(!error); });
}

void Connection::after(std::uint32_t delayMs, std::function<void()> action)
{
    timer_.expires_after(std::chrono::milliseconds(delayMs));
    timer_.async_wait(
        [self = shared_from_this(), action = std::move(action)](boost::system::error_code error) {
            if (!error)
                action();
        });
}

void Connection::finish(bool keepAlive)
{
    current_.reset();
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    if (keepAlive)
        readNext();
    else
        close();
}

void Connection::close()
{
    current_.reset();
    boost::system::error_code ignored;
    timer_.cancel(ignored);
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void Connection::resetConnection()
{
    boost::system::error_code ignored;
    // Lingering for zero seconds makes close() send a reset instead of an orderly end.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    timer_.cancel(ignored);
    socket_.close(ignored);
}

} // namespace cuminrail::standin::detail
