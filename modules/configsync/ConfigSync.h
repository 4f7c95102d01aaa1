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
    /** From this age of the last confirmation on, requests are refused. @see Freshness */
    Millis stalenessLimit{5000};
    /** From this age on a watcher of the own domain is asked out of turn. */
    Millis refreshAfter{2000};
    Millis refreshPeriod{1000};
    /** How long a starting instance waits for a peer's word before it trusts the store alone. */
    Millis startPatience{3000};
    /** False for an instance without seeds: it waits for nobody. */
    bool expectsPeers = true;
    /** How often a head is asked for again that a peer said it has. */
    Millis headRetry{500};
};

struct ConfigSyncHooks
{
    ObjectStore store;
    PeerTransport transport;
    Clock clock;
    RandomHook random;
    EventSink events;
    Sha256Hook sha256;
    /** Other settings are in force; the pointer is never null. */
    std::function<void(const std::shared_ptr<const Settings> &)> onSettings;
    /** The set of keys that are withdrawn ahead of the settings changed. */
    std::function<void()> onWithdrawnChanged;
};

/**
    One instance's part in bringing settings into force: a state machine in virtual time.

    Runs on the control thread. The owner forwards Membership's hooks (onFact, onPeerDigest,
    onMembersChanged, settingsDigest) and the frames of FrameChannel::ConfigSync, and calls tick()
    every 100 ms or so after Membership's.

    @see docs/CONFIGURATION.md
*/
class ConfigSync
{
public:
    ConfigSync(ConfigSyncConfig config, ConfigSyncHooks hooks, Membership &membership);
    ConfigSync(const ConfigSync &) = delete;
    ConfigSync &operator=(const ConfigSync &) = delete;

    void tick();
    /** Takes a frame of FrameChannel::ConfigSync. Returns false when it was malformed. */
    bool receive(const std::string &frame);

    // What Membership's hooks are to call.
    SettingsDigest digest(Millis now) const;
    void onFact(const UrgentFact &fact);
    void onPeerDigest(const PeerDigest &digest);
    void onMembersChanged() { membersAreOld_ = true; }

    /** Returns the generation in force, 0 for none. */
    std::uint64_t generation() const { return inForce_.generation; }
    /** Returns the settings in force, or null. */
    const std::shared_ptr<const Settings> &settings() const { return settings_; }
    FreshnessReport freshness(Millis now) const;
    bool isWatching() const { return isWatching_; }
    /** Returns the hashes of keys that are withdrawn by a newer generation than is in force. */
    std::set<std::string> withdrawnAhead() const;
    std::uint64_t malformedFrames() const { return malformedFrames_; }

private:
    void watchStore(Millis now);
    void refresh(Millis now);
    void reportFreshness(Millis now);

    void onStoreHead(const std::string &text);
    void onStoreConfirmed(Millis querySentAt);
    void considerHead(const std::string &text, const std::optional<PeerAddress> &source);
    bool mayFollow(const SettingsHead &head);
    void putInForceIfComplete();
    void putInForce(const SettingsHead &head, std::shared_ptr<const Settings> settings);
    bool mayTrustFirst(const SettingsHead &head, Millis now) const;
    void announceWithdrawals(const Settings &before, const Settings &after);
    void refuse(const SettingsHead &head, const std::string &why);

    void handle(const HeadRequestMessage &message);
    void handle(const HeadReplyMessage &message);
    void handle(const ContentRequestMessage &message);
    void handle(const ContentChunkMessage &message);
    void askForHead(Millis now, std::uint64_t generation, const PeerAddress &peer);

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
    /** The hash of a head text that a peer offered and that is being fetched. */
    std::string offeredSha256_;
    PeerAddress offeredBy_;
    /** The newest generation that was refused here; it is not looked at again. */
    std::uint64_t refusedGeneration_ = 0;
    /** The newest generation that any answering peer had, and whether one answered. */
    std::uint64_t newestAtPeers_ = 0;
    bool hasPeerAnswered_ = false;

    Millis startedAt_;
    Millis nextRefreshAt_;
    Millis nextHeadRequestAt_;
    std::uint64_t askedForGeneration_ = 0;
    /** The generation that the store showed last. */
    std::uint64_t storeGeneration_ = 0;
    bool membersAreOld_ = true;
    bool isWatching_ = false;
    bool wasServing_ = false;
    std::uint64_t malformedFrames_ = 0;
};

} // namespace cuminrail
