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
    /** Number of instances in each failure domain that watch the store. */
    std::size_t watchersPerDomain = 2;
    /** Maximum number of further instances that watch while the watchers confirm nothing. */
    std::size_t substitutesPerDomain = 4;
    /**
        Age of the confirmation from which the first substitute watches, and the additional age for
        each further one.
    */
    Millis substituteAge{4000};
    Millis substituteAgeStep{1000};
    /** How long a substitute watches. */
    Millis substituteTerm = Millis::minutes(5);
};

/**
    Decides whether this instance watches the store: the first few of each failure domain do,
    ordered by a hash of the name.

    Every member computes the same order from its own view, without exchanging messages. While views
    differ, there may temporarily be one watcher more or fewer. The order does not take into account
    whether a watcher reaches the store, so if nothing confirms the settings, the next in rank act
    as substitutes for a limited time. Their number is limited, however long the store is
    unavailable.
*/
class WatchDuty
{
public:
    WatchDuty(WatchDutyConfig config, MemberRecord self) : config_(config), self_(std::move(self))
    { }

    /** Recomputes this instance's rank. @param members all other members */
    void setMembers(const std::vector<MemberView> &members);

    /** Returns true if this instance has to watch now. */
    bool isOnDuty(Millis now, Millis confirmedAge, bool isLeaving);

    /** Returns the other watchers of this instance's domain. */
    const std::vector<InstanceId> &watchers() const { return watchers_; }
    std::size_t rank() const { return rank_; }

private:
    WatchDutyConfig config_;
    MemberRecord self_;
    std::size_t rank_ = 0;
    std::vector<InstanceId> watchers_;
    std::optional<Millis> substituteTermEnd_;
};

} // namespace cuminrail
