#include "standin/proxy/ResponseRepeater.h"

#include "runtime/time/BootClock.h"
#include "standin/proxy/HttpFraming.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace cuminrail {

namespace {

/** Small, so that the sender of a large body has to wait for it to be read. */
constexpr int receiveBuffer = 4096;
constexpr int segmentSize = 1400;
/** In which the sender of a body sees what came meanwhile. */
constexpr Millis bodyPause(20);
constexpr std::int64_t longestIdle = 40;
constexpr std::size_t burstBytes = 16384;

/** Whether a second response comes after a while, unless a request comes before. */
bool isTimed(LateMoment when)
{
    return when == LateMoment::WhileIdle || when == LateMoment::AfterPause;
}

} // namespace

struct ResponseRepeater::Link
{
    explicit Link(boost::asio::io_context &io) : caller(io), server(io), timer(io) { }

    Tcp::socket caller;
    Tcp::socket server;
    boost::asio::steady_timer timer;
    std::array<char, 8192> up{};
    std::array<char, 8192> down{};
    /** The bytes of the request that is being read, and the identity of the last one. */
    std::string request;
    std::string requestId;
    /** The bytes of the response until its fault is drawn, and of one that is spoilt. */
    std::string response;
    bool isDrawn = false;
    std::optional<ResponseFault> fault;
    ResponsePlan plan;
    /** Where the response is recorded whose second one is still to come. */
    std::size_t lateIndex = 0;
    std::optional<std::size_t> endlessIndex;
    /** Where it is recorded what came before the connection's first request. */
    std::optional<std::size_t> greetingIndex;
    /** Requests are read and not passed on. */
    bool isUnserved = false;
    std::string output;
    bool isWriting = false;
    bool closesWhenWritten = false;
};

ResponseRepeater::ResponseRepeater(IoThread &thread, std::uint16_t targetPort,
                                   ResponseFaultRates rates, RandomHook random)
    : thread_(thread), targetPort_(targetPort), rates_(std::move(rates)),
      random_(std::move(random)), acceptor_(thread.io())
{
    acceptor_.open(Tcp::v4());
    setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
               sizeof receiveBuffer);
    setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segmentSize,
               sizeof segmentSize);
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
    accept();
}

void ResponseRepeater::accept()
{
    const auto link = std::make_shared<Link>(thread_.io());
    acceptor_.async_accept(link->caller, [this, link](const boost::system::error_code &error) {
        if (error)
            return;
        accept();
        links_.insert(link);
        boost::system::error_code ignored;
        link->caller.set_option(Tcp::no_delay(true), ignored);
        const Tcp::endpoint target(boost::asio::ip::address_v4::loopback(), targetPort_);
        link->server.async_connect(target, [this, link](const boost::system::error_code &failed) {
            if (failed)
                return end(link);
            greet(link);
            readRequest(link);
            readResponse(link);
        });
    });
}

void ResponseRepeater::greet(const LinkPointer &link)
{
    const bool canGreet = std::any_of(rates_.faults.begin(), rates_.faults.end(), isOnConnect);
    if (!canGreet || refusal_.empty())
        return;
    const ResponseFault fault = rates_.faults[random_() % rates_.faults.size()];
    if (!isOnConnect(fault) || random_() % 100 >= rates_.connectionPercent)
        return;
    link->isUnserved = fault == ResponseFault::AnonymousOnConnectUnserved;
    link->greetingIndex = spoilt_.size();
    spoilt_.push_back({bootTime(), fault, {}, {}, {}, {}});
    write(link, refusal_);
}

void ResponseRepeater::readRequest(const LinkPointer &link)
{
    link->caller.async_read_some(
        boost::asio::buffer(link->up),
        [this, link](const boost::system::error_code &error, std::size_t size) {
            if (error)
                return end(link);
            onRequest(link, size);
        });
}

void ResponseRepeater::onRequest(const LinkPointer &link, std::size_t size)
{
    if (link->request.empty()) {
        link->isDrawn = false;
        link->fault.reset();
        link->response.clear();
    }
    link->request.append(link->up.data(), size);
    if (isTimed(link->plan.when))
        link->plan = {};
    if (headLength(link->request) > 0)
        link->requestId = headerValue(link->request, "Request-Id");
    if (link->greetingIndex && !link->requestId.empty())
        spoilt_[*std::exchange(link->greetingIndex, std::nullopt)].requestId = link->requestId;
    const bool isWhole = messageLength(link->request) > 0;
    const bool isLateDue = isSecondDue(*link, isWhole);
    if (isWhole)
        link->request.clear();
    if (!isLateDue)
        return forwardRequest(link, size);
    sendLate(link);
    if (isWhole)
        return forwardRequest(link, size);
    after(link, bodyPause, [this, link, size] { forwardRequest(link, size); });
}

bool ResponseRepeater::isSecondDue(const Link &link, bool isRequestWhole) const
{
    switch (link.plan.when) {
    case LateMoment::BeforeNext:
        return isRequestWhole;
    case LateMoment::InNextBody:
        return !isRequestWhole && headLength(link.request) > 0;
    case LateMoment::OfResent:
        return isRequestWhole && spoilt_[link.lateIndex].requestId == link.requestId;
    default:
        return false;
    }
}

void ResponseRepeater::forwardRequest(const LinkPointer &link, std::size_t size)
{
    if (link->isUnserved)
        return readRequest(link);
    boost::asio::async_write(link->server, boost::asio::buffer(link->up, size),
                             [this, link](const boost::system::error_code &error, std::size_t) {
                                 if (error)
                                     return end(link);
                                 readRequest(link);
                             });
}

void ResponseRepeater::readResponse(const LinkPointer &link)
{
    link->server.async_read_some(
        boost::asio::buffer(link->down),
        [this, link](const boost::system::error_code &error, std::size_t size) {
            if (!error)
                return onResponse(link, size);
            if (link->endlessIndex)
                return;
            link->closesWhenWritten = true;
            write(link, std::exchange(link->response, {}));
        });
}

void ResponseRepeater::onResponse(const LinkPointer &link, std::size_t size)
{
    link->response.append(link->down.data(), size);
    if (!link->isDrawn && headLength(link->response) > 0) {
        link->isDrawn = true;
        link->fault = draw(link->response);
        const bool isRefusal = canSpoil(ResponseFault::Anonymous, link->response);
        if (isRefusal && messageLength(link->response) == link->response.size())
            refusal_ = anonymous(link->response);
    }
    if (link->fault && messageLength(link->response) > 0)
        spoil(link);
    else if (link->isDrawn && !link->fault)
        write(link, std::exchange(link->response, {}));
    readResponse(link);
}

std::optional<ResponseFault> ResponseRepeater::draw(const std::string &head)
{
    const ResponseFault fault = rates_.faults[random_() % rates_.faults.size()];
    const unsigned percent = isRefusalFault(fault) ? 100
        : isEndless(fault)                         ? rates_.endlessPercent
                                                   : rates_.percent;
    const bool isSpoilt =
        random_() % 100 < percent && canSpoil(fault, head) && !lacksRefusal(fault);
    return isSpoilt ? std::optional(fault) : std::nullopt;
}

bool ResponseRepeater::lacksRefusal(ResponseFault fault) const
{
    return fault == ResponseFault::AnonymousAfterInterim && refusal_.empty();
}

void ResponseRepeater::spoil(const LinkPointer &link)
{
    const ResponseFault fault = *std::exchange(link->fault, std::nullopt);
    const std::string response = std::exchange(link->response, {});
    link->plan = planFor(fault, response, random_(), refusal_);
    link->lateIndex = spoilt_.size();
    spoilt_.push_back({bootTime(), fault, link->requestId, {}, {}, {}});
    link->closesWhenWritten = link->plan.closes;
    if (!link->plan.unit.empty())
        link->endlessIndex = link->lateIndex;
    write(link, link->plan.now);
    if (!isTimed(link->plan.when))
        return;
    const Millis idle(1 + static_cast<std::int64_t>(random_() % longestIdle));
    after(link, idle, [this, link] {
        if (isTimed(link->plan.when))
            sendLate(link);
    });
}

void ResponseRepeater::sendLate(const LinkPointer &link)
{
    SpoiltResponse &spoilt = spoilt_[link->lateIndex];
    spoilt.lateAt = bootTime();
    if (!isTimed(link->plan.when))
        spoilt.nextRequestId = link->requestId;
    link->plan.when = LateMoment::Never;
    write(link, std::exchange(link->plan.late, {}));
}

void ResponseRepeater::write(const LinkPointer &link, const std::string &bytes)
{
    link->output += bytes;
    if (link->isWriting)
        return;
    link->isWriting = true;
    const auto output = std::make_shared<std::string>(std::exchange(link->output, {}));
    boost::asio::async_write(
        link->caller, boost::asio::buffer(*output),
        [this, link, output](const boost::system::error_code &error, std::size_t) {
            link->isWriting = false;
            if (error)
                return end(link);
            onWritten(link);
        });
}

void ResponseRepeater::onWritten(const LinkPointer &link)
{
    if (!link->output.empty())
        return write(link, {});
    if (link->closesWhenWritten)
        return end(link);
    if (!link->endlessIndex)
        return;
    if (link->plan.interval > Millis())
        return after(link, link->plan.interval, [this, link] { write(link, link->plan.unit); });
    std::string burst;
    while (burst.size() < burstBytes)
        burst += link->plan.unit;
    write(link, burst);
}

void ResponseRepeater::after(const LinkPointer &link, Millis span, std::function<void()> function)
{
    link->timer.expires_after(std::chrono::milliseconds(span.count()));
    link->timer.async_wait(
        [this, link, function = std::move(function)](const boost::system::error_code &error) {
            if (!error && links_.count(link) > 0)
                function();
        });
}

void ResponseRepeater::end(const LinkPointer &link)
{
    if (links_.erase(link) == 0)
        return;
    if (link->endlessIndex)
        spoilt_[*link->endlessIndex].closedAt = bootTime();
    boost::system::error_code ignored;
    link->timer.cancel();
    link->caller.close(ignored);
    link->server.close(ignored);
}

void ResponseRepeater::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto links = links_;
    for (const auto &link : links)
        end(link);
}

} // namespace cuminrail
