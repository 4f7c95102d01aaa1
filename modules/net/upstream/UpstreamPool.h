#pragma once

#include "net/stream/ByteStream.h"
#include "net/upstream/ResponseBudget.h"
#include "net/upstream/StrayResponse.h"
#include "net/upstream/UpstreamCall.h"
#include "runtime/time/DeadlineList.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cuminrail {

/** The points of an attempt at which a test can inject a fault. */
enum class SendPoint : std::uint8_t {
    BeforeConnect,
    BeforeFirstByte,
    /** The request is partly written. */
    AfterPart,
    AfterLastByte,
    AfterResponseHead,
    BeforeReuse,
};

inline constexpr NameTable<SendPoint, 6> sendPointNames{{{
    {SendPoint::BeforeConnect, "before-connect"},
    {SendPoint::BeforeFirstByte, "before-first-byte"},
    {SendPoint::AfterPart, "after-part"},
    {SendPoint::AfterLastByte, "after-last-byte"},
    {SendPoint::AfterResponseHead, "after-answer-head"},
    {SendPoint::BeforeReuse, "before-reuse"},
}}};

/** Returns true to cut the connection of this request at this point. For tests. */
using SendFaultHook = std::function<bool(SendPoint, const UpstreamRequest &)>;

struct UpstreamPoolLimits
{
    /** Maximum number of idle connections for each address. */
    std::size_t idlePerAddress = 64;
    /** Short, as a middlebox may drop the state of a connection that is idle for long. */
    Millis idleTimeout = Millis::seconds(20);
    std::uint32_t responseHeadBytes = 16 * 1024;
    /** For what is kept of all responses while they arrive. */
    std::size_t responseBytes = std::numeric_limits<std::size_t>::max();
    /** TCP keep-alive, in whole seconds: time without traffic before the first probe, then
     * interval.
     */
    Millis probeAfter = Millis::seconds(1);
    Millis probeEvery = Millis::seconds(1);
    /**
        How long sent bytes, or a keep-alive probe, may stay unacknowledged before the kernel closes
        the connection. For probes the kernel counts from the last byte received, and it ignores the
        number of probes.
    */
    Millis unacknowledged = Millis::seconds(5);

    /** Returns how long the other end may be silent without the connection being closed. */
    Millis toleratedSilence() const;
};

/**
    Connections of one thread to engines and services, each used by one request at a time.

    A response is its request's if it bears an identity that was sent once on its connection, or if
    the connection has carried no other request. A connection is reused only after a complete,
    well-framed response that bore its identity, with no bytes after it. Anything else closes it,
    since later bytes on such a connection could be mistaken for the next caller's response.
*/
class UpstreamPool
{
public:
    UpstreamPool(boost::asio::io_context &io, DeadlineList &deadlines,
                 UpstreamPoolLimits limits = {});
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /** Starts an attempt. Hooks are never called from within this call. */
    UpstreamCall start(UpstreamRequest request, UpstreamHooks hooks);

    void setFaultHook(SendFaultHook hook) { faultHook_ = std::move(hook); }

    /** Sets a hook that is called when an idle connection ends by anything but an orderly close. */
    void setIdleLostHandler(std::function<void()> handler) { idleLost_ = std::move(handler); }
    /** Sets a hook that is called for bytes that are not the response to their request. */
    void setStrayHandler(std::function<void(const StrayResponse &)> handler)
    {
        strayFound_ = std::move(handler);
    }
    /**
        Returns true if the other ends of idle connections do not answer keep-alive probes: of all
        that are looked at, one for each of a few addresses.
    */
    bool areIdleUnanswered() const;

    /** Ends all connections and attempts at once, without calling onEnd. */
    void closeAll();

    /** What is kept of responses; those who buffer a response count their part in it, too. */
    ResponseBudget &responses() { return responses_; }

    /** Returns the number of idle connections. */
    std::size_t idleConnections() const;
    std::size_t openConnections() const { return open_.size(); }

private:
    friend class detail::UpstreamConnection;
    using Connection = std::shared_ptr<detail::UpstreamConnection>;

    Connection takeIdle(const UpstreamRequest &request);
    void keepIdle(const Connection &connection);
    void removeConnection(const Connection &connection);
    void noteIdleLost() const;
    void noteStray(const StrayResponse &stray) const;
    bool isCutAt(SendPoint point, const UpstreamRequest &request) const;

    boost::asio::io_context &io_;
    DeadlineList &deadlines_;
    UpstreamPoolLimits limits_;
    ResponseBudget responses_;
    SendFaultHook faultHook_;
    std::function<void()> idleLost_;
    std::function<void(const StrayResponse &)> strayFound_;
    std::unordered_map<std::string, std::vector<Connection>> idle_;
    std::unordered_set<Connection> open_;
};

} // namespace cuminrail
