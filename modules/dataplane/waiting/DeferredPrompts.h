#pragma once

#include "core/time/Millis.h"

#include <map>
#include <set>
#include <string>

namespace cuminrail {

/** The prompts that are deferred at an instance, by route and time of arrival. */
class DeferredPrompts
{
public:
    void add(const std::string &route, Millis arrivedAt) { routes_[route].insert(arrivedAt); }
    void remove(const std::string &route, Millis arrivedAt)
    {
        auto &arrivals = routes_[route];
        const auto found = arrivals.find(arrivedAt);
        if (found != arrivals.end())
            arrivals.erase(found);
    }
    /** Returns how long a route's oldest deferred prompt has been waiting; 0 if there is none. */
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
