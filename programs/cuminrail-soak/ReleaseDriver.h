#pragma once

#include "Fleet.h"

#include "core/random/Random.h"
#include "runtime/time/BootClock.h"

#include <array>
#include <csignal>

namespace cuminrail::soak {

/**
    Replaces the servers' software one after the other, forth and back, and kills gateways
    meanwhile, as the seed says.
*/
class ReleaseDriver
{
public:
    ReleaseDriver(Fleet &fleet, std::uint64_t seed)
        : fleet_(fleet), random_(seededRandom(seed + 999)), nextAt_(bootTime() + untilKnown),
          nextKillAt_(nextAt_ + untilFirstKill)
    { }

    void step()
    {
        if (bootTime() >= nextKillAt_) {
            nextKillAt_ = bootTime() + Millis(1000 + static_cast<std::int64_t>(random_() % 3000));
            GatewayProcess &gateway = *fleet_.gateways[random_() % fleet_.gateways.size()];
            gateway.expectKill();
            gateway.signal(SIGKILL);
        }
        if (bootTime() < nextAt_)
            return;
        nextAt_ = bootTime() + Millis(100 + static_cast<std::int64_t>(random_() % 500));
        fleet_.onThread([this] { fleet_.releaseServer(server_, versions[version_]); });
        if (++server_ < fleet_.servers.size())
            return;
        server_ = 0;
        version_ = random_() % versions.size();
        nextAt_ = nextAt_ + Millis(static_cast<std::int64_t>(random_() % 4000));
    }

private:
    /** By then all gateways know one another. */
    static constexpr Millis untilKnown = Millis(3000);
    static constexpr Millis untilFirstKill = Millis(1000);
    static constexpr std::array<const char *, 3> versions{"v1.1", "v1", "v1.2"};

    Fleet &fleet_;
    RandomHook random_;
    Millis nextAt_;
    Millis nextKillAt_;
    std::size_t server_ = 0;
    std::size_t version_ = 0;
};

} // namespace cuminrail::soak
