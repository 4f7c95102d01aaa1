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
    const bool isSilent = isWaiting_ && now >= askedAt_ + config_.wait + config_.margin;
    if (isSilent && guardEnabled(Guard::SilentWatchReplaced)) {
        ++currentCall_;
        isWaiting_ = false;
        hooks_.events(Event{&events::watchReplaced,
                            {{"waited_ms", std::to_string((now - askedAt_).count())}}});
        retryLater(now);
    }
    if (!isWaiting_ && now >= nextAt_)
        ask(now);
}

void HeadWatcher::ask(Millis now)
{
    isWaiting_ = true;
    askedAt_ = now;
    const std::uint64_t call = ++currentCall_;
    const auto done = [this, call, now, alive = alive_](const StoreReply &reply) {
        if (!*alive)
            return;
        // What a slow store says late is true all the same; only its call is no longer waited for.
        if (currentCall_ == call)
            finished(reply);
        take(reply, now);
    };
    if (revision_ == 0)
        hooks_.store.get(kSettingsHeadPath, done);
    else
        hooks_.store.watch(kSettingsHeadPath, revision_, config_.wait, done);
}

void HeadWatcher::finished(const StoreReply &reply)
{
    isWaiting_ = false;
    const Millis now = hooks_.clock.now();
    const bool isAnswer = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
    if (!isAnswer) {
        retryLater(now);
        return;
    }
    failures_ = 0;
    // A head that is not there yet is looked for again after a pause, not at once.
    nextAt_ = reply.status == StoreStatus::NotFound ? now + config_.firstRetry : now;
}

void HeadWatcher::take(const StoreReply &reply, Millis querySentAt)
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
    const std::int64_t doubled = config_.firstRetry.count()
        << std::min<std::uint32_t>(failures_, 8);
    const std::int64_t pause = std::min(doubled, config_.longestRetry.count());
    ++failures_;
    const auto spread = static_cast<std::int64_t>(hooks_.random() % std::uint64_t(pause));
    nextAt_ = now + Millis(pause / 2 + spread / 2);
}

} // namespace cuminrail
