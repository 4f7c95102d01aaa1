#pragma once

#include "net/upstream/UpstreamPool.h"
#include "platform/client/PlatformCall.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace cuminrail {

struct PlatformClientOptions
{
    /** Goes along as X-Instance; the platform's logs and tests tell callers by it. */
    std::string instance;
    /** False for platforms that know neither that header nor the call's identity. */
    bool namesItself = true;
    Millis connectTimeout{1000};
    /** Without progress for so long, or begun and not whole for so long, a call counts as lost. */
    Millis answerTimeout = Millis::seconds(3);
    /** Longer answers are dropped as malformed. */
    std::size_t maxAnswerBytes = 64U << 20U;
    /** The same for answers of engines. */
    std::size_t maxEngineAnswerBytes = 256U << 10U;
};

/**
    How long bytes under authority may still be on their way after the authority's end.

    The last write happens before notAfter. From then on the kernel alone holds the bytes; it gives
    up resending them after this time, also while the process is paused. An upstream that does not
    check fences can therefore get an order at most this much late, plus what its own side takes
    from arrival to effect. A successor waits longer than this before it settles what is
   outstanding.
*/
inline constexpr Millis maxAuthoritySendInFlight = Millis::seconds(1);

/**
    HTTP calls of the control thread: to the platform, and to engines' control interfaces.

    Few connections, kept only after whole answers, and replaced by progress time-outs rather than
    TCP's. All members are used on the thread of the event loop but callCount(), which any may use.
    Completions come exactly once, never from inside call(), and not any more after destruction.
*/
class PlatformClient
{
public:
    PlatformClient(boost::asio::io_context &io, DeadlineList &deadlines,
                   PlatformClientOptions options);
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void call(const PlatformCall &call, PlatformCompletion done);
    /** Told of each call that ended, whether by a whole answer, and how long it took. */
    using Observer = std::function<void(PlatformCallKind kind, bool wasAnswered, Millis took)>;
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    /** Sets a hook that is called for bytes that are not the answer to their call. */
    void setStrayHandler(const std::function<void(const StrayResponse &)> &handler)
    {
        pool_.setStrayHandler(handler);
        authorityPool_.setStrayHandler(handler);
    }
    /** Runs a function on the event loop after a while, unless this object is gone by then. */
    void later(Millis wait, std::function<void()> function);
    /** Ends all calls at once, without a report. */
    void closeAll();

    /** Returns how many calls of a kind were begun. */
    std::uint64_t callCount(PlatformCallKind kind) const
    {
        return counts_[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
    }

    /** Answers a call on the event loop without sending anything. */
    void refuse(Reason reason, PlatformCompletion done);

private:
    struct Pending;

    UpstreamRequest toRequest(const PlatformCall &call);
    std::string toWire(const PlatformCall &call, const std::string &requestId) const;
    static UpstreamHooks makeHooks(const std::shared_ptr<Pending> &pending);
    void startUnderAuthority(UpstreamRequest request, const std::shared_ptr<Pending> &pending,
                             Millis notAfter);
    bool isAuthorityOver(const UpstreamRequest &request) const;

    boost::asio::io_context &io_;
    DeadlineList &deadlines_;
    PlatformClientOptions options_;
    Observer observer_;
    std::uint64_t numbers_ = 0;
    std::array<std::atomic<std::uint64_t>, platformCallKindCount> counts_{};
    /** Ends of authority of the calls under way, by request identity. */
    std::unordered_map<std::string, Millis> authorities_;
    UpstreamPool pool_;
    UpstreamPool authorityPool_;
    /** Tells functions that wait whether this object is still there. */
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cuminrail
