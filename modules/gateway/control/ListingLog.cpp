#include "gateway/control/ListingLog.h"

#include "core/events/EventCatalogue.h"

namespace cuminrail {

ListingLog::ListingLog(Clock clock, EventSink events)
    : clock_(std::move(clock)), events_(std::move(events))
{ }

void ListingLog::record(std::vector<std::pair<std::string, std::string>> fields)
{
    tick();
    if (lines_ == 0)
        intervalEndsAt_ = clock_.now() + interval;
    if (lines_ >= maxLines) {
        ++omitted_;
        return;
    }
    ++lines_;
    events_(Event{&events::upstreamListed, std::move(fields)});
}

void ListingLog::tick()
{
    if (lines_ == 0 || clock_.now() < intervalEndsAt_)
        return;
    if (omitted_ > 0)
        events_(Event{&events::upstreamsListed, {{"count", std::to_string(omitted_)}}});
    lines_ = 0;
    omitted_ = 0;
}

} // namespace cuminrail
