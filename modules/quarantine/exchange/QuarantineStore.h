#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/store/ObjectStore.h"
#include "quarantine/table/QuarantineTable.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Keeps quarantines in the store, for instances that start. Writes are retried until they succeed.

    Not thread-safe. No call blocks.
*/
class QuarantineStore
{
public:
    /** Instances that start together spread their calls over this time. */
    static constexpr Millis jitter = Millis(1000);
    static constexpr Millis initialRetryDelay = Millis(1000);
    static constexpr Millis maxRetryDelay = Millis::seconds(16);

    QuarantineStore(ObjectStore store, Clock clock, RandomHook random, EventSink events);

    /** Called for each quarantine that is read. */
    std::function<void(const Quarantine &quarantine)> onRead;
    /** Returns a quarantine that is in force. */
    std::function<std::optional<Quarantine>(const std::string &id)> find;

    /** Writes a quarantine as soon as possible. */
    void write(const std::string &id) { writes_.emplace(id, PendingWrite()); }
    /** Writes a quarantine again, at a random time soon. */
    void writeAgain(const std::string &id);
    void cancelWrite(const std::string &id) { writes_.erase(id); }
    void remove(const std::string &id);
    /** Starts a read unless one is under way or the last one failed just now. */
    void read();
    /** Returns true once the quarantines in the store are known here. */
    bool isRead() const { return isRead_; }
    /** Another instance sent what the store keeps. */
    void setRead() { isRead_ = true; }
    void tick();

private:
    /** A write that is retried until it succeeds. */
    struct PendingWrite
    {
        Millis nextAt;
        Millis retryDelay = initialRetryDelay;
        bool isInFlight = false;
    };

    void onListed(const StoreReply &reply);
    void onWritten(const std::string &id, StoreStatus status);

    ObjectStore store_;
    Clock clock_;
    RandomHook random_;
    EventSink events_;
    std::map<std::string, PendingWrite> writes_;
    Millis nextReadAt_;
    Millis readRetryDelay_ = initialRetryDelay;
    bool isReading_ = false;
    bool isRead_ = false;
};

} // namespace cuminrail
