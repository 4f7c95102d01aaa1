#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminrail {

namespace detail {
class UpstreamConnection;
}

/** How long an upstream may go without progress. */
struct UpstreamTimeouts
{
    Millis connect = Millis::seconds(1);
    /** From the request's last byte to the answer's first. */
    Millis firstByte = Millis::seconds(30);
    /** Between bytes of the request's sending, and of the answer. */
    Millis stall = Millis::seconds(10);
};

/** One attempt to have an upstream run a request. */
struct UpstreamRequest
{
    /** "10.0.1.4:8000" */
    std::string address;
    /** The whole request as it goes over the wire. */
    std::string wire;
    /** What the answer's identity header must be. */
    std::string requestId;
    /** The header in which an upstream repeats the request's identity. */
    std::string identityHeader = "X-Request-Id";
    /** True for engines, which promise the echo; services may leave the header out. */
    bool isEchoRequired = true;
    /** An answer to HEAD has no body. */
    bool isHead = false;
    /** For calls that may not be repeated: opens a connection of their own. */
    bool needsFreshConnection = false;
    /** Sends nothing: only asks whether a connection can be made, and keeps it for later requests.
     */
    bool isProbe = false;
    /** Uses no kept connection that lay idle for longer: it may have been forgotten on the way. */
    Millis longestIdle = Millis::never();
    /** Takes an answer whose end is marked by the connection's orderly end alone. */
    bool allowsEndByClose = false;
    UpstreamTimeouts timeouts;
};

enum class UpstreamEndKind : std::uint8_t {
    /** The answer is whole. */
    Complete,
    ConnectFailed,
    ConnectTimeout,
    /** The connection broke, or a truncated answer ended with it. */
    Broken,
    /** No progress within the time allowed. */
    Silent,
    /** The bytes are no acceptable answer. */
    Malformed,
    /** The answer belongs to another request. */
    WrongIdentity,
    Cancelled,
};

inline constexpr NameTable<UpstreamEndKind, 8> upstreamEndKindNames{{{
    {UpstreamEndKind::Complete, "complete"},
    {UpstreamEndKind::ConnectFailed, "connect-failed"},
    {UpstreamEndKind::ConnectTimeout, "connect-timeout"},
    {UpstreamEndKind::Broken, "broken"},
    {UpstreamEndKind::Silent, "silent"},
    {UpstreamEndKind::Malformed, "malformed"},
    {UpstreamEndKind::WrongIdentity, "wrong-identity"},
    {UpstreamEndKind::Cancelled, "cancelled"},
}}};

/** How an attempt ended. */
struct UpstreamEnd
{
    UpstreamEndKind kind = UpstreamEndKind::Complete;
    /** NotRun only if not a byte of the request was written to a socket. */
    Verdict verdict = Verdict::Ran;
    Reason lastReason;
};

/** What an attempt reports, on its pool's thread; onEnd comes last and exactly once. */
struct UpstreamHooks
{
    std::function<void(HttpHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(const UpstreamEnd &)> onEnd;
};

/**
    A handle on an attempt under way; does nothing any more once the attempt has ended, even when
    its connection serves another request by then. Belongs to its pool's thread.
*/
class UpstreamCall
{
public:
    UpstreamCall() = default;
    UpstreamCall(std::shared_ptr<detail::UpstreamConnection> connection, std::uint64_t attempt);

    /** Stops reading the answer, so that the upstream has to wait for a slow caller. */
    void pause();
    void resume();
    /** Ends the attempt and its connection at once; onEnd is not called any more. */
    void cancel();
    /** Returns whether the request may have run by what has been written so far. */
    Verdict verdictSoFar() const;
    /** Returns false once onEnd was called or the attempt was cancelled. */
    bool isActive() const;

private:
    std::shared_ptr<detail::UpstreamConnection> connection_;
    std::uint64_t attempt_ = 0;
};

} // namespace cuminrail
