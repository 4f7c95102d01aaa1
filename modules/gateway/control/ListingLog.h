#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"

#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/**
    Logs changes of the list of upstreams.

    Load: the release of a service changes thousands of entries within seconds, at every instance. A
    line for each would cost more than applying them.
*/
class ListingLog
{
public:
    /** Lines in an interval; further changes are counted and logged as one line at its end. */
    static constexpr int maxLines = 20;
    static constexpr Millis interval = Millis(1000);

    ListingLog(Clock clock, EventSink events);

    void record(std::vector<std::pair<std::string, std::string>> fields);
    /** Logs the number of changes without a line when due; to be called a few times a second. */
    void tick();

private:
    Clock clock_;
    EventSink events_;
    Millis intervalEndsAt_;
    int lines_ = 0;
    int omitted_ = 0;
};

} // namespace cuminrail
