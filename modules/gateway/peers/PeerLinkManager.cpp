#include "gateway/peers/PeerLinkManager.h"

#include "core/events/EventCatalogue.h"
#include "core/hash/StableHash.h"
#include "peerlink/auth/Hmac.h"

#include <utility>

namespace cuminrail {

namespace {

constexpr const char *secretPath = "secrets/links";
constexpr std::size_t secretBytes = 32;
/** Interval at which the secret is read while the store does not return it. */
constexpr Millis secretRetryInterval = Millis(500);
/** After the store came back from a copy, all instances look for the secret within this time. */
constexpr Millis secretCheckSpread = Millis(2000);

/**
    Connection attempts per tick, and the interval of attempts to the same peer. A hundred links are
    established within four seconds, and an instance that is gone costs few attempts.
*/
constexpr int maxConnectsPerTick = 3;
constexpr Millis reconnectInterval = Millis::seconds(4);
constexpr Millis connectJitter = Millis(1500);

/** An unreachable machine is skipped long before these limits; they bound what is queued for it. */
PeerLinksConfig linksConfig(std::size_t maxOpening)
{
    PeerLinksConfig config;
    config.maxOpening = maxOpening;
    config.maxLinks = 512;
    config.maxQueuedFrames = 64;
    config.maxQueuedBytes = 64 * 1024;
    config.receiveTimeout = Millis(4000);
    config.pingAfter = Millis(2000);
    return config;
}

std::string toHex(const std::string &bytes)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4U];
        text += digits[value & 0xfU];
    }
    return text;
}

} // namespace

PeerLinkManager::PeerLinkManager(Environment environment, HostPort listen, FrameHandler onFrame)
    : environment_(std::move(environment)), listen_(std::move(listen)), onFrame_(std::move(onFrame))
{ }

void PeerLinkManager::tick()
{
    const Millis now = environment_.clock.now();
    if (isOpen())
        connectDuePeers(now);
    if (secretCheckAt_ && now >= *secretCheckAt_)
        checkSecret();
    if (now >= nextSecretReadAt_)
        readSecret();
}

void PeerLinkManager::awaitSecret(Millis duration)
{
    nextSecretReadAt_ = environment_.clock.now() + duration;
}

void PeerLinkManager::useSecret(const std::string &secret)
{
    if (!isOpen() && !isStopped_)
        open(secret);
}

void PeerLinkManager::obtainSecret(std::function<void(const std::string &)> done)
{
    if (!secret_.empty())
        return done(secret_);
    secretWaiters_.push_back(std::move(done));
    readSecret();
}

void PeerLinkManager::readSecret()
{
    if (isOpen() || isSecretRequested_ || isStopped_)
        return;
    isSecretRequested_ = true;
    nextSecretReadAt_ = environment_.clock.now() + secretRetryInterval;
    environment_.store.get(secretPath, [this](const StoreReply &reply) { onSecretRead(reply); });
}

void PeerLinkManager::storeRestored()
{
    if (secret_.empty())
        return;
    const auto hash = StableHash().add(listen_.toString()).value();
    secretCheckAt_ = environment_.clock.now()
        + Millis(static_cast<std::int64_t>(hash % secretCheckSpread.count()));
}

void PeerLinkManager::checkSecret()
{
    secretCheckAt_.reset();
    environment_.store.get(secretPath, [this](const StoreReply &reply) {
        if (reply.status == StoreStatus::NotFound && !isStopped_)
            environment_.store.put(StorePut{secretPath, secret_, 0}, [](const StoreReply &) {});
        else if (reply.status != StoreStatus::Ok)
            secretCheckAt_ = environment_.clock.now() + secretRetryInterval;
    });
}

void PeerLinkManager::maintainLinks(std::vector<PeerAddress> peers)
{
    const Millis now = environment_.clock.now();
    std::map<PeerAddress, Millis> connectAt;
    for (PeerAddress &peer : peers) {
        const auto known = nextConnectAt_.find(peer);
        // Instances that start together must not all connect to the same peer at the same time.
        const auto hash = StableHash().add(listen_.toString()).add(peer).value();
        const auto jitter = static_cast<std::int64_t>(hash % connectJitter.count());
        connectAt[std::move(peer)] =
            known == nextConnectAt_.end() ? now + Millis(jitter) : known->second;
    }
    nextConnectAt_ = std::move(connectAt);
}

void PeerLinkManager::connectDuePeers(Millis now)
{
    int remaining = maxConnectsPerTick;
    for (auto &[peer, nextAt] : nextConnectAt_) {
        if (now < nextAt)
            continue;
        if (remaining-- == 0)
            return;
        nextAt = now + reconnectInterval;
        links_->connect(peer);
    }
}

void PeerLinkManager::onSecretRead(const StoreReply &reply)
{
    isSecretRequested_ = false;
    if (isOpen() || isStopped_)
        return;
    if (reply.status == StoreStatus::NotFound)
        return createSecret();
    if (reply.status != StoreStatus::Ok || reply.objects.empty())
        return;
    open(reply.objects.front().value);
    for (const auto &done : std::exchange(secretWaiters_, {}))
        done(reply.objects.front().value);
}

void PeerLinkManager::createSecret()
{
    isSecretRequested_ = true;
    const std::string generated = toHex(detail::randomBytes(secretBytes));
    environment_.store.put(StorePut{secretPath, generated, 0}, [this](const StoreReply &) {
        // Whatever the result of the creation, the stored secret is read next.
        isSecretRequested_ = false;
        readSecret();
    });
}

void PeerLinkManager::open(const std::string &secret)
{
    Reason reason;
    auto secrets = SharedSecrets::fromText(secret, &reason);
    if (secrets) {
        auto links = std::make_unique<PeerLinks>(
            environment_.io, linksConfig(environment_.maxOpening), std::move(*secrets),
            environment_.clock, environment_.events);
        links->setFrameHandler(
            [this](const PeerAddress &from, const std::string &frame) { onFrame_(from, frame); });
        if (links->listen(listen_.toString(), listen_.toString(), &reason)) {
            links_ = std::move(links);
            secret_ = secret;
            environment_.events(Event{&events::peerLinksOpen, {{"address", listen_.toString()}}});
            if (onOpen)
                onOpen(secret);
            return;
        }
    }
    environment_.events(Event{&events::peerLinksNotOpen, {{"reason", reason.toString()}}});
}

PeerTransport PeerLinkManager::transport()
{
    PeerTransport port;
    port.send = [this](const PeerAddress &to, std::string frame) {
        if (links_)
            links_->send(to, std::move(frame));
    };
    return port;
}

void PeerLinkManager::stop()
{
    isStopped_ = true;
    if (links_)
        links_->stop();
}

} // namespace cuminrail
