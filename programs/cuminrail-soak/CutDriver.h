#pragma once

#include "Fleet.h"

#include "core/random/Random.h"
#include "runtime/time/BootClock.h"

namespace cuminrail::soak {

/** Cuts some gateways from all servers for some seconds, again and again, as the seed says. */
class CutDriver
{
public:
    CutDriver(Fleet &fleet, std::uint64_t seed)
        : fleet_(fleet), random_(seededRandom(seed + 555)), nextAt_(bootTime() + untilKnown)
    { }

    void step()
    {
        if (bootTime() < nextAt_)
            return;
        fleet_.onThread([this] { isCut_ ? heal() : cut(); });
    }

private:
    /** By then all gateways know one another. */
    static constexpr Millis untilKnown = Millis(6000);
    static constexpr Millis calm = Millis(1500);
    static constexpr Millis shortestCut = Millis(5000);

    void cut()
    {
        isCut_ = true;
        nextAt_ = bootTime() + shortestCut + Millis(static_cast<std::int64_t>(random_() % 4000));
        const std::size_t gateways = fleet_.gateways.size();
        const std::size_t count = 1 + random_() % (gateways - 1);
        const std::size_t first = random_() % gateways;
        for (std::size_t i = 0; i < count; ++i) {
            const auto shape = static_cast<PathCut>(random_() % pathCutNames.entries.size());
            fleet_.cutGateway((first + i) % gateways, shape);
        }
    }

    void heal()
    {
        isCut_ = false;
        nextAt_ = bootTime() + calm;
        fleet_.healGateways();
    }

    Fleet &fleet_;
    RandomHook random_;
    bool isCut_ = false;
    Millis nextAt_;
};

} // namespace cuminrail::soak
