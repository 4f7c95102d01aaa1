#include "instance/services/PeerService.h"

#include "core/events/EventCatalogue.h"
#include "runtime/files/Files.h"
#include "runtime/time/BootClock.h"

#include <utility>

namespace cuminrail {

namespace {

constexpr Millis secretsCheckInterval = Millis::seconds(2);

} // namespace

PeerService::PeerService(ControlPlane &control)
    : control_(control), links_(control.thread().io(), PeerLinksConfig(), SharedSecrets(),
                                bootClock(), control.context().events)
{ }

bool PeerService::hasLinks() const
{
    return !control_.context().config.peerSecretFile.empty();
}

bool PeerService::start(Reason *lastReason)
{
    if (!hasLinks())
        return true;
    const InstanceConfig &config = control_.context().config;
    const auto text = contentOf(config.peerSecretFile);
    if (!text)
        return fail(lastReason, "peer-secret-file", "cannot read " + config.peerSecretFile);
    auto secrets = SharedSecrets::fromText(*text, lastReason);
    if (!secrets)
        return false;
    secretsText_ = *text;
    links_.setSecrets(std::move(*secrets));
    const auto address = links_.listen(config.peerListen.toString(), PeerAddress(), lastReason);
    if (!address)
        return false;
    address_ = *address;
    control_.addTick(secretsCheckInterval, [this](Millis) { reloadSecrets(); });
    control_.addState("peer_links", [this] { return describe(); });
    return true;
}

void PeerService::setFrameHandler(PeerLinks::FrameHandler handler)
{
    links_.setFrameHandler(std::move(handler));
}

PeerTransport PeerService::transport()
{
    if (!hasLinks())
        return {[](const PeerAddress &, const std::string &) {}};
    return links_.transport();
}

void PeerService::reloadSecrets()
{
    const auto text = contentOf(control_.context().config.peerSecretFile);
    if (!text || *text == secretsText_)
        return;
    secretsText_ = *text;
    Reason reason;
    auto secrets = SharedSecrets::fromText(*text, &reason);
    // A partially written file must not disconnect this instance: the previous secrets stay in use.
    if (!secrets) {
        control_.context().events(
            Event{&events::peerSecretsNotReloaded, {{"reason", reason.toString()}}});
        return;
    }
    links_.setSecrets(std::move(*secrets));
    control_.context().events(Event{&events::peerSecretsReloaded, {}});
}

nlohmann::json PeerService::describe() const
{
    const PeerLinksStats &stats = links_.stats();
    return {{"address", address_},
            {"links", links_.linkCount()},
            {"frames_sent", stats.framesSent},
            {"frames_received", stats.framesReceived},
            {"bytes_sent", stats.bytesSent},
            {"bytes_received", stats.bytesReceived},
            {"dropped", stats.dropped},
            {"strangers_refused", stats.refused}};
}

} // namespace cuminrail
