#include "runtime/time/BootClock.h"

#include <ctime>

namespace cuminrail {

Millis bootTime()
{
    // CLOCK_MONOTONIC stands still while a virtual machine is suspended. A lease holder that
    // slept past its term would wake up and still believe in it; with CLOCK_BOOTTIME the term
    // has run out by the time that it looks.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Millis(static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000);
}

Clock bootClock()
{
    return Clock(bootTime);
}

} // namespace cuminrail
