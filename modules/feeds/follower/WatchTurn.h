#pragma once

#include "core/time/Millis.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cuminrail {

/** An instance's place among those of its failure domain that follow the store together. */
struct WatchPlace
{
    /** False: every instance watches for itself. */
    bool isShared = false;
    /** In the order in which they take over, 0 being the first. */
    std::size_t rank = 0;
    std::size_t members = 1;
    /** The first so many always watch. */
    std::size_t watchers = 1;

    bool isWatcher() const { return rank < watchers; }
};

/** The spans of shared watching, all in proportion to the longest that a change may go unknown. */
struct WatchTiming
{
    /** What is known counts as current for so long after the store confirmed it. */
    Millis confirmationHolds;
    /** How long the first watcher's calls wait; leaves room for one lost heartbeat. */
    Millis speakerWait;
    /** How long the second one's wait, which only has to bring changes while the first is well. */
    Millis standbyWait;
    Millis heartbeatEvery;

    /** @param allowance  how late an instance may learn of a change */
    static WatchTiming forAllowance(Millis allowance);
};

/**
    Decides whether an instance asks the store itself, or relies on others that do.

    Load: hundreds of instances whose store is down, busy, or turns a third of them away. Each
    asking for itself multiplies the calls just when the store can least bear them. Here the
    watchers go on asking; the others take turns in the order of their ranks, one after the
    other, so that one that the store still serves is found soon and then watches for all. They
    begin at once when all watchers say that the store refuses them. Total
    silence means that the watchers are gone rather than that the store is: then all turns come
    within two thirds of a second.
*/
class WatchTurn
{
public:
    /** Between the turns of two instances while others report that the store does not answer. */
    static constexpr Millis troubledStagger = Millis(200);
    /** Between the turns of the first instances while nobody says anything. */
    static constexpr Millis silentStagger = Millis(150);
    static constexpr Millis silentStaggerMost = Millis(600);
    /** An instance whose turn brought nothing, and that hears nobody, tries again after this. */
    static constexpr Millis silentRetry = Millis(1500);

    WatchTurn(const WatchTiming &timing, Millis now) : timing_(timing), since_(now) { }

    void setPlace(const WatchPlace &place, Millis now);
    const WatchPlace &place() const { return place_; }
    const WatchTiming &timing() const { return timing_; }

    /** Another instance, which may watch well, knew everything at an instant. */
    void confirmed(Millis at, std::size_t byRank, Millis now);
    /** The store answers another instance that watches. */
    void served(std::size_t rank, Millis now);
    /** The store does not answer another instance that watches. */
    void refused(std::size_t rank, Millis now);
    /** Another instance that watches spoke, current or not. */
    void heard(Millis now) { heardAt_ = now; }
    /** The store answered this instance's own call. */
    void succeeded();
    void failed(Millis now);

    /** Whether this instance may ask the store now. */
    bool mayWatch(Millis now) const;
    /** Watches for others: as a watcher, or in the place of those. */
    bool watchesForOthers() const { return place_.isShared && (place_.isWatcher() || isActing_); }
    /** Another instance's knowledge is current, and is shared. */
    bool isConfirmed(Millis now) const;
    /** An instance of a lower rank watches well, so this one need not speak. */
    bool isStandby(Millis now) const;

private:
    bool othersTry(Millis now) const;
    /** Returns since when the store has answered none of the watchers, where all of them say so. */
    std::optional<Millis> allRefusedSince(Millis now) const;

    WatchPlace place_;
    WatchTiming timing_;
    /** Following began; silence counts from here at the earliest. */
    Millis since_;
    std::optional<Millis> confirmedAt_;
    std::optional<Millis> heardAt_;
    std::optional<Millis> lowerHeardAt_;
    /** An instance that acts for the watchers spoke. */
    std::optional<Millis> actorHeardAt_;
    struct Refusal
    {
        Millis since;
        Millis heardAt;
    };
    /** By rank, of the watchers. */
    std::map<std::size_t, Refusal> refusals_;
    Millis nextTurn_;
    bool isActing_ = false;
};

} // namespace cuminrail
