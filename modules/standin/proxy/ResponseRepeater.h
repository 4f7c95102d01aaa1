#pragma once

#include "core/random/Random.h"
#include "runtime/threads/IoThread.h"
#include "standin/proxy/ResponsePlan.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/** A response that was spoilt. */
struct SpoiltResponse
{
    Millis at;
    ResponseFault fault = ResponseFault::SecondAtOnce;
    std::string requestId;
    /** When its second response was sent later, and the request in whose place it came. */
    std::optional<Millis> lateAt;
    std::string nextRequestId;
    /** When the other end closed the connection. */
    std::optional<Millis> closedAt;
};

/** How often responses are spoilt. */
struct ResponseFaultRates
{
    std::vector<ResponseFault> faults;
    /** Percent of the responses that have an end and are no refusals; refusals are all spoilt. */
    unsigned percent = 10;
    unsigned endlessPercent = 2;
    /** Percent of the connections, for faults that come when one opens. */
    unsigned connectionPercent = 30;
};

/**
    A loopback proxy in front of one server, through which responses come twice, cut short and
   filled up by the second one, or without end.

    Confined to its event loop's thread.
*/
class ResponseRepeater
{
public:
    ResponseRepeater(IoThread &thread, std::uint16_t targetPort, ResponseFaultRates rates,
                     RandomHook random);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** Returns what was spoilt. A second response whose moment never came has no time. */
    const std::vector<SpoiltResponse> &spoilt() const { return spoilt_; }
    void close();

private:
    using Tcp = boost::asio::ip::tcp;
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;

    void accept();
    /** Sends what comes before any request, if anything does. */
    void greet(const LinkPointer &link);
    void readRequest(const LinkPointer &link);
    void onRequest(const LinkPointer &link, std::size_t size);
    /** Whether the moment of the second response has come, as part of a request was read. */
    bool isSecondDue(const Link &link, bool isRequestWhole) const;
    void forwardRequest(const LinkPointer &link, std::size_t size);
    void readResponse(const LinkPointer &link);
    void onResponse(const LinkPointer &link, std::size_t size);
    /** Returns the fault for a response with this head, if any. */
    std::optional<ResponseFault> draw(const std::string &head);
    void spoil(const LinkPointer &link);
    /** Whether a fault needs another request's refusal, and none has been seen yet. */
    bool lacksRefusal(ResponseFault fault) const;
    void sendLate(const LinkPointer &link);
    void write(const LinkPointer &link, const std::string &bytes);
    void onWritten(const LinkPointer &link);
    /** Calls a function later, unless the link's timer is needed for something else by then. */
    void after(const LinkPointer &link, Millis span, std::function<void()> function);
    void end(const LinkPointer &link);

    IoThread &thread_;
    std::uint16_t targetPort_;
    ResponseFaultRates rates_;
    RandomHook random_;
    Tcp::acceptor acceptor_;
    std::set<LinkPointer> links_;
    std::vector<SpoiltResponse> spoilt_;
    /** The last refusal, without its identity. */
    std::string refusal_;
};

} // namespace cuminrail
