#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "membership/model/Member.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cuminrail {

struct WatchDutyConfig
{
    /** How many instances of each failure domain watch the store. */
    std::size_t watchersPerDomain = 2;
    /** How many more may step in when the watchers confirm nothing. */
    std::size_t substitutesPerDomain = 4;
    /** How old the confirmation gets before the first substitute steps in, and each next one. */
    Millis stepInAfter{4000};
    Millis stepInStep{1000};
    /** How long a substitute stays. */
    Millis substituteTerm = Millis::minutes(5);
};

/**
    Decides whether this instance watches the store: the first few of its failure domain, by a
    hash of the name, do.

    Every member computes the same order from its own view, without asking. Where views differ for
    a moment there is one watcher more or less. A watcher that cannot reach the store is not found
    out by rank, so when nothing confirms the settings, the next in rank step in for a while, never
    more than a bounded number however long the store is out.
*/
class WatchDuty
{
public:
    WatchDuty(WatchDutyConfig config, MemberRecord self) : config_(config), self_(std::move(self))
    { }

    /** Computes this instance's rank anew. @param members all others */
    void setMembers(const std::vector<MemberView> &members);

    /** Returns true when this instance watches now. */
    bool isOnDuty(Millis now, Millis confirmedAge, bool isLeaving);

    /** Returns the watchers of the own domain, without this instance. */
    const std::vector<InstanceId> &watchers() const { return watchers_; }
    std::size_t rank() const { return rank_; }

private:
    WatchDutyConfig config_;
    MemberRecord self_;
    std::size_t rank_ = 0;
    std::vector<InstanceId> watchers_;
    std::optional<Millis> substituteUntil_;
};

} // namespace cuminrail
