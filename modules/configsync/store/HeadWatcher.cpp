#include "configsync/store/HeadWatcher.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "settings/head/SettingsHead.h"

#include <algorithm>

namespace cuminrail {

HeadWatcher::HeadWatcher(HeadWatcherConfig config, HeadWatcherHooks hooks)
    : config_(config), hooks_(std::move(hooks)), alive_(std::make_shared<bool>(true))
{ }

HeadWatcher::~HeadWatcher()
{
    *alive_ = false;
}

void HeadWatcher::tick(bool isOnDuty)
{
    const Millis now = hooks_.clock.now();
    if (!isOnDuty) {
        ++currentCall_;
        isWaiting_ = false;
        return;
    }
    const bool isTimedOut =
        isWaiting_ && now >= askedAt_ + config_.watchDuration + config_.timeoutMargin;
    if (isTimedOut && guardEnabled(Guard::SilentWatchReplaced)) {
        ++currentCall_;
        isWaiting_ = false;
        hooks_.events(Event{&events::watchReplaced,
                            {{"waited_ms", std::to_string((now - askedAt_).count())}}});
        retryLater(now);
    }
    if (!isWaiting_ && now >= nextAt_)
        sendCall(now);
}

void HeadWatcher::sendCall(Millis now)
{
    isWaiting_ = true;
    askedAt_ = now;
    const std::uint64_t call = ++currentCall_;
    const auto done = [this, call, now, alive = alive_](const StoreReply &reply) {
        if (!*alive)
            return;
        // A late reply of a slow store is still correct; only the call is no longer pending.
        if (currentCall_ == call)
            finishCall(reply);
        handleReply(reply, now);
    };
    if (revision_ == 0)
        hooks_.store.get(kSettingsHeadPath, done);
    else
        hooks_.store.watch(kSettingsHeadPath, revision_, config_.watchDuration, done);
}

void HeadWatcher::finishCall(const StoreReply &reply)
{
    isWaiting_ = false;
    const Millis now = hooks_.clock.now();
    const bool isAnswer = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
    if (!isAnswer) {
        retryLater(now);
        return;
    }
    failures_ = 0;
    // A head that does not exist yet is read again after a pause, not immediately.
    nextAt_ = reply.status == StoreStatus::NotFound ? now + config_.firstRetryInterval : now;
}

void HeadWatcher::handleReply(const StoreReply &reply, Millis querySentAt)
{
    if (reply.status != StoreStatus::Ok)
        return;
    revision_ = std::max(revision_, reply.version);
    for (const StoreObject &object : reply.objects) {
        if (object.path == kSettingsHeadPath && !object.removed)
            hooks_.onHead(object.value);
    }
    hooks_.onConfirmed(querySentAt);
}

void HeadWatcher::retryLater(Millis now)
{
    const std::int64_t backoff = config_.firstRetryInterval.count()
        << std::min<std::uint32_t>(failures_, 8);
    const std::int64_t pause = std::min(backoff, config_.maxRetryInterval.count());
    ++failures_;
    const auto jitter = static_cast<std::int64_t>(hooks_.random() % std::uint64_t(pause));
    nextAt_ = now + Millis(pause / 2 + jitter / 2);
}

} // namespace cuminrail
