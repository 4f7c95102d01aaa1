#pragma once

#include "configsync/ConfigSync.h"
#include "instance/control/ControlPlane.h"
#include "instance/services/MemberService.h"

#include <functional>
#include <vector>

namespace cuminrail {

/**
    Settings and keys of the platform, put in force on request threads when they change.

    Refuses requests while this instance cannot know which keys are withdrawn.
*/
class SettingsService
{
public:
    using SettingsHook = std::function<void(const Settings &)>;

    SettingsService(ControlPlane &control, MemberService &members, const ObjectStore &store,
                    const PeerTransport &peers);
    SettingsService(const SettingsService &) = delete;
    SettingsService &operator=(const SettingsService &) = delete;

    /** Called on the control thread whenever other settings came into force. */
    void addSettingsHook(SettingsHook hook) { hooks_.push_back(std::move(hook)); }

    /** Returns true while this instance is one of the few that watch the store. */
    bool isWatching() const { return sync_.isWatching(); }

    SettingsDigest digest(Millis now) const { return sync_.digest(now); }

private:
    ConfigSyncHooks hooksFor(const ObjectStore &store, const PeerTransport &peers);
    void publishWithdrawn();
    void updateStaleness(Millis now);
    nlohmann::json describe() const;

    ControlPlane &control_;
    std::vector<SettingsHook> hooks_;
    ConfigSync sync_;
};

} // namespace cuminrail
