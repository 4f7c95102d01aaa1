#pragma once

#include "core/time/Clock.h"

namespace cuminrail {

/** Returns the milliseconds since the machine started, time spent suspended included. */
Millis bootTime();

/** Returns the clock that a running process gives to its modules. @see Clock */
Clock bootClock();

} // namespace cuminrail
