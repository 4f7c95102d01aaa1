#include "gateway/peers/PeerFabric.h"

#include "core/events/EventCatalogue.h"
#include "core/hash/StableHash.h"
#include "peerlink/auth/Hmac.h"

#include <utility>

namespace cuminrail {

namespace {

constexpr const char *secretPath = "secrets/links";
constexpr std::size_t secretBytes = 32;
/** The store is asked again so soon while it gives no secret. */
constexpr Millis askAgainAfter = Millis(500);

/**
    Links that are looked for in one tick, and how long until the same one is looked for again. All
    of a hundred are up within four seconds, and an instance that is gone costs little.
*/
constexpr int connectionsEachTick = 3;
constexpr Millis lookAgainAfter = Millis::seconds(4);
constexpr Millis connectionsSpread = Millis(1500);

/** A machine that is cut off is passed over long before; this only bounds what waits for it. */
PeerLinksConfig linksConfig()
{
    PeerLinksConfig config;
    config.maxLinks = 512;
    config.maxQueuedFrames = 64;
    config.maxQueuedBytes = 64 * 1024;
    config.silentAfter = Millis(4000);
    config.pingAfter = Millis(2000);
    return config;
}

std::string asHex(const std::string &bytes)
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

PeerFabric::PeerFabric(Environment environment, HostPort listen, FrameHandler onFrame)
    : environment_(std::move(environment)), listen_(std::move(listen)), onFrame_(std::move(onFrame))
{ }

void PeerFabric::tick()
{
    const Millis now = environment_.clock.now();
    if (isOpen())
        connectSome(now);
    if (isOpen() || isAsking_ || isStopped_ || now < nextAt_)
        return;
    isAsking_ = true;
    nextAt_ = now + askAgainAfter;
    environment_.store.get(secretPath, [this](const StoreReply &reply) { secretRead(reply); });
}

void PeerFabric::holdLinks(std::vector<PeerAddress> peers)
{
    const Millis now = environment_.clock.now();
    std::map<PeerAddress, Millis> held;
    for (PeerAddress &peer : peers) {
        const auto known = held_.find(peer);
        // Instances that start together must not all connect to the same peer first.
        const auto hash = StableHash().add(listen_.toString()).add(peer).value();
        const auto spread = static_cast<std::int64_t>(hash % connectionsSpread.count());
        held[std::move(peer)] = known == held_.end() ? now + Millis(spread) : known->second;
    }
    held_ = std::move(held);
}

void PeerFabric::connectSome(Millis now)
{
    int left = connectionsEachTick;
    for (auto &[peer, nextAt] : held_) {
        if (now < nextAt)
            continue;
        if (left-- == 0)
            return;
        nextAt = now + lookAgainAfter;
        links_->connect(peer);
    }
}

void PeerFabric::secretRead(const StoreReply &reply)
{
    isAsking_ = false;
    if (isOpen() || isStopped_)
        return;
    if (reply.status == StoreStatus::NotFound)
        return createSecret();
    if (reply.status == StoreStatus::Ok && !reply.objects.empty())
        open(reply.objects.front().value);
}

void PeerFabric::createSecret()
{
    isAsking_ = true;
    const std::string drawn = asHex(detail::randomBytes(secretBytes));
    environment_.store.put(StorePut{secretPath, drawn, 0}, [this](const StoreReply &) {
        // Whatever became of it: what counts is what the store holds now.
        isAsking_ = false;
        nextAt_ = environment_.clock.now();
    });
}

void PeerFabric::open(const std::string &secret)
{
    Reason reason;
    auto secrets = SharedSecrets::fromText(secret, &reason);
    if (secrets) {
        auto links =
            std::make_unique<PeerLinks>(environment_.io, linksConfig(), std::move(*secrets),
                                        environment_.clock, environment_.events);
        links->setFrameHandler(
            [this](const PeerAddress &from, const std::string &frame) { onFrame_(from, frame); });
        if (links->listen(listen_.toString(), listen_.toString(), &reason)) {
            links_ = std::move(links);
            environment_.events(Event{&events::peerLinksOpen, {{"address", listen_.toString()}}});
            return;
        }
    }
    environment_.events(Event{&events::peerLinksNotOpen, {{"reason", reason.toString()}}});
}

PeerTransport PeerFabric::transport()
{
    PeerTransport port;
    port.send = [this](const PeerAddress &to, std::string frame) {
        if (links_)
            links_->send(to, std::move(frame));
    };
    return port;
}

void PeerFabric::stop()
{
    isStopped_ = true;
    if (links_)
        links_->stop();
}

} // namespace cuminrail
