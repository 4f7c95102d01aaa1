#pragma once

#include "scenario/world/ScenarioWorld.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminrail {

/** A promise that was broken, and how the records show it. */
struct Breach
{
    std::string promise;
    std::string evidence;
};

/** One promise and the check of the records that belongs to it. */
struct Promise
{
    std::string name;
    std::function<void(const ScenarioWorld &, const std::function<void(std::string)> &report)>
        check;
};

/**
    Judges a run by what engines, the platform and the usage receiver recorded.

    Never looks at what the instances say of themselves, and holds for every scenario whatever its
    file expects.
*/
class Judge
{
public:
    /** Returns all promises that are judged. */
    static const std::vector<Promise> &promises();
    /** Returns every breach in a run; nothing when all promises held. */
    static std::vector<Breach> judge(const ScenarioWorld &world);
};

} // namespace cuminrail
