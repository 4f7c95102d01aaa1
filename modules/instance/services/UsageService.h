#pragma once

#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"
#include "lease/manager/DutyLease.h"
#include "usage/flush/UsageFlusher.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cuminrail {

/** Returns calendar time since 1970 in UTC; used only for usage windows and new incarnations. */
Millis calendarNow();

/**
    Counts the usage of this instance's requests per team and flushes the counters to the store.

    Request threads append to a list under a lock that is held only for the append; the control
    thread drains the list ten times per second.
*/
class UsageService
{
public:
    UsageService(ControlPlane &control, const ObjectStore &store, const InstanceIncarnation &self,
                 const MemberService &members, Millis windowLength);
    UsageService(const UsageService &) = delete;
    UsageService &operator=(const UsageService &) = delete;

private:
    void addRecord(const UsageRecord &record);
    void tick();
    void stopFlushers(std::function<void()> done);
    bool isFlushed() const;
    UsageFlusher &flusherOf(const TeamId &team);

    ControlPlane &control_;
    ObjectStore store_;
    InstanceIncarnation self_;
    const MemberService &members_;
    UsageWindows windows_;
    std::mutex mutex_;
    std::vector<UsageRecord> records_;
    std::map<TeamId, std::unique_ptr<UsageFlusher>> flushers_;
};

} // namespace cuminrail
