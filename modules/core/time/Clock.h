#pragma once

#include "core/time/Millis.h"

#include <functional>

namespace cuminrail {

/**
    Where a module asks for the time.

    The hook gives milliseconds that never go back and go on while the machine is suspended. A
    clock that stops during a suspend would let a lease holder believe in a lease that lapsed
    while it slept. An instance uses runtime/time/BootClock.h; tests set the time by hand.
*/
class Clock
{
public:
    using Hook = std::function<Millis()>;

    explicit Clock(Hook hook) : hook_(std::move(hook)) { }

    /** Returns the current instant of this machine. */
    Millis now() const { return hook_(); }

private:
    Hook hook_;
};

} // namespace cuminrail
