#pragma once

#include "lease/keeper/DutyLease.h"
#include "lease/spread/DutySpread.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    All duties' leases as one instance sees them.

    Takes its share, renews it, takes over from instances that crashed, sheds what is more than
    its share, and gives everything back at a planned stop. Runs on the control thread: call
    tick() about every 100 ms. Traffic never asks it for anything.

    @see DutyLease, DutySpread, docs/LEASES.md
*/
class LeaseKeeper
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** The duties that exist by the settings in force. */
        std::function<std::vector<std::string>()> duties;
        /** Instances believed to be up, this one among them or not. */
        std::function<std::vector<InstanceId>()> liveMembers;
        std::function<void(const std::string &duty, const Authority &)> onTaken;
        std::function<void(const std::string &duty)> onLost;
    };

    /** One duty for the state dump. */
    struct View
    {
        std::string duty;
        std::optional<LeaseRecord> lastSeen;
        std::optional<Authority> authority;
    };

    LeaseKeeper(InstanceLife self, const LeaseTiming &timing, Hooks hooks);
    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;

    /** Does what is due at this instant. */
    void tick();

    /** Returns the right to act for a duty. Ask again at the last moment before acting. */
    std::optional<Authority> authority(const std::string &duty, Millis now) const;
    /** Returns the duties held at this instant. */
    std::vector<std::string> held(Millis now) const;

    /** Begins a planned stop: gives all duties back and takes none. */
    void stop();
    /** Returns true when a planned stop has given everything back, or could not. */
    bool isStopped() const;

    std::vector<View> view(Millis now) const;

private:
    void refresh(Millis now);
    void adjustDuties();
    void listIfDue(Millis now);
    void listed(const StoreReply &reply);
    void shedIfDue(Millis now);
    Candidacy candidacy(const std::string &duty, bool hasRoom, Millis now) const;
    std::size_t heldCount(Millis now) const;

    InstanceLife self_;
    LeaseTiming timing_;
    Hooks hooks_;
    std::map<std::string, std::unique_ptr<DutyLease>> leases_;
    /** Leases of duties that settings no longer name, until their last answer has come. */
    std::vector<std::unique_ptr<DutyLease>> leaving_;
    std::map<std::string, std::size_t> places_;
    std::map<std::string, Millis> restrainedUntil_;
    std::size_t bound_ = 1;
    bool stopping_ = false;
    bool listing_ = false;
    Millis nextRefresh_;
    Millis nextList_;
    Millis nextShed_;
    Millis nextTake_;
};

} // namespace cuminrail
