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
    /** How long the store holds a watch open. Short, since an answer counts from its question. */
    Millis wait{1000};
    /** A watch without an answer this long after its wait is given up. */
    Millis margin{2000};
    Millis firstRetry{500};
    Millis longestRetry{10000};
};

struct HeadWatcherHooks
{
    ObjectStore store;
    Clock clock;
    RandomHook random;
    EventSink events;
    /** The store has this head. */
    std::function<void(const std::string &headText)> onHead;
    /** The store had nothing newer than the last head at some time after this instant. */
    std::function<void(Millis querySentAt)> onConfirmed;
};

/**
    Watches settings/head in the store while this instance has that duty.

    A read first, then one watch after the other. A failed call is repeated with a growing,
    randomly spread pause, so that watchers do not return together after an outage. A watch that
    is answered by nobody is replaced: an open connection may have gone silent for good, and the
    settings would stay as they are without anybody noticing.
*/
class HeadWatcher
{
public:
    HeadWatcher(HeadWatcherConfig config, HeadWatcherHooks hooks);
    ~HeadWatcher();
    HeadWatcher(const HeadWatcher &) = delete;
    HeadWatcher &operator=(const HeadWatcher &) = delete;

    /** Goes on watching, or stops when the duty is another's. */
    void tick(bool isOnDuty);

    /** Returns how many calls in a row failed. */
    std::uint32_t failures() const { return failures_; }

private:
    void ask(Millis now);
    void finished(const StoreReply &reply);
    void take(const StoreReply &reply, Millis querySentAt);
    void retryLater(Millis now);

    HeadWatcherConfig config_;
    HeadWatcherHooks hooks_;
    /** Tells a completion that this object is gone. */
    std::shared_ptr<bool> alive_;
    /** Tells a completion that its call was given up, or the duty with it. */
    std::uint64_t currentCall_ = 0;
    bool isWaiting_ = false;
    Millis askedAt_;
    Millis nextAt_;
    ObjectVersion revision_ = 0;
    std::uint32_t failures_ = 0;
};

} // namespace cuminrail
