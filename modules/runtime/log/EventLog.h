#pragma once

#include "core/events/Event.h"

#include <string>

namespace cuminrail {

/**
    Writes one line an event in logfmt to standard error, through easylogging++.

    @code
    ts=2026-12-02T10:15:00.123Z level=info event=101 name=process-started listen=10.0.0.7:8080
    @endcode
*/
class EventLog
{
public:
    /** Events below the level are dropped. The instance's name is on every line. */
    EventLog(EventLevel lowest, std::string instance);

    /** Writes an event; safe from any thread. */
    void write(const Event &event) const;

    /** Returns a sink that writes here; the log must outlive it. */
    EventSink sink() const;

    /** Returns an event's line without the time: what write() logs. */
    static std::string format(const Event &event, const std::string &instance);

private:
    EventLevel lowest_;
    std::string instance_;
};

} // namespace cuminrail
