#pragma once

#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <map>
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
    static constexpr Millis refreshEvery = Millis::seconds(20);
    /** Three refreshes missed. */
    static constexpr Millis staleAfter = Millis::seconds(65);

    InstanceRegistry(RegisteredInstance self, ObjectStore store, Clock clock, RandomHook random);

    /** Does what is due; to be called every few hundred milliseconds. */
    void tick();
    /** Removes the own entry, for a planned stop. */
    void leave();

    /** Returns all instances known, this one included. */
    const std::vector<RegisteredInstance> &instances() const { return instances_; }
    std::vector<InstanceId> names() const;
    /** Rises each time the instances were read from the store. */
    std::uint64_t revision() const { return revision_; }

private:
    struct Seen
    {
        ObjectVersion version = 0;
        Millis since;
    };

    void listed(const StoreReply &reply);

    RegisteredInstance self_;
    std::string path_;
    ObjectStore store_;
    Clock clock_;
    RandomHook random_;
    std::vector<RegisteredInstance> instances_;
    std::map<std::string, Seen> seen_;
    std::uint64_t refreshes_ = 0;
    std::uint64_t revision_ = 1;
    /** Lists asked for so far. */
    int lists_ = 0;
    Millis nextRefresh_;
    Millis nextList_;
    bool isLeaving_ = false;
};

} // namespace cuminrail
