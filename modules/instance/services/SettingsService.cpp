#include "instance/services/SettingsService.h"

#include "runtime/time/BootClock.h"

#include <random>
#include <set>

namespace cuminrail {

namespace {

constexpr Millis tickInterval{100};

ConfigSyncConfig syncConfig(const ControlPlane &control)
{
    ConfigSyncConfig config;
    config.stalenessLimit = control.context().config.stalenessLimit;
    config.expectsPeers = !control.context().config.peers.empty();
    return config;
}

} // namespace

SettingsService::SettingsService(ControlPlane &control, MemberService &members,
                                 const ObjectStore &store, const PeerTransport &peers)
    : control_(control), sync_(syncConfig(control), makeHooks(store, peers), members.membership())
{
    members.setFrameHook(
        FrameChannel::ConfigSync,
        [this](const PeerAddress &, const std::string &frame) { sync_.handleFrame(frame); });
    members.addFactHook([this](const UrgentFact &fact) { sync_.onFact(fact); });
    members.addDigestHook([this](const PeerDigest &digest) { sync_.onPeerDigest(digest); });
    members.addChangeHook([this] { sync_.onMembersChanged(); });
    control_.addTick(tickInterval, [this](Millis now) {
        sync_.tick();
        updateStaleness(now);
    });
    control_.addState("settings", [this] { return describe(); });
}

ConfigSyncHooks SettingsService::makeHooks(const ObjectStore &store, const PeerTransport &peers)
{
    ConfigSyncHooks hooks{
        store, peers, bootClock(), seededRandom(std::random_device()()), control_.context().events,
        {},    {},    {}};
    hooks.sha256 = [](const std::string &text) { return KeyHash::of(text).toHex(); };
    hooks.onSettings = [this](const std::shared_ptr<const Settings> &settings) {
        control_.publish(*settings);
        publishWithdrawn();
        for (const SettingsHook &hook : settingsHooks_)
            hook(*settings);
    };
    hooks.onWithdrawnChanged = [this] { publishWithdrawn(); };
    return hooks;
}

void SettingsService::publishWithdrawn()
{
    std::set<KeyHash> keys;
    for (const std::string &hex : sync_.withdrawnAhead()) {
        const auto hash = KeyHash::fromHex(hex);
        if (hash)
            keys.insert(*hash);
    }
    control_.publishWithdrawn(std::move(keys));
}

void SettingsService::updateStaleness(Millis now)
{
    const bool isStale = sync_.generation() > 0 && !sync_.freshness(now).mayServe;
    control_.context().isStale.store(isStale, std::memory_order_relaxed);
}

nlohmann::json SettingsService::describe() const
{
    const Millis now = control_.thread().deadlines().now();
    const FreshnessReport report = sync_.freshness(now);
    const auto ageOrNull = [](Millis age) {
        return age >= Millis::never() ? nlohmann::json() : nlohmann::json(age.count());
    };
    return {{"generation", sync_.generation()},
            {"watches_store", sync_.isWatching()},
            {"confirmed_by", confirmedByNames.name(report.confirmedBy)},
            {"store_age_ms", ageOrNull(report.storeAge)},
            {"peers_age_ms", ageOrNull(report.peersAge)},
            {"may_serve", report.mayServe},
            {"withdrawn_ahead", sync_.withdrawnAhead().size()}};
}

} // namespace cuminrail
