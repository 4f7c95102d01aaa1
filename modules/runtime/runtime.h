#pragma once

/**
    What a process needs of its machine: a clock, threads, snapshots read without locks, a log, an
    allocator that gives memory back.

    Purpose: the boot-time clock behind core's Clock, deadlines on an event loop, event-loop
    threads, read-copy-update cells over liburcu, the event log over easylogging++, and what the
    text of an address means.

    Depends on: core, ports, Boost.Asio, liburcu, easylogging++.
*/

#include "runtime/address/Endpoint.h"
#include "runtime/files/Files.h"
#include "runtime/log/EventLog.h"
#include "runtime/memory/Allocator.h"
#include "runtime/rcu/RcuCell.h"
#include "runtime/threads/IoThread.h"
#include "runtime/time/BootClock.h"
#include "runtime/time/DeadlineList.h"
