#include "standin/server/Exchange.h"

#include "standin/server/Connection.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cuminrail::standin {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion = 11;
constexpr const char *identityHeader = "X-Request-Id";

std::string toChunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

template<typename Message>
std::string toWire(const Message &message)
{
    std::ostringstream out;
    out << message;
    return out.str();
}

} // namespace

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string hex(text.substr(i + 1, 2));
            decoded += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

Exchange::Exchange(std::shared_ptr<detail::Connection> connection, Request request, Record &record,
                   std::optional<FaultRule> fault)
    : connection_(std::move(connection)), request_(std::move(request)), record_(record),
      fault_(std::move(fault))
{
    const std::string target(request_.target());
    const std::size_t mark = target.find('?');
    path_ = percentDecoded(target.substr(0, mark));
    query_ = mark == std::string::npos ? "" : target.substr(mark + 1);
}

std::string Exchange::query(const std::string &name) const
{
    std::istringstream parts(query_);
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos && part.substr(0, equals) == name)
            return percentDecoded(part.substr(equals + 1));
    }
    return {};
}

std::string Exchange::header(const std::string &name) const
{
    return std::string(request_[name]);
}

bool Exchange::isBreaking() const
{
    return fault_
        && (fault_->kind == FaultKind::LoseAnswer || fault_->kind == FaultKind::Reset
            || fault_->kind == FaultKind::Stall);
}

void Exchange::answer(unsigned status, const nlohmann::json &body, const Headers &headers)
{
    answerText(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
               "application/json", headers);
}

void Exchange::answerText(unsigned status, std::string body, const std::string &contentType,
                          const Headers &headers)
{
    http::response<http::string_body> response(static_cast<http::status>(status), httpVersion);
    response.set(http::field::content_type, contentType);
    // Whatever is answered, the identity of its request shows whose answer it is.
    if (const std::string identity = header(identityHeader); !identity.empty())
        response.set(identityHeader, identity);
    for (const auto &[name, value] : headers)
        response.set(name, value);
    response.keep_alive(request_.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    record_.status = status;
    std::string wire = toWire(response);
    if (fault_ && fault_->kind == FaultKind::Late) {
        connection_->after(fault_->delayMs,
                           [self = shared_from_this(), wire = std::move(wire)]() mutable {
                               self->sendNow(std::move(wire));
                           });
        return;
    }
    sendNow(std::move(wire));
}

void Exchange::sendNow(std::string wire)
{
    if (isOver_)
        return;
    if (isBreaking()) {
        wire.resize(std::min<std::size_t>(wire.size(), fault_->bytes));
        connection_->write(std::move(wire),
                           [self = shared_from_this()](bool) { self->breakOff(); });
        return;
    }
    connection_->write(std::move(wire), [self = shared_from_this()](bool sent) {
        if (self->isOver_)
            return;
        self->isOver_ = true;
        self->record_.ending = sent ? Ending::Answered : Ending::CallerLeft;
        self->connection_->finish(sent && self->request_.keep_alive());
    });
}

void Exchange::breakOff()
{
    if (isOver_)
        return;
    isOver_ = true;
    if (fault_->kind == FaultKind::LoseAnswer) {
        record_.ending = Ending::Cut;
        connection_->close();
    } else if (fault_->kind == FaultKind::Reset) {
        record_.ending = Ending::Reset;
        connection_->resetConnection();
    } else {
        record_.ending = Ending::Stalled;
        // A day is longer than any test: the connection stays open without another byte.
        connection_->after(24U * 3600 * 1000, [self = shared_from_this()] {});
    }
}

void Exchange::reset()
{
    if (isOver_)
        return;
    isOver_ = true;
    record_.ending = Ending::Reset;
    connection_->resetConnection();
}

void Exchange::callerLeft()
{
    if (isOver_)
        return;
    isOver_ = true;
    record_.ending = Ending::CallerLeft;
    if (onCallerDisconnected)
        onCallerDisconnected();
}

void Exchange::beginEvents(const Headers &headers)
{
    http::response<http::empty_body> response(http::status::ok, httpVersion);
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-cache");
    for (const auto &[name, value] : headers)
        response.set(name, value);
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    record_.status = 200;
    // Goes out with the first events: two writes at once on one socket would mix their bytes.
    unsentHead_ = toWire(response.base());
}

void Exchange::sendEvents(const std::vector<std::string> &events, std::function<void(bool)> done)
{
    if (isOver_) {
        done(false);
        return;
    }
    std::string wire = std::move(unsentHead_);
    unsentHead_.clear();
    bool breaks = false;
    for (const std::string &event : events) {
        if (isBreaking() && eventsSent_ >= fault_->events) {
            // Part of the next event goes out too, so that breaks fall inside an event.
            wire += toChunk(event).substr(0, fault_->bytes);
            breaks = true;
            break;
        }
        wire += toChunk(event);
        ++eventsSent_;
    }
    connection_->write(std::move(wire),
                       [self = shared_from_this(), breaks, done = std::move(done)](bool sent) {
                           if (breaks)
                               self->breakOff();
                           done(sent && !breaks && !self->isOver_);
                       });
}

void Exchange::endEvents()
{
    if (isOver_)
        return;
    connection_->write("0\r\n\r\n", [self = shared_from_this()](bool sent) {
        if (self->isOver_)
            return;
        self->isOver_ = true;
        self->record_.ending = sent ? Ending::Answered : Ending::CallerLeft;
        self->connection_->finish(sent && self->request_.keep_alive());
    });
}

} // namespace cuminrail::standin
