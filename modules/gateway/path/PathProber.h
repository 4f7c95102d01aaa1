#pragma once

#include "dataplane/path/UpstreamPath.h"
#include "net/upstream/UpstreamPool.h"
#include "runtime/time/DeadlineList.h"

#include <functional>
#include <vector>

namespace cuminrail {

/** Watches the path of this instance to all upstreams, and probes upstreams when it is in doubt. */
class PathProber
{
public:
    /** Time-out for establishing a connection to an upstream. */
    static constexpr Millis connectTimeout = Millis(250);
    /** Interval at which idle connections are looked at. */
    static constexpr Millis idleCheckInterval = Millis(500);

    PathProber(UpstreamPool &pool, DeadlineList &deadlines, const UpstreamDirectory &directory,
               RandomHook random)
        : pool_(pool), deadlines_(deadlines), directory_(directory), path_(std::move(random))
    {
        pool_.setIdleLostHandler([this] { suspectIdle(); });
    }

    /** Called after each change of the state, with the state before. */
    std::function<void(PathState before)> onChange;

    PathState state() const { return path_.state(); }
    bool isCut() const { return path_.isCut(); }

    void connected(const UpstreamEntry &upstream);
    void connectFailed(const UpstreamEntry &upstream);
    void heldConnection(const UpstreamEntry &upstream) { path_.heldConnection(upstream); }
    void requestSent() { path_.requestSent(deadlines_.now()); }
    void progressed() { path_.progressed(); }
    /** The time in which a response should have begun is over. */
    void requestSilent();
    /** Calls back once it is known whether the path is sound; probes upstreams if it is in doubt.
     */
    void whenJudged(std::function<void(bool isSound)> done);
    /** Starts probes that are due; to be called about ten times a second. */
    void tick();
    /** Forgets all callbacks. */
    void stop();

private:
    void suspectIdle();
    void probe();
    void start(const UpstreamPointer &upstream);
    /** Probes upstreams, and reports the state if it is another one than before. */
    void update(PathState before);

    UpstreamPool &pool_;
    DeadlineList &deadlines_;
    const UpstreamDirectory &directory_;
    UpstreamPath path_;
    std::vector<std::function<void(bool)>> waiters_;
    Millis nextIdleCheckAt_;
    bool isStopped_ = false;
};

} // namespace cuminrail
