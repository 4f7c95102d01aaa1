#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/store/ObjectStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cuminrail {

struct HeadWatcherConfig
{
    /**
        How long the store keeps a watch open. Short, because a reply confirms the head only as of
        when its call was sent.
    */
    Millis watchDuration{1000};
    /** A watch without a reply is given up this long after its duration has passed. */
    Millis timeoutMargin{2000};
    Millis firstRetryInterval{500};
    Millis maxRetryInterval{10000};
};

struct HeadWatcherHooks
{
    ObjectStore store;
    Clock clock;
    RandomHook random;
    EventSink events;
    /** The store returned this head. */
    std::function<void(const std::string &headText)> onHead;
    /** At some time after this instant the store had nothing newer than the last head. */
    std::function<void(Millis querySentAt)> onConfirmed;
};

/**
    Watches settings/head in the store while this instance has that duty.

    Reads once, then sends one watch after the other. A failed call is retried after an
    exponentially growing pause with jitter, so that watchers do not return simultaneously after an
    outage. A watch without a reply is replaced, because an open connection may hang indefinitely
    and the settings would stay outdated unnoticed.
*/
class HeadWatcher
{
public:
    HeadWatcher(HeadWatcherConfig config, HeadWatcherHooks hooks);
    ~HeadWatcher();
    HeadWatcher(const HeadWatcher &) = delete;
    HeadWatcher &operator=(const HeadWatcher &) = delete;

    /** Starts or continues watching; stops if this instance is not on duty. */
    void tick(bool isOnDuty);

    /** Returns the number of consecutive failed calls. */
    std::uint32_t failures() const { return failures_; }

private:
    void sendCall(Millis now);
    void finishCall(const StoreReply &reply);
    void handleReply(const StoreReply &reply, Millis querySentAt);
    void retryLater(Millis now);

    HeadWatcherConfig config_;
    HeadWatcherHooks hooks_;
    /** False once this object is destroyed, for completions that are still pending. */
    std::shared_ptr<bool> alive_;
    /**
        Number of the current call; completions of other calls belong to a call that timed out or to
        a duty that ended.
    */
    std::uint64_t currentCall_ = 0;
    bool isWaiting_ = false;
    Millis askedAt_;
    Millis nextAt_;
    ObjectVersion revision_ = 0;
    std::uint32_t failures_ = 0;
};

} // namespace cuminrail
