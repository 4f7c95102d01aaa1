#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "dataplane/usage/UsageLedger.h"
#include "gateway/GatewayWire.h"
#include "gateway/usage/UsageRecords.h"
#include "gateway/usage/UsageTiming.h"
#include "ports/store/ObjectStore.h"

#include <map>

namespace cuminrail {

/**
    Reports everybody's usage while this instance holds the duty.

    The holder adds the ledgers of a window up once and creates a sealed object from them; only one
    creation can succeed. Reports are always read from the sealed object, so that two holders, or
    one that repeats itself, can never give two figures for a window.

    @see LedgerSender, LedgerCollector
*/
class UsageDuty
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        /** True time in milliseconds since 1970. */
        std::function<std::int64_t()> wallMillis;
        EventSink events;
        std::function<void(std::int64_t window, const CustomerCounts &, const DutyAuthority &,
                           DutyCompletion)>
            report;
        /** The right to report at this moment. */
        std::function<std::optional<DutyAuthority>()> authority;
    };

    UsageDuty(const UsageTiming &timing, Hooks hooks);

    /** Does what is due; to be called every few hundred milliseconds. */
    void tick();
    std::int64_t windowAt(std::int64_t wallMillis) const;

private:
    enum class Stage : std::uint8_t { Open, Busy, Reported };

    void reportIfDue(std::int64_t wall);
    void collect(std::int64_t window);
    bool isIncomplete(const LedgerRecord &ledger, std::int64_t window) const;
    void collected(std::int64_t window, const StoreReply &reply);
    void seal(std::int64_t window, const CustomerCounts &counts);
    void readSeal(std::int64_t window);
    void reportSealed(std::int64_t window, const std::string &text);
    void reported(std::int64_t window, DutyResult result, const Reason &reason);
    void removeOld(const std::vector<StoreObject> &objects, std::int64_t window);
    void failed(std::int64_t window, const Reason &reason);

    UsageTiming timing_;
    Hooks hooks_;
    Millis nextReport_;
    std::int64_t firstWindow_ = 0;
    std::map<std::int64_t, Stage> windows_;
};

} // namespace cuminrail
