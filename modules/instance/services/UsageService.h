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

/** Returns calendar time since 1970 in UTC; names usage windows and nothing else. */
Millis calendarNow();

/**
    Counts what this instance's requests used, per team, and keeps the store informed.

    Request threads add to a list under a lock that is held for an append; the control thread
    takes the list ten times a second.
*/
class UsageService
{
public:
    UsageService(ControlPlane &control, const ObjectStore &store, const InstanceIncarnation &self,
                 const MemberService &members, Millis windowLength);
    UsageService(const UsageService &) = delete;
    UsageService &operator=(const UsageService &) = delete;

private:
    void record(const UsageRecord &record);
    void tick();
    void stopFlushers(std::function<void()> done);
    bool isFlushed() const;
    UsageFlusher &flusher(const TeamId &team);

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
