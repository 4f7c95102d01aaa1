#include "configsync/state/DescribeConfig.h"

namespace cuminrail {

namespace {

/** An age in milliseconds, or null for what never was. */
nlohmann::json describeAge(Millis age)
{
    return age >= Millis::never() ? nlohmann::json() : nlohmann::json(age.count());
}

} // namespace

nlohmann::json describeConfig(const ConfigSync &config, Millis now)
{
    const FreshnessReport freshness = config.freshness(now);
    return {
        {"generation", config.generation()},
        {"confirmed_by", std::string(confirmedByNames.name(freshness.confirmedBy))},
        {"store_age_ms", describeAge(freshness.storeAge)},
        {"peers_age_ms", describeAge(freshness.peersAge)},
        {"may_serve", freshness.mayServe},
        {"watching", config.isWatching()},
        {"withdrawn_ahead", config.withdrawnAhead().size()},
        {"malformed_frames", config.malformedFrames()},
    };
}

} // namespace cuminrail
