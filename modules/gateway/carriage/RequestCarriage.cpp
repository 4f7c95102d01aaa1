#include "gateway/carriage/RequestCarriage.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>
#include <charconv>

namespace cuminrail {

namespace {

constexpr std::size_t maxLinks = 256;
/** Requests carried at a time for each thousandth of a core, and their bounds. */
constexpr double callsPerMilliCore = 0.08;
constexpr std::size_t minCalls = 8;
constexpr std::size_t maxCalls = 128;
/** Share of the memory for bodies of carried requests. */
constexpr std::uint64_t bodyMemoryDivisor = 16;

PeerLinksConfig linksConfig()
{
    PeerLinksConfig config;
    config.maxLinks = maxLinks;
    config.waitsForLinks = false;
    // Two windows of each request that a link may have, in frames of a chunk.
    config.maxQueuedBytes = 2 * maxCalls * CarriageLimits::window;
    config.maxQueuedFrames = config.maxQueuedBytes / CarriageLimits::chunk;
    config.handshakeTimeout = Millis(1000);
    config.pingAfter = Millis(500);
    config.receiveTimeout = Millis(2000);
    config.idleTimeout = Millis::minutes(2);
    return config;
}

IncomingCalls::Bounds boundsOf(const InstanceSettings &settings)
{
    IncomingCalls::Bounds bounds;
    const auto calls = static_cast<std::size_t>(settings.milliCores * callsPerMilliCore);
    bounds.calls = std::clamp(calls, minCalls, maxCalls);
    bounds.bodyBytes = std::uint64_t{settings.memoryMb} * 1024 * 1024 / bodyMemoryDivisor;
    return bounds;
}

/** Returns the address for carried requests of an instance with these control links. */
PeerAddress carriageAddress(const PeerAddress &links)
{
    const auto colon = links.rfind(':');
    unsigned port = 0;
    if (colon != PeerAddress::npos)
        std::from_chars(links.data() + colon + 1, links.data() + links.size(), port);
    return port == 0 ? PeerAddress() : links.substr(0, colon + 1) + std::to_string(port + 1);
}

} // namespace

RequestCarriage::RequestCarriage(Environment environment, const InstanceSettings &settings,
                                 Hooks hooks)
    : environment_(std::move(environment)), name_(settings.name), listen_(settings.carriage()),
      outgoing_(transport(), environment_.random),
      incoming_(boundsOf(settings), incomingHooks(std::move(hooks))),
      carriers_(settings.name, settings.failureDomain, carrierHooks())
{ }

PeerTransport RequestCarriage::transport()
{
    const PeerTransport links{[this](const PeerAddress &to, std::string frame) {
        if (links_)
            links_->send(to, std::move(frame));
    }};
    return environment_.traffic.counted(LinkPurpose::Carriage, links);
}

IncomingCalls::Hooks RequestCarriage::incomingHooks(Hooks hooks)
{
    return {transport(), std::move(hooks.refusal),
            [onRequest = std::move(hooks.onRequest)](const std::shared_ptr<IncomingCall> &call) {
                onRequest(std::make_shared<CarriedExchange>(call));
            },
            std::move(hooks.onOutOfOrder)};
}

CarrierSet::Hooks RequestCarriage::carrierHooks()
{
    CarrierSet::Hooks hooks;
    hooks.connect = [this](const PeerAddress &peer) {
        if (links_)
            links_->connect(peer);
    };
    hooks.isLinked = [this](const PeerAddress &peer) { return links_ && links_->isLinked(peer); };
    hooks.query = [this](const PeerAddress &peer) {
        transport().send(peer, encodeCarriage(CarrierQuery{}));
    };
    hooks.carried = [this](const PeerAddress &peer) { return outgoing_.countAt(peer); };
    return hooks;
}

void RequestCarriage::open(const std::string &secret)
{
    Reason reason;
    auto secrets = SharedSecrets::fromText(secret, &reason);
    if (secrets) {
        auto links =
            std::make_unique<PeerLinks>(environment_.io, linksConfig(), std::move(*secrets),
                                        environment_.clock, environment_.events);
        links->setFrameHandler(
            [this](const PeerAddress &from, const std::string &frame) { onFrame(from, frame); });
        links->setClosedHandler([this](const PeerAddress &peer) { onLinkClosed(peer); });
        if (links->listen(listen_.toString(), listen_.toString(), &reason)) {
            links_ = std::move(links);
            return;
        }
    }
    environment_.events(Event{&events::peerLinksNotOpen, {{"reason", reason.toString()}}});
}

void RequestCarriage::setInstances(const std::vector<RegisteredInstance> &instances)
{
    std::vector<CarrierCandidate> candidates;
    for (const RegisteredInstance &each : instances) {
        PeerAddress address = carriageAddress(each.links);
        if (each.instance.text() != name_ && !address.empty())
            candidates.push_back({std::move(address), each.failureDomain, each.milliCores});
    }
    carriers_.setCandidates(std::move(candidates));
}

void RequestCarriage::onFrame(const PeerAddress &from, const std::string &frame)
{
    environment_.traffic.recordReceived(LinkPurpose::Carriage, frame.size());
    const auto message = decodeCarriage(frame);
    if (!message) {
        environment_.events(Event{&events::peerLinkRefused, {{"peer", from}}});
        return;
    }
    if (const auto *status = std::get_if<CarrierStatus>(&*message))
        return carriers_.noteStatus(from, status->canCarry, environment_.clock.now());
    incoming_.handle(from, *message);
    outgoing_.handle(from, *message);
}

void RequestCarriage::onLinkClosed(const PeerAddress &peer)
{
    carriers_.noteClosed(peer, environment_.clock.now());
    outgoing_.linkClosed(peer);
    incoming_.linkClosed(peer);
}

void RequestCarriage::stop()
{
    incoming_.dropAll();
    outgoing_.dropAll();
    if (links_)
        links_->stop();
}

} // namespace cuminrail
