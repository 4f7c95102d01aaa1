#pragma once

#include "net/stream/ByteStream.h"
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

/** The points of an attempt at which a fault can strike. */
enum class SendPoint : std::uint8_t {
    BeforeConnect,
    BeforeFirstByte,
    /** The request is partly written. */
    AfterPart,
    AfterLastByte,
    AfterAnswerHead,
    BeforeReuse,
};

inline constexpr NameTable<SendPoint, 6> sendPointNames{{{
    {SendPoint::BeforeConnect, "before-connect"},
    {SendPoint::BeforeFirstByte, "before-first-byte"},
    {SendPoint::AfterPart, "after-part"},
    {SendPoint::AfterLastByte, "after-last-byte"},
    {SendPoint::AfterAnswerHead, "after-answer-head"},
    {SendPoint::BeforeReuse, "before-reuse"},
}}};

/** Returns true to cut the connection of this request at this point. For tests. */
using SendFaultHook = std::function<bool(SendPoint, const UpstreamRequest &)>;

struct UpstreamPoolLimits
{
    /** Connections kept for each address while nobody uses them. */
    std::size_t idlePerAddress = 64;
    /** Short, as a connection that lay idle for long may have been forgotten on the way. */
    Millis idleTimeout = Millis::seconds(20);
    std::uint32_t answerHeadBytes = 16 * 1024;
    /** Silence after which the kernel asks whether the other end is still there, and how often. */
    Millis probeAfter = Millis::seconds(5);
    Millis probeEvery = Millis::seconds(2);
    int probes = 3;
    /** How long sent bytes may stay without acknowledgement before the kernel gives up. */
    Millis unacknowledged = Millis::seconds(6);
};

/**
    Connections to engines and services from one thread, each used by one request at a time.

    A connection is used again only after a whole, well-framed answer with the right identity and
    nothing after it. Whatever else happens closes it for good, since what comes later on such a
    connection could be taken for the next caller's answer.
*/
class UpstreamPool
{
public:
    UpstreamPool(boost::asio::io_context &io, DeadlineList &deadlines,
                 UpstreamPoolLimits limits = {});
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /** Starts an attempt. Hooks are never called from inside this call. */
    UpstreamCall start(UpstreamRequest request, UpstreamHooks hooks);

    void setFaultHook(SendFaultHook hook) { faultHook_ = std::move(hook); }

    /** Ends all connections and attempts at once, without a report. */
    void closeAll();

    /** Returns how many connections wait to be used again. */
    std::size_t idleConnections() const;
    std::size_t openConnections() const { return open_.size(); }

private:
    friend class detail::UpstreamConnection;
    using Connection = std::shared_ptr<detail::UpstreamConnection>;

    Connection takeIdle(const UpstreamRequest &request);
    void keepIdle(const Connection &connection);
    void forget(const Connection &connection);
    bool isCutAt(SendPoint point, const UpstreamRequest &request) const;

    boost::asio::io_context &io_;
    DeadlineList &deadlines_;
    UpstreamPoolLimits limits_;
    SendFaultHook faultHook_;
    std::unordered_map<std::string, std::vector<Connection>> idle_;
    std::unordered_set<Connection> open_;
};

} // namespace cuminrail
