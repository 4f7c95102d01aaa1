#pragma once

#include "lease/assignment/DutyAssignment.h"
#include "lease/manager/DutyLease.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The leases of all duties as seen by one instance.

    Acquires its share, renews it, takes over from instances that crashed, releases what exceeds its
    share, and releases everything at a planned stop. Runs on the control thread: call tick() about
    every 100 ms. Request handling does not depend on it.

    @see DutyLease, DutyAssignment, docs/LEASES.md
*/
class LeaseManager
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** The duties that exist in the settings in force. */
        std::function<std::vector<std::string>()> duties;
        /** The instances considered alive, with or without this one. */
        std::function<std::vector<InstanceId>()> liveMembers;
        std::function<void(const std::string &duty, const Authority &)> onLeaseAcquired;
        std::function<void(const std::string &duty)> onLeaseLost;
    };

    /** The state of one duty for the state dump. */
    struct View
    {
        std::string duty;
        std::optional<LeaseRecord> lastSeen;
        std::optional<Authority> authority;
    };

    LeaseManager(InstanceIncarnation self, const LeaseTiming &timing, Hooks hooks);
    LeaseManager(const LeaseManager &) = delete;
    LeaseManager &operator=(const LeaseManager &) = delete;

    /** Performs due work. */
    void tick();

    /** Returns the authority to act for a duty. Request it at the last moment before acting. */
    std::optional<Authority> authority(const std::string &duty, Millis now) const;
    /** Returns the duties held at this time. */
    std::vector<std::string> held(Millis now) const;

    /** Begins a planned stop: releases all duties and acquires none. */
    void stop();
    /** Returns whether the planned stop has released everything or failed to. */
    bool isStopped() const;

    std::vector<View> view(Millis now) const;

private:
    void refresh(Millis now);
    void updateDuties();
    void listIfDue(Millis now);
    void listed(const StoreReply &reply);
    void rebalanceIfDue(Millis now);
    Candidacy candidacy(const std::string &duty, bool hasRoom, Millis now) const;
    std::size_t heldCount(Millis now) const;

    InstanceIncarnation self_;
    LeaseTiming timing_;
    Hooks hooks_;
    std::map<std::string, std::unique_ptr<DutyLease>> leases_;
    /** Leases of duties that were removed from the settings, until their last reply has arrived. */
    std::vector<std::unique_ptr<DutyLease>> releasing_;
    std::map<std::string, std::size_t> ranks_;
    std::map<std::string, Millis> cooldownUntil_;
    std::size_t maxDuties_ = 1;
    bool stopping_ = false;
    bool listing_ = false;
    Millis nextRefresh_;
    Millis nextList_;
    Millis nextRebalance_;
    Millis nextAcquire_;
};

} // namespace cuminrail
