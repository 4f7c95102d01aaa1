#include "instance/services/SettingsService.h"

#include "runtime/time/BootClock.h"

#include <random>
#include <set>

namespace cuminrail {

namespace {

constexpr Millis tickPeriod{100};

ConfigSyncConfig configOf(const ControlPlane &control)
{
    ConfigSyncConfig config;
    config.stalenessLimit = control.context().config.stalenessLimit;
    config.expectsPeers = !control.context().config.peers.empty();
    return config;
}

} // namespace

SettingsService::SettingsService(ControlPlane &control, MemberService &members,
                                 const ObjectStore &store, const PeerTransport &peers)
    : control_(control), sync_(configOf(control), hooksFor(store, peers), members.membership())
{
    members.setFrameHook(
        FrameChannel::ConfigSync,
        [this](const PeerAddress &, const std::string &frame) { sync_.handleFrame(frame); });
    members.addFactHook([this](const UrgentFact &fact) { sync_.onFact(fact); });
    members.addDigestHook([this](const PeerDigest &digest) { sync_.onPeerDigest(digest); });
    members.addChangeHook([this] { sync_.onMembersChanged(); });
    control_.addTick(tickPeriod, [this](Millis now) {
        sync_.tick();
        updateStaleness(now);
    });
    control_.addState("settings", [this] { return describe(); });
}

ConfigSyncHooks SettingsService::hooksFor(const ObjectStore &store, const PeerTransport &peers)
{
    ConfigSyncHooks hooks{
        store, peers, bootClock(), seededRandom(std::random_device()()), control_.context().events,
        {},    {},    {}};
    hooks.sha256 = [](const std::string &text) { return KeyHash::of(text).toHex(); };
    hooks.onSettings = [this](const std::shared_ptr<const Settings> &settings) {
        control_.publish(*settings);
        publishWithdrawn();
        for (const SettingsHook &hook : hooks_)
            hook(*settings);
    };
    hooks.onWithdrawnChanged = [this] { publishWithdrawn(); };
    return hooks;
}

void SettingsService::publishWithdrawn()
{
    std::set<KeyHash> keys;
    for (const std::string &text : sync_.withdrawnAhead()) {
        const auto hash = KeyHash::fromHex(text);
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
