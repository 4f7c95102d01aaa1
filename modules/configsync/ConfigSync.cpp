#include "configsync/ConfigSync.h"

#include "configsync/messages/ConfigCodec.h"
#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "settings/read/SettingsReader.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

HeadWatcherHooks watcherHooks(const ConfigSyncHooks &hooks,
                              std::function<void(const std::string &)> onHead,
                              std::function<void(Millis)> onConfirmed)
{
    return HeadWatcherHooks{hooks.store,  hooks.clock,       hooks.random,
                            hooks.events, std::move(onHead), std::move(onConfirmed)};
}

ContentFetcherHooks fetcherHooks(const ConfigSyncHooks &hooks, std::function<void()> onComplete)
{
    return ContentFetcherHooks{hooks.transport, hooks.store, hooks.clock, hooks.random,
                               std::move(onComplete)};
}

/**
    The store keeps a head's text under the path of the head, not under its hash, so only peers can
    be queried for it by hash.
*/
ContentFetcherConfig peersOnly(ContentFetcherConfig config)
{
    config.usesStore = false;
    return config;
}

/**
    Withdrawal facts are kept this many generations, for instances that lag behind; one that lags
    further fetches the whole tree.
*/
constexpr std::uint64_t kFactRetentionGenerations = 1000;

/** Returns the hashes of all keys that are not withdrawn. */
std::set<std::string> validKeys(const Settings &settings)
{
    std::set<std::string> hashes;
    for (const CallerKeySettings &key : settings.keys) {
        if (!key.withdrawn)
            hashes.insert(key.sha256);
    }
    return hashes;
}

} // namespace

ConfigSync::ConfigSync(ConfigSyncConfig config, ConfigSyncHooks hooks, Membership &membership)
    : config_(config), hooks_(std::move(hooks)), membership_(membership), contents_(hooks_.sha256),
      watcher_(config.watcher,
               watcherHooks(
                   hooks_, [this](const std::string &text) { onStoreHead(text); },
                   [this](Millis querySentAt) { onStoreConfirmed(querySentAt); })),
      fetcher_(config.fetcher, fetcherHooks(hooks_, [this] { putInForceIfComplete(); }),
               membership.self().address, contents_),
      headFetcher_(
          peersOnly(config.fetcher),
          fetcherHooks(hooks_,
                       [this] { evaluateHead(*contents_.find(offeredSha256_), offeredBy_); }),
          membership.self().address, contents_),
      duty_(config.duty, membership.self()), freshness_(config.stalenessLimit),
      startedAt_(hooks_.clock.now())
{ }

void ConfigSync::tick()
{
    const Millis now = hooks_.clock.now();
    if (membersAreStale_) {
        membersAreStale_ = false;
        duty_.setMembers(membership_.members());
    }
    watchStore(now);
    fetcher_.tick();
    headFetcher_.tick();
    if (candidate_ && fetcher_.isComplete())
        putInForceIfComplete();
    refresh(now);
    emitFreshnessChange(now);
}

void ConfigSync::watchStore(Millis now)
{
    const Millis age = std::min(freshness_.storeAge(now), now - startedAt_);
    const bool isOnDuty = duty_.isOnDuty(now, age, membership_.self().leaving);
    if (isOnDuty != isWatching_) {
        isWatching_ = isOnDuty;
        hooks_.events(Event{
            &events::watchDutyChanged,
            {{"watching", isOnDuty ? "true" : "false"}, {"rank", std::to_string(duty_.rank())}}});
    }
    watcher_.tick(isOnDuty);
}

// Confirmations of the store propagate with probes, which may take several hops and a few seconds.
// Probing a watcher of its own domain directly keeps the confirmed age well below the limit.
void ConfigSync::refresh(Millis now)
{
    const auto &watchers = duty_.watchers();
    if (isWatching_ || watchers.empty() || now < nextRefreshAt_
        || freshness_.storeAge(now) < config_.refreshAge)
        return;
    // During an outage of the store for all instances, probing at the full rate would not help.
    const bool isLongOutage = freshness_.storeAge(now) > config_.stalenessLimit * 2;
    nextRefreshAt_ = now + config_.refreshPeriod * (isLongOutage ? 4 : 1);
    membership_.probe(now, watchers[hooks_.random() % watchers.size()]);
}

void ConfigSync::emitFreshnessChange(Millis now)
{
    const FreshnessReport report = freshness(now);
    if (settings_ == nullptr || report.mayServe == wasServing_)
        return;
    wasServing_ = report.mayServe;
    hooks_.events(
        Event{report.mayServe ? &events::configurationConfirmed : &events::configurationStale,
              {{"generation", std::to_string(inForce_.generation)},
               {"confirmed_by", std::string(confirmedByNames.name(report.confirmedBy))}}});
}

FreshnessReport ConfigSync::freshness(Millis now) const
{
    FreshnessReport report = freshness_.report(now, membership_.reachability());
    report.mayServe = report.mayServe && settings_ != nullptr;
    return report;
}

SettingsDigest ConfigSync::digest(Millis now) const
{
    return SettingsDigest{inForce_.generation, freshness_.storeAge(now)};
}

void ConfigSync::onPeerDigest(const PeerDigest &digest)
{
    const Millis now = hooks_.clock.now();
    const std::uint64_t peerGeneration = digest.settings.headVersion;
    if (digest.querySentAt) {
        hasPeerReplied_ = true;
        newestPeerGeneration_ = std::max(newestPeerGeneration_, peerGeneration);
    }
    if (peerGeneration != 0 && peerGeneration <= inForce_.generation && digest.querySentAt)
        freshness_.confirmByPeer(*digest.querySentAt, digest.settings.confirmedAge);
    if (candidate_ && peerGeneration >= candidate_->generation)
        fetcher_.addSource(digest.address);
    const std::uint64_t known = candidate_ ? candidate_->generation : inForce_.generation;
    if (peerGeneration > known && peerGeneration > refusedGeneration_)
        requestHead(now, peerGeneration, digest.address);
}

void ConfigSync::requestHead(Millis now, std::uint64_t generation, const PeerAddress &peer)
{
    if (now < nextHeadRequestAt_ && generation <= requestedGeneration_)
        return;
    nextHeadRequestAt_ = now + config_.headRetryInterval;
    requestedGeneration_ = generation;
    hooks_.transport.send(peer, encodeConfig(HeadRequestMessage{membership_.self().address}));
}

void ConfigSync::onFact(const UrgentFact &fact)
{
    if (fact.kind != UrgentFactKind::KeyWithdrawn || fact.number <= inForce_.generation)
        return;
    hooks_.events(Event{&events::keyWithdrawnHeard,
                        {{"generation", std::to_string(fact.number)},
                         {"in_force", std::to_string(inForce_.generation)}}});
    hooks_.onWithdrawnChanged();
}

std::set<std::string> ConfigSync::withdrawnAhead() const
{
    std::set<std::string> hashes;
    for (const UrgentFact &fact : membership_.facts().ofKind(UrgentFactKind::KeyWithdrawn)) {
        if (fact.number > inForce_.generation)
            hashes.insert(fact.subject);
    }
    return hashes;
}

void ConfigSync::onStoreHead(const std::string &text)
{
    if (const auto head = SettingsHead::fromText(text))
        storeGeneration_ = head->generation;
    evaluateHead(text, std::nullopt);
}

// "Nothing newer" refers to the head that the store returned last. That head may still be on its
// way here, or be older than the one in force if the store's reply is outdated.
void ConfigSync::onStoreConfirmed(Millis querySentAt)
{
    const bool isInForce = storeGeneration_ == inForce_.generation;
    const bool isRefused = storeGeneration_ != 0 && storeGeneration_ == refusedGeneration_;
    if (isInForce || isRefused)
        freshness_.confirmByStore(querySentAt);
}

void ConfigSync::evaluateHead(const std::string &text, const std::optional<PeerAddress> &source)
{
    Reason parseError;
    const auto head = SettingsHead::fromText(text, &parseError);
    if (!head) {
        refuse(SettingsHead(), parseError.toString());
        return;
    }
    if (!mayReplaceCurrent(*head))
        return;
    candidate_ = head;
    candidateSha256_ = contents_.add(text);
    fetcher_.clearSources();
    if (source)
        fetcher_.addSource(*source);
    std::vector<std::string> hashes;
    for (const auto &subtree : head->subtrees)
        hashes.push_back(subtree.second);
    fetcher_.setWanted(hashes);
    if (fetcher_.isComplete())
        putInForceIfComplete();
}

bool ConfigSync::mayReplaceCurrent(const SettingsHead &head)
{
    const std::uint64_t known = candidate_ ? candidate_->generation : inForce_.generation;
    if (head.generation > known)
        return head.generation > refusedGeneration_;
    // A lagging read, or a peer or store restored from a backup, offers a head that was in force
    // before. Accepting it would make withdrawn keys valid again.
    if (guardEnabled(Guard::VersionOnlyForward)) {
        if (head.generation < inForce_.generation)
            hooks_.events(Event{&events::configurationWouldRevert,
                                {{"offered", std::to_string(head.generation)},
                                 {"in_force", std::to_string(inForce_.generation)}}});
        return false;
    }
    return head.generation != inForce_.generation;
}

// The store may serve a first read from a lagging replica, so that a restarted instance would put
// older settings in force than it had before. A reply from a peer shows whether there are newer
// ones.
bool ConfigSync::mayPutFirstInForce(const SettingsHead &head, Millis now) const
{
    if (settings_ != nullptr || !config_.expectsPeers || !guardEnabled(Guard::NewestBeforeFirst))
        return true;
    if (now >= startedAt_ + config_.firstPeerTimeout)
        return true;
    return hasPeerReplied_ && head.generation >= newestPeerGeneration_;
}

void ConfigSync::putInForceIfComplete()
{
    if (!candidate_ || !mayPutFirstInForce(*candidate_, hooks_.clock.now()))
        return;
    SettingsSubtrees subtrees;
    for (const auto &subtree : candidate_->subtrees) {
        const std::string *text = contents_.find(subtree.second);
        if (text == nullptr)
            return;
        subtrees[subtree.first] = *text;
    }
    const SettingsHead head = *candidate_;
    candidate_.reset();
    std::vector<Reason> mistakes;
    auto settings = readSettings(subtrees, &mistakes);
    if (!settings && guardEnabled(Guard::ValidatedBeforeForce)) {
        refuse(head, mistakes.front().toString());
        return;
    }
    putInForce(head,
               std::make_shared<const Settings>(settings ? std::move(*settings) : Settings()));
}

void ConfigSync::putInForce(const SettingsHead &head, std::shared_ptr<const Settings> settings)
{
    const std::shared_ptr<const Settings> previous = std::exchange(settings_, std::move(settings));
    inForce_ = head;
    inForceSha256_ = candidateSha256_;
    std::set<std::string> used{inForceSha256_};
    for (const auto &subtree : head.subtrees)
        used.insert(subtree.second);
    contents_.retain(used);
    hooks_.events(
        Event{&events::configurationInForce, {{"generation", std::to_string(head.generation)}}});
    hooks_.onSettings(settings_);
    if (previous != nullptr)
        announceWithdrawals(*previous, *settings_);
    membership_.removeFacts([&](const UrgentFact &fact) {
        return fact.kind == UrgentFactKind::KeyWithdrawn
            && fact.number + kFactRetentionGenerations <= head.generation;
    });
    membership_.announceDigest(hooks_.clock.now());
}

// The settings themselves reach all instances soon afterwards, but the withdrawal of a key must not
// wait for an instance that is still fetching the new tree or refuses it.
void ConfigSync::announceWithdrawals(const Settings &previous, const Settings &current)
{
    const std::set<std::string> stillValid = validKeys(current);
    for (const std::string &hash : validKeys(previous)) {
        if (stillValid.count(hash) == 0)
            membership_.broadcast(
                hooks_.clock.now(),
                UrgentFact{UrgentFactKind::KeyWithdrawn, hash, inForce_.generation});
    }
}

void ConfigSync::refuse(const SettingsHead &head, const std::string &reason)
{
    refusedGeneration_ = std::max(refusedGeneration_, head.generation);
    hooks_.events(Event{&events::configurationRefused,
                        {{"generation", std::to_string(head.generation)},
                         {"in_force", std::to_string(inForce_.generation)},
                         {"reason", reason}}});
}

bool ConfigSync::handleFrame(const std::string &frame)
{
    const auto message = decodeConfig(frame);
    if (!message) {
        ++malformedFrames_;
        return false;
    }
    std::visit([this](const auto &typed) { handle(typed); }, *message);
    return true;
}

void ConfigSync::handle(const HeadRequestMessage &message)
{
    if (settings_ == nullptr)
        return;
    hooks_.transport.send(message.from,
                          encodeConfig(HeadReplyMessage{membership_.self().address,
                                                        inForce_.generation, inForceSha256_}));
}

void ConfigSync::handle(const HeadReplyMessage &message)
{
    const std::uint64_t known = candidate_ ? candidate_->generation : inForce_.generation;
    if (message.generation <= known || message.generation <= refusedGeneration_)
        return;
    offeredSha256_ = message.sha256;
    offeredBy_ = message.from;
    headFetcher_.clearSources();
    headFetcher_.addSource(message.from);
    headFetcher_.setWanted({message.sha256});
}

void ConfigSync::handle(const ContentRequestMessage &message)
{
    ContentChunkMessage chunk;
    chunk.sha256 = message.sha256;
    chunk.offset = message.offset;
    const std::string *text = contents_.find(message.sha256);
    if (text != nullptr && message.offset <= text->size()) {
        chunk.total = text->size();
        chunk.bytes = text->substr(message.offset, ConfigMessageLimits::chunkBytes);
    }
    hooks_.transport.send(message.from, encodeConfig(chunk));
}

void ConfigSync::handle(const ContentChunkMessage &message)
{
    headFetcher_.handleChunk(message);
    fetcher_.handleChunk(message);
}

} // namespace cuminrail
