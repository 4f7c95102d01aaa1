#pragma once

#include "scenario/world/ScenarioWorld.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminrail {

/** A violated guarantee and the records that show it. */
struct Breach
{
    std::string promise;
    std::string evidence;
};

/** A guarantee and the check of the records that verifies it. */
struct Promise
{
    std::string name;
    std::function<void(const ScenarioWorld &, const std::function<void(std::string)> &report)>
        check;
};

/**
    Checks a run against the system's guarantees, using the records of engines, platform, usage
    receiver, service, store and callers.

    Doesn't rely on the state that instances report about themselves. The guarantees apply to every
    scenario, in addition to the expectations in its file.
*/
class Judge
{
public:
    /** Returns all guarantees that are checked. */
    static const std::vector<Promise> &promises();
    /** Returns all violations in a run; empty when every guarantee held. */
    static std::vector<Breach> judge(const ScenarioWorld &world);
};

} // namespace cuminrail
