#pragma once

#include "configsync/ConfigSync.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"

#include <functional>
#include <vector>

namespace cuminrail {

/**
    Synchronizes the platform's settings and keys and publishes changes to the request threads.

    Marks the instance as stale, so that it refuses requests, while it cannot know which keys are
    withdrawn.
*/
class SettingsService
{
public:
    using SettingsHook = std::function<void(const Settings &)>;

    SettingsService(ControlPlane &control, MemberService &members, const ObjectStore &store,
                    const PeerTransport &peers);
    SettingsService(const SettingsService &) = delete;
    SettingsService &operator=(const SettingsService &) = delete;

    /** Adds a hook that is called on the control thread whenever other settings come into force. */
    void addSettingsHook(SettingsHook hook) { settingsHooks_.push_back(std::move(hook)); }

    /** Returns true while this instance is one of the few that watch the store for changes. */
    bool isWatching() const { return sync_.isWatching(); }

    SettingsDigest digest(Millis now) const { return sync_.digest(now); }

private:
    ConfigSyncHooks makeHooks(const ObjectStore &store, const PeerTransport &peers);
    void publishWithdrawn();
    void updateStaleness(Millis now);
    nlohmann::json describe() const;

    ControlPlane &control_;
    std::vector<SettingsHook> settingsHooks_;
    ConfigSync sync_;
};

} // namespace cuminrail
