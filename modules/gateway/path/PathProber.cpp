#include "gateway/path/PathProber.h"

#include <utility>

namespace cuminrail {

void PathProber::connected(const UpstreamEntry &upstream)
{
    const PathState before = path_.state();
    path_.connected(upstream, deadlines_.now());
    update(before);
}

void PathProber::connectFailed(const UpstreamEntry &upstream)
{
    const PathState before = path_.state();
    path_.connectFailed(upstream, deadlines_.now());
    update(before);
}

void PathProber::update(PathState before)
{
    probe();
    const PathState now = path_.state();
    if (now != before && onChange)
        onChange(before);
    if (now == PathState::Doubted)
        return;
    for (const auto &done : std::exchange(waiters_, {}))
        done(now == PathState::Sound);
}

void PathProber::whenJudged(std::function<void(bool)> done)
{
    if (path_.state() != PathState::Doubted)
        return done(path_.state() == PathState::Sound);
    waiters_.push_back(std::move(done));
    path_.probeNow(deadlines_.now());
    update(PathState::Doubted);
}

void PathProber::requestSilent()
{
    const PathState before = path_.state();
    path_.requestSilent();
    update(before);
}

void PathProber::tick()
{
    const Millis now = deadlines_.now();
    const PathState before = path_.state();
    const bool isDue = before == PathState::Sound && now >= nextIdleCheckAt_;
    if (isDue) {
        nextIdleCheckAt_ = now + idleCheckInterval;
        if (pool_.areIdleUnanswered())
            path_.idleSilent();
    }
    update(before);
}

void PathProber::suspectIdle()
{
    const PathState before = path_.state();
    path_.idleSilent();
    update(before);
}

void PathProber::probe()
{
    if (isStopped_)
        return;
    for (const UpstreamPointer &upstream : path_.dueProbes(directory_.all(), deadlines_.now()))
        start(upstream);
}

void PathProber::start(const UpstreamPointer &upstream)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.isProbe = true;
    request.timeouts.connect = connectTimeout;
    UpstreamHooks hooks;
    hooks.onEnd = [this, upstream](const UpstreamEnd &end) {
        if (end.kind == UpstreamEndKind::Complete)
            connected(upstream->entry);
        else
            connectFailed(upstream->entry);
    };
    pool_.start(std::move(request), std::move(hooks));
}

void PathProber::stop()
{
    isStopped_ = true;
    pool_.setIdleLostHandler(nullptr);
    onChange = nullptr;
    waiters_.clear();
}

} // namespace cuminrail
