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

/** A head's text is stored under its own name, not under its hash; peers alone give it by hash. */
ContentFetcherConfig peersOnly(ContentFetcherConfig config)
{
    config.usesStore = false;
    return config;
}

/** A withdrawal is kept for instances that are this far behind; a later one takes the tree. */
constexpr std::uint64_t kGenerationsToKeepFacts = 1000;

/** Returns the hashes of all keys that open something. */
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
                       [this] { considerHead(*contents_.find(offeredSha256_), offeredBy_); }),
          membership.self().address, contents_),
      duty_(config.duty, membership.self()), freshness_(config.stalenessLimit),
      startedAt_(hooks_.clock.now())
{ }

void ConfigSync::tick()
{
    const Millis now = hooks_.clock.now();
    if (membersAreOld_) {
        membersAreOld_ = false;
        duty_.setMembers(membership_.members());
    }
    watchStore(now);
    fetcher_.tick();
    headFetcher_.tick();
    if (candidate_ && fetcher_.isComplete())
        putInForceIfComplete();
    refresh(now);
    reportFreshness(now);
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

// Word of the store's state travels with probes, and may take a few seconds through many hands.
// Asking a watcher of the own domain directly keeps the age well below the limit.
void ConfigSync::refresh(Millis now)
{
    const auto &watchers = duty_.watchers();
    if (isWatching_ || watchers.empty() || now < nextRefreshAt_
        || freshness_.storeAge(now) < config_.refreshAfter)
        return;
    // While the store is out for all, asking as often would be of no use.
    const bool isOutForLong = freshness_.storeAge(now) > config_.stalenessLimit * 2;
    nextRefreshAt_ = now + config_.refreshPeriod * (isOutForLong ? 4 : 1);
    membership_.probe(now, watchers[hooks_.random() % watchers.size()]);
}

void ConfigSync::reportFreshness(Millis now)
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
    FreshnessReport report = freshness_.report(now, membership_.reach());
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
    const std::uint64_t theirs = digest.settings.headVersion;
    if (digest.querySentAt) {
        hasPeerAnswered_ = true;
        newestAtPeers_ = std::max(newestAtPeers_, theirs);
    }
    if (theirs != 0 && theirs <= inForce_.generation && digest.querySentAt)
        freshness_.confirmByPeer(*digest.querySentAt, digest.settings.confirmedAge);
    if (candidate_ && theirs >= candidate_->generation)
        fetcher_.addSource(digest.address);
    const std::uint64_t known = candidate_ ? candidate_->generation : inForce_.generation;
    if (theirs > known && theirs > refusedGeneration_)
        askForHead(now, theirs, digest.address);
}

void ConfigSync::askForHead(Millis now, std::uint64_t generation, const PeerAddress &peer)
{
    if (now < nextHeadRequestAt_ && generation <= askedForGeneration_)
        return;
    nextHeadRequestAt_ = now + config_.headRetry;
    askedForGeneration_ = generation;
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
    considerHead(text, std::nullopt);
}

// An answer "nothing newer" is about what the store showed last, which may still be on its way
// here, or be older than what is in force when the store's answer lags.
void ConfigSync::onStoreConfirmed(Millis querySentAt)
{
    const bool isInForce = storeGeneration_ == inForce_.generation;
    const bool isRefused = storeGeneration_ != 0 && storeGeneration_ == refusedGeneration_;
    if (isInForce || isRefused)
        freshness_.confirmByStore(querySentAt);
}

void ConfigSync::considerHead(const std::string &text, const std::optional<PeerAddress> &source)
{
    Reason problem;
    const auto head = SettingsHead::fromText(text, &problem);
    if (!head) {
        refuse(SettingsHead(), problem.toString());
        return;
    }
    if (!mayFollow(*head))
        return;
    candidate_ = head;
    candidateSha256_ = contents_.add(text);
    fetcher_.clearSources();
    if (source)
        fetcher_.addSource(*source);
    std::vector<std::string> hashes;
    for (const auto &subtree : head->subtrees)
        hashes.push_back(subtree.second);
    fetcher_.want(hashes);
    if (fetcher_.isComplete())
        putInForceIfComplete();
}

bool ConfigSync::mayFollow(const SettingsHead &head)
{
    const std::uint64_t known = candidate_ ? candidate_->generation : inForce_.generation;
    if (head.generation > known)
        return head.generation > refusedGeneration_;
    // A read that lags, or a peer or store that was put back, offers what was in force before.
    // Taking it would make withdrawn keys work again.
    if (guardEnabled(Guard::VersionOnlyForward)) {
        if (head.generation < inForce_.generation)
            hooks_.events(Event{&events::configurationWouldRevert,
                                {{"offered", std::to_string(head.generation)},
                                 {"in_force", std::to_string(inForce_.generation)}}});
        return false;
    }
    return head.generation != inForce_.generation;
}

// The store may answer a first read from a copy that lags, so that a restarted instance would put
// settings in force that are older than those it had before. A peer that answered knows better.
bool ConfigSync::mayTrustFirst(const SettingsHead &head, Millis now) const
{
    if (settings_ != nullptr || !config_.expectsPeers || !guardEnabled(Guard::NewestBeforeFirst))
        return true;
    if (now >= startedAt_ + config_.startPatience)
        return true;
    return hasPeerAnswered_ && head.generation >= newestAtPeers_;
}

void ConfigSync::putInForceIfComplete()
{
    if (!candidate_ || !mayTrustFirst(*candidate_, hooks_.clock.now()))
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
    const std::shared_ptr<const Settings> before = std::exchange(settings_, std::move(settings));
    inForce_ = head;
    inForceSha256_ = candidateSha256_;
    std::set<std::string> used{inForceSha256_};
    for (const auto &subtree : head.subtrees)
        used.insert(subtree.second);
    contents_.retain(used);
    hooks_.events(
        Event{&events::configurationInForce, {{"generation", std::to_string(head.generation)}}});
    hooks_.onSettings(settings_);
    if (before != nullptr)
        announceWithdrawals(*before, *settings_);
    membership_.removeFacts([&](const UrgentFact &fact) {
        return fact.kind == UrgentFactKind::KeyWithdrawn
            && fact.number + kGenerationsToKeepFacts <= head.generation;
    });
    membership_.announceDigest(hooks_.clock.now());
}

// The settings themselves reach everybody soon after; but a key's withdrawal must not wait for an
// instance that is still fetching or that refuses the new tree.
void ConfigSync::announceWithdrawals(const Settings &before, const Settings &after)
{
    const std::set<std::string> stillValid = validKeys(after);
    for (const std::string &hash : validKeys(before)) {
        if (stillValid.count(hash) == 0)
            membership_.broadcast(
                hooks_.clock.now(),
                UrgentFact{UrgentFactKind::KeyWithdrawn, hash, inForce_.generation});
    }
}

void ConfigSync::refuse(const SettingsHead &head, const std::string &why)
{
    refusedGeneration_ = std::max(refusedGeneration_, head.generation);
    hooks_.events(Event{&events::configurationRefused,
                        {{"generation", std::to_string(head.generation)},
                         {"in_force", std::to_string(inForce_.generation)},
                         {"reason", why}}});
}

bool ConfigSync::receive(const std::string &frame)
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
    headFetcher_.want({message.sha256});
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
    headFetcher_.take(message);
    fetcher_.take(message);
}

} // namespace cuminrail
