#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace cuminrail {

namespace detail {
class UpstreamConnection;
}

/**
    Maximum times without progress of an upstream. Progress is a whole part of the response: some
    bytes of its body, or one line or group of lines around it.
*/
struct UpstreamTimeouts
{
    Millis connect = Millis::seconds(1);
    /** From the request's last byte to the response's first byte. */
    Millis firstByte = Millis::seconds(30);
    /** Between bytes sent of the request, and between parts received of the response. */
    Millis stall = Millis::seconds(10);
    /** For the whole call, however much progress it makes. */
    Millis total = Millis::never();
};

/** One attempt to send a request to an upstream. */
struct UpstreamRequest
{
    /** "10.0.1.4:8000" */
    std::string address;
    /** The complete request as sent over the wire. */
    std::string wire;
    /** Expected value of the response's identity header. */
    std::string requestId;
    /**
        The header in which an upstream echoes the request's identity. Empty for a request that
        carries none: it gets a connection that has carried no other request.
    */
    std::string identityHeader = "X-Request-Id";
    /**
        True for engines, which guarantee the echo. Without it a response may omit the identity if
        its connection has carried no other request.
    */
    bool isEchoRequired = true;
    /** A response to HEAD has no body. */
    bool isHead = false;
    /** Opens a new connection; for calls that must not be retried. */
    bool needsFreshConnection = false;
    /** Sends nothing: checks that a connection can be made, and keeps it for later requests. */
    bool isProbe = false;
    /** Maximum idle time of a reused connection; middleboxes drop the state of older ones. */
    Millis maxIdleTime = Millis::never();
    /** Accepts a response delimited only by an orderly connection close. */
    bool allowsEndByClose = false;
    /** A response with a longer body is malformed. */
    std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max();
    UpstreamTimeouts timeouts;
};

enum class UpstreamEndKind : std::uint8_t {
    /** The response is complete. */
    Complete,
    ConnectFailed,
    ConnectTimeout,
    /** The connection broke, or its end truncated the response. */
    Broken,
    /** No progress within the time-out. */
    Silent,
    /** The bytes are not a valid response. */
    Malformed,
    /** The response belongs to another request, or does not show that it belongs to this one. */
    WrongIdentity,
    /** Another response begins inside the body: the upstream sent the first one short. */
    Spliced,
    Cancelled,
};

inline constexpr NameTable<UpstreamEndKind, 9> upstreamEndKindNames{{{
    {UpstreamEndKind::Complete, "complete"},
    {UpstreamEndKind::ConnectFailed, "connect-failed"},
    {UpstreamEndKind::ConnectTimeout, "connect-timeout"},
    {UpstreamEndKind::Broken, "broken"},
    {UpstreamEndKind::Silent, "silent"},
    {UpstreamEndKind::Malformed, "malformed"},
    {UpstreamEndKind::WrongIdentity, "wrong-identity"},
    {UpstreamEndKind::Spliced, "spliced"},
    {UpstreamEndKind::Cancelled, "cancelled"},
}}};

/** How an attempt ended. */
struct UpstreamEnd
{
    UpstreamEndKind kind = UpstreamEndKind::Complete;
    /** NotRun only if not a byte of the request was written to a socket. */
    Verdict verdict = Verdict::Ran;
    Reason lastReason;
    /** Only the end of the connection showed that the response is complete. */
    bool isDelimitedByClose = false;
    /** Number of requests that the connection has carried, this one included. */
    std::size_t connectionRequests = 0;
};

/** Callbacks of an attempt, on its pool's thread; onEnd is called last and exactly once. */
struct UpstreamHooks
{
    /** A new connection was established; not called for one that is used again. */
    std::function<void()> onConnected;
    std::function<void(HttpHead &)> onHead;
    /**
        Optional. A head without an identity came where the response was expected, on a connection
        that has carried other requests. It is the upstream's word, but answers nothing; the attempt
        ends after it.
    */
    std::function<void(const HttpHead &)> onUnidentifiedHead = {};
    std::function<void(std::string_view)> onBody;
    std::function<void(const UpstreamEnd &)> onEnd;
};

/**
    Handle of an attempt in progress; has no effect once the attempt has ended, even when its
    connection serves another request by then. Confined to its pool's thread.
*/
class UpstreamCall
{
public:
    UpstreamCall() = default;
    UpstreamCall(std::shared_ptr<detail::UpstreamConnection> connection, std::uint64_t attempt);

    /** Stops reading the response: backpressure on the upstream for a slow caller. */
    void pause();
    void resume();
    /** Ends the attempt and closes its connection at once; onEnd is not called. */
    void cancel();
    /** Returns whether the request may have run, judging by the bytes written so far. */
    Verdict verdictSoFar() const;
    /** Returns false once onEnd was called or the attempt was cancelled. */
    bool isActive() const;

private:
    std::shared_ptr<detail::UpstreamConnection> connection_;
    std::uint64_t attempt_ = 0;
};

} // namespace cuminrail
