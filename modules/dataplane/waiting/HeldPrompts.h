#pragma once

#include "core/time/Millis.h"

#include <map>
#include <set>
#include <string>

namespace cuminrail {

/** The prompts that an instance keeps back at the moment, by route and time of arrival. */
class HeldPrompts
{
public:
    void add(const std::string &route, Millis arrivedAt) { routes_[route].insert(arrivedAt); }
    void remove(const std::string &route, Millis arrivedAt)
    {
        auto &held = routes_[route];
        const auto found = held.find(arrivedAt);
        if (found != held.end())
            held.erase(found);
    }
    /** Returns for how long the oldest prompt of a route has waited; 0 if none does. */
    Millis oldestAge(const std::string &route, Millis now) const
    {
        const auto found = routes_.find(route);
        const bool isAny = found != routes_.end() && !found->second.empty();
        return isAny ? now - *found->second.begin() : Millis(0);
    }

private:
    std::map<std::string, std::multiset<Millis>> routes_;
};

} // namespace cuminrail
