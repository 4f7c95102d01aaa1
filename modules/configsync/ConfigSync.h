#pragma once

#include "configsync/content/ContentFetcher.h"
#include "configsync/content/ContentStore.h"
#include "configsync/duty/WatchDuty.h"
#include "configsync/freshness/Freshness.h"
#include "configsync/messages/ConfigMessages.h"
#include "configsync/store/HeadWatcher.h"
#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "membership/Membership.h"
#include "settings/head/SettingsHead.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cuminrail {

struct ConfigSyncConfig
{
    HeadWatcherConfig watcher;
    WatchDutyConfig duty;
    ContentFetcherConfig fetcher;
    /** Requests are refused if the last confirmation is older than this. @see Freshness */
    Millis stalenessLimit{5000};
    /**
        If the last confirmation is older than this, a watcher of the same domain is probed outside
        the regular schedule.
    */
    Millis refreshAge{2000};
    Millis refreshPeriod{1000};
    /**
        How long a starting instance waits for the first reply of a peer before it accepts the
        store's head without one.
    */
    Millis firstPeerTimeout{3000};
    /** False for an instance without seeds, which waits for no peer. */
    bool expectsPeers = true;
    /** Interval between requests for a head that a peer offers. */
    Millis headRetryInterval{500};
};

struct ConfigSyncHooks
{
    ObjectStore store;
    PeerTransport transport;
    Clock clock;
    RandomHook random;
    EventSink events;
    Sha256Hook sha256;
    /** Other settings were put in force; the pointer is never null. */
    std::function<void(const std::shared_ptr<const Settings> &)> onSettings;
    /** The set of keys withdrawn by a newer generation than the one in force changed. */
    std::function<void()> onWithdrawnChanged;
};

/**
    Configuration synchronisation of one instance: a state machine driven by the caller's clock.

    Runs on the control thread. The owner forwards Membership's hooks (onFact, onPeerDigest,
    onMembersChanged, settingsDigest) and the frames of FrameChannel::ConfigSync, and calls tick()
    about every 100 ms, after Membership's.

    @see docs/CONFIGURATION.md
*/
class ConfigSync
{
public:
    ConfigSync(ConfigSyncConfig config, ConfigSyncHooks hooks, Membership &membership);
    ConfigSync(const ConfigSync &) = delete;
    ConfigSync &operator=(const ConfigSync &) = delete;

    void tick();
    /** Handles a frame of FrameChannel::ConfigSync. Returns false if it was malformed. */
    bool handleFrame(const std::string &frame);

    // To be called by Membership's hooks.
    SettingsDigest digest(Millis now) const;
    void onFact(const UrgentFact &fact);
    void onPeerDigest(const PeerDigest &digest);
    void onMembersChanged() { membersAreStale_ = true; }

    /** Returns the generation in force, 0 for none. */
    std::uint64_t generation() const { return inForce_.generation; }
    /** Returns the settings in force, or null. */
    const std::shared_ptr<const Settings> &settings() const { return settings_; }
    FreshnessReport freshness(Millis now) const;
    bool isWatching() const { return isWatching_; }
    /** Returns the hashes of keys that a newer generation than the one in force withdraws. */
    std::set<std::string> withdrawnAhead() const;
    std::uint64_t malformedFrames() const { return malformedFrames_; }

private:
    void watchStore(Millis now);
    void refresh(Millis now);
    void emitFreshnessChange(Millis now);

    void onStoreHead(const std::string &text);
    void onStoreConfirmed(Millis querySentAt);
    void evaluateHead(const std::string &text, const std::optional<PeerAddress> &source);
    bool mayReplaceCurrent(const SettingsHead &head);
    void putInForceIfComplete();
    void putInForce(const SettingsHead &head, std::shared_ptr<const Settings> settings);
    bool mayPutFirstInForce(const SettingsHead &head, Millis now) const;
    void announceWithdrawals(const Settings &previous, const Settings &current);
    void refuse(const SettingsHead &head, const std::string &reason);

    void handle(const HeadRequestMessage &message);
    void handle(const HeadReplyMessage &message);
    void handle(const ContentRequestMessage &message);
    void handle(const ContentChunkMessage &message);
    void requestHead(Millis now, std::uint64_t generation, const PeerAddress &peer);

    ConfigSyncConfig config_;
    ConfigSyncHooks hooks_;
    Membership &membership_;
    ContentStore contents_;
    HeadWatcher watcher_;
    ContentFetcher fetcher_;
    ContentFetcher headFetcher_;
    WatchDuty duty_;
    Freshness freshness_;

    SettingsHead inForce_;
    std::string inForceSha256_;
    std::shared_ptr<const Settings> settings_;
    /** A newer head whose contents are being fetched. */
    std::optional<SettingsHead> candidate_;
    std::string candidateSha256_;
    /** Hash of the text of a head that a peer offered and that is being fetched. */
    std::string offeredSha256_;
    PeerAddress offeredBy_;
    /** The newest generation that was refused here; it is not evaluated again. */
    std::uint64_t refusedGeneration_ = 0;
    /** The newest generation that a replying peer had, and whether any peer replied. */
    std::uint64_t newestPeerGeneration_ = 0;
    bool hasPeerReplied_ = false;

    Millis startedAt_;
    Millis nextRefreshAt_;
    Millis nextHeadRequestAt_;
    std::uint64_t requestedGeneration_ = 0;
    /** The generation of the head that the store returned last. */
    std::uint64_t storeGeneration_ = 0;
    bool membersAreStale_ = true;
    bool isWatching_ = false;
    bool wasServing_ = false;
    std::uint64_t malformedFrames_ = 0;
};

} // namespace cuminrail
