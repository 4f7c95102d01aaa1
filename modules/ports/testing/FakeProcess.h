#pragma once

#include "core/time/Millis.h"

#include <memory>
#include <string>
#include <utility>

namespace cuminrail {

/**
    One process of a test: its messages and ticks stop when it is killed or paused.

    What arrives for a paused process is handed to it when it goes on; its time has passed.
*/
class FakeProcess
{
public:
    explicit FakeProcess(std::string name) : name_(std::move(name)) { }

    const std::string &name() const { return name_; }
    bool isAlive() const { return alive_; }
    bool isRunning(Millis now) const { return alive_ && now >= pausedUntil_; }
    Millis pausedUntil() const { return pausedUntil_; }

    /** Ends the process for good; a restart is another process. */
    void kill() { alive_ = false; }
    /** Stops it until an instant, as a suspended machine or a stopped process would. */
    void pauseUntil(Millis instant) { pausedUntil_ = instant; }

private:
    std::string name_;
    bool alive_ = true;
    Millis pausedUntil_;
};

using FakeProcessPtr = std::shared_ptr<FakeProcess>;

} // namespace cuminrail
