#pragma once

#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** Another instance, as it registered itself. */
struct RegisteredInstance
{
    InstanceId instance;
    /** Where it answers other instances; empty where it does not. */
    std::string address;
    /** Where it takes links; empty where it takes none. */
    PeerAddress links;
    std::string failureDomain;
};

/**
    Which instances there are, by entries that they write to the store and refresh.

    Nothing here decides whether an instance lives; the number is needed to divide what all of them
    share, and a few names to take turns. An entry that nobody refreshed for long is left out, and
    removed by whoever notices.
*/
class InstanceRegistry
{
public:
    /** Entries are refreshed and read this often, with many instances less often. */
    static constexpr Millis refreshLeast = Millis::seconds(20);
    static constexpr Millis refreshEach = Millis(300);
    /** An entry that missed so many refreshes, and some seconds, is left out. */
    static constexpr int refreshesMissed = 3;
    static constexpr Millis staleSlack = Millis::seconds(5);
    /** After a failed call, doubled up to the longest. */
    static constexpr Millis firstRetry = Millis::seconds(2);
    static constexpr Millis longestRetry = Millis::seconds(16);

    /** @param startsWithOthers  the whole system starts, so most entries are yet to be written */
    InstanceRegistry(RegisteredInstance self, bool startsWithOthers, ObjectStore store, Clock clock,
                     RandomHook random);

    /** Does what is due; to be called every few hundred milliseconds. */
    void tick();
    /** Removes the own entry, for a planned stop. */
    void leave();

    /** Returns all instances known, this one included. */
    const std::vector<RegisteredInstance> &instances() const { return instances_; }
    std::vector<InstanceId> names() const;
    /** The instances were read when those that start together had registered. */
    bool isSettled() const { return isSettled_; }
    /** Rises each time the instances were read from the store. */
    std::uint64_t revision() const { return revision_; }

private:
    struct Seen
    {
        ObjectVersion version = 0;
        Millis since;
    };

    void refresh(Millis now);
    void list(Millis now);
    void listed(const StoreReply &reply);
    Millis refreshEvery() const;
    /** Returns when a failed call is made again, and doubles the span for the next time. */
    Millis retryAt(Millis &span) const;

    RegisteredInstance self_;
    std::string path_;
    ObjectStore store_;
    Clock clock_;
    RandomHook random_;
    std::vector<RegisteredInstance> instances_;
    std::map<std::string, Seen> seen_;
    std::uint64_t refreshes_ = 0;
    std::uint64_t revision_ = 1;
    bool startsWithOthers_ = false;
    bool isSettled_ = false;
    Millis refreshRetry_ = firstRetry;
    Millis listRetry_ = firstRetry;
    /** Not set before the first call; then when the last one that counts was made. */
    std::optional<Millis> refreshedAt_;
    std::optional<Millis> listedAt_;
    /** Over the common span, as all instances may have started in the same second. */
    Millis listSpread_;
    /** Not before, after a failed call. */
    Millis nextRefresh_;
    Millis nextList_;
    bool isLeaving_ = false;
};

} // namespace cuminrail
